/**
 * Structured logging of a standalone balancer through SLF4J and Logback, as text or as one JSON
 * object per line. None of these classes is loaded on the platform.
 */
package heathswitch.proxy.logging;
