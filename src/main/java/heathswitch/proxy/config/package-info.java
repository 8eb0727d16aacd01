/**
 * Reads and validates TOML configuration files; errors are collected with their source positions.
 */
package heathswitch.proxy.config;
