/**
 * Figures in the text form of Prometheus, through Micrometer. Loaded only where the configuration
 * asks for it; the one package that knows the library.
 */
package heathswitch.proxy.metrics;
