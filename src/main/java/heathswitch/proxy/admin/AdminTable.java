package heathswitch.proxy.admin;

import heathswitch.proxy.config.Section;
import java.net.InetSocketAddress;

/**
 * The table {@code [admin]} of the configuration.
 *
 * @param listen a loopback address; whoever reaches it may change what the balancer serves
 * @param watchNanos how finely the lateness of the event loop is seen
 * @param metrics whether figures can be read in the text form of Prometheus
 */
public record AdminTable(InetSocketAddress listen, long watchNanos, boolean metrics) {
  /** Reads and checks the table; null where there is none, and the listener is off. */
  public static AdminTable read(Section root) {
    Section table = root.table("admin");
    if (table == null) {
      return null;
    }
    InetSocketAddress listen = table.address("listen", true);
    if (listen != null && !listen.getAddress().isLoopbackAddress()) {
      table.fault("listen", "is no loopback address; one such as \"127.0.0.1:9900\" expected");
    }
    long watch = table.nanos("loop_watch", "100ms", "1ms", "10s");
    boolean metrics = table.flag("metrics", false);
    table.end();
    return listen == null ? null : new AdminTable(listen, watch, metrics);
  }
}
