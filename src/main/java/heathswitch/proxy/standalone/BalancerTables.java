package heathswitch.proxy.standalone;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import heathswitch.proxy.config.Section;
import heathswitch.proxy.node.NodeSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The tables that every installation has: {@code [balancer]}, {@code [limits]}, {@code [rules]},
 * {@code [[class]]} and {@code [[tenant]]}.
 */
final class BalancerTables {
  /** Fewer would not leave room for the JVM's own files and a handful of requests. */
  private static final long LEAST_SOCKETS = 64;

  private BalancerTables() {}

  /** What the tables say; of use only where the document has no faults. */
  static NodeSettings read(Section root) {
    Section balancer = required(root, "balancer");
    String name = "";
    InetSocketAddress listen = null;
    String zone = "";
    int tier = 0;
    int instances = 1;
    long seed = 0;
    if (balancer != null) {
      name = balancer.text("name", null);
      listen = balancer.address("listen", true);
      zone = balancer.text("zone", null);
      tier = (int) balancer.whole("tier", 0L, 0, 2);
      instances = (int) balancer.whole("instances", 1L, 1, 1000);
      seed = balancer.whole("seed", System.nanoTime(), Long.MIN_VALUE, Long.MAX_VALUE);
      balancer.end();
    }
    List<RequestClass> classes = classes(root);
    List<Tenant> tenants = tenants(root);
    Section limits = root.table("limits");
    int sockets =
        limits == null ? 1024 : (int) limits.whole("sockets", 1024L, LEAST_SOCKETS, 1 << 20);
    Settings.Limits allowed = limits(limits);
    Settings.Obligations rules = rules(root.table("rules"));
    double overShare = root.number("over_share_worth", 0.05, 0.0, 1.0);
    if (classes.isEmpty()) {
      return null;
    }
    Settings settings =
        new Settings(
            classes, tenants, overShare, false, tier, 0, instances, zone, false, allowed, rules);
    return new NodeSettings(name, listen, false, seed, sockets, settings);
  }

  private static Section required(Section root, String key) {
    Section table = root.table(key);
    if (table == null && !root.has(key)) {
      root.fault(key, "missing; a table [" + key + "] expected");
    }
    return table;
  }

  private static List<RequestClass> classes(Section root) {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    List<Section> tables = root.tables("class");
    if (tables.isEmpty()) {
      root.fault("class", "missing; at least one table [[class]] expected");
    }
    for (Section table : tables) {
      String name = table.text("name", null);
      if (name != null && !names.add(name)) {
        table.fault("name", "\"" + name + "\" stands twice; another name expected");
      }
      long aim = table.nanos("aim", null, "1ms", "1h");
      long deadline = table.nanos("deadline", null, "1ms", "1h");
      if (deadline < aim) {
        table.fault("deadline", "is under aim; at least as long a time expected");
        deadline = aim;
      }
      RequestClass.Effect effect = table.choice("effect", null, RequestClass.Effect.class);
      classes.add(
          new RequestClass(
              name == null ? "?" : name,
              effect == null ? RequestClass.Effect.UNSAFE : effect,
              table.choice("group", RequestClass.Group.ALL, RequestClass.Group.class),
              aim,
              deadline,
              table.nanos("window", "0ms", "0ms", "24h"),
              table.number("worth", 1.0, 0.0, 1e6),
              table.number("late_worth", 0.0, 0.0, 1e6),
              false));
      table.end();
    }
    return classes;
  }

  private static List<Tenant> tenants(Section root) {
    List<Tenant> tenants = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section table : root.tables("tenant")) {
      String name = table.text("name", null);
      if (name != null && !names.add(name)) {
        table.fault("name", "\"" + name + "\" stands twice; another name expected");
      }
      tenants.add(
          new Tenant(
              name == null ? "?" : name,
              table.number("share", 0.0, 0.0, 1.0),
              table.number("quota", 0.0, 0.0, 1e6)));
      table.end();
    }
    return tenants;
  }

  private static Settings.Limits limits(Section table) {
    if (table == null) {
      return new Settings.Limits(4, true, true, 10_000_000_000L, 1_000_000_000L, 1_000_000_000L);
    }
    Settings.Limits limits =
        new Settings.Limits(
            (int) table.whole("attempts", 4L, 1, 16),
            table.flag("second_copies", true),
            table.flag("cancel", true),
            table.nanos("keep_alive", "10s", "0ms", "1h"),
            table.nanos("connect_timeout", "1s", "1ms", "60s"),
            table.nanos("most_retry_after", "1s", "0ms", "1h"));
    table.end();
    return limits;
  }

  private static Settings.Obligations rules(Section table) {
    if (table == null) {
      return new Settings.Obligations(
          20_000_000L, 2_000_000_000L, 10_000_000_000L, 0.13, 23_000_000_000L, 2.5, 2_000_000_000L);
    }
    Settings.Obligations rules =
        new Settings.Obligations(
            table.nanos("answer_grace", "20ms", "0ms", "10s"),
            table.nanos("drain_grace", "2s", "0ms", "10min"),
            10_000_000_000L,
            table.number("cold_share", 0.13, 0.0, 1.0),
            table.nanos("warm_up", "23s", "0ms", "1h"),
            table.number("fall_multiple", 2.5, 1.0, 100.0),
            table.nanos("fall_time", "2s", "0ms", "1h"));
    table.end();
    return rules;
  }
}
