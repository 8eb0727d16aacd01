/**
 * Metrics in the Prometheus text format, through Micrometer. This is the only package that uses the
 * library, and it is loaded only if the configuration enables metrics.
 */
package heathswitch.proxy.metrics;
