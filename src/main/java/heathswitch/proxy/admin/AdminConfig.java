package heathswitch.proxy.admin;

import heathswitch.proxy.config.ConfigSection;
import java.net.InetSocketAddress;

/**
 * The configuration table {@code [admin]}.
 *
 * @param listen a loopback address; anyone who can connect to it can change what the balancer
 *     serves
 * @param lagSampleNanos the interval at which the lag of the event loop is measured
 * @param metrics whether metrics are exposed in the Prometheus text format
 */
public record AdminConfig(InetSocketAddress listen, long lagSampleNanos, boolean metrics) {
  /** Reads and validates the table; returns null if it is absent, which turns the listener off. */
  public static AdminConfig read(ConfigSection root) {
    ConfigSection table = root.table("admin");
    if (table == null) {
      return null;
    }
    InetSocketAddress listen = table.address("listen", true);
    if (listen != null && !listen.getAddress().isLoopbackAddress()) {
      table.addError("listen", "is no loopback address; one such as \"127.0.0.1:9900\" expected");
    }
    long lagSampleNanos = table.durationNanos("loop_watch", "100ms", "1ms", "10s");
    boolean metrics = table.flag("metrics", false);
    table.rejectUnknownKeys();
    return listen == null ? null : new AdminConfig(listen, lagSampleNanos, metrics);
  }
}
