/**
 * The log of an installation of its own, through SLF4J and Logback: text for people or a JSON
 * object a line for programs. Nothing of it is loaded on the platform.
 */
package heathswitch.proxy.logging;
