package heathswitch.proxy.standalone;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import heathswitch.proxy.config.ConfigSection;
import heathswitch.proxy.node.NodeSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads {@link NodeSettings} from the tables that are not specific to a subsystem: {@code
 * [balancer]}, {@code [limits]}, {@code [rules]}, {@code [[class]]} and {@code [[tenant]]}.
 */
final class NodeSettingsReader {
  /** Fewer would not suffice for the files that the JVM opens and a few requests. */
  private static final long MIN_SOCKETS = 64;

  private NodeSettingsReader() {}

  /**
   * Reads and validates the tables; null if there are no classes. The result must only be used if
   * the document has no errors.
   */
  static NodeSettings read(ConfigSection root) {
    ConfigSection balancer = requiredTable(root, "balancer");
    String name = "";
    InetSocketAddress listen = null;
    String zone = "";
    int tier = 0;
    int instances = 1;
    long seed = 0;
    if (balancer != null) {
      name = balancer.string("name", null);
      listen = balancer.address("listen", true);
      zone = balancer.string("zone", null);
      tier = (int) balancer.integer("tier", 0L, 0, 2);
      instances = (int) balancer.integer("instances", 1L, 1, 1000);
      seed = balancer.integer("seed", System.nanoTime(), Long.MIN_VALUE, Long.MAX_VALUE);
      balancer.rejectUnknownKeys();
    }
    List<RequestClass> classes = readClasses(root);
    List<Tenant> tenants = readTenants(root);
    ConfigSection limits = root.table("limits");
    int sockets =
        limits == null ? 1024 : (int) limits.integer("sockets", 1024L, MIN_SOCKETS, 1 << 20);
    Settings.Limits policyLimits = readLimits(limits);
    Settings.Obligations obligations = readObligations(root.table("rules"));
    double overShareWorth = root.number("over_share_worth", 0.05, 0.0, 1.0);
    if (classes.isEmpty()) {
      return null;
    }
    Settings settings =
        new Settings(
            classes,
            tenants,
            overShareWorth,
            false,
            tier,
            0,
            instances,
            zone,
            false,
            policyLimits,
            obligations);
    return new NodeSettings(name, listen, false, seed, sockets, settings);
  }

  private static ConfigSection requiredTable(ConfigSection root, String key) {
    ConfigSection table = root.table(key);
    if (table == null && !root.has(key)) {
      root.addError(key, "missing; a table [" + key + "] expected");
    }
    return table;
  }

  private static List<RequestClass> readClasses(ConfigSection root) {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    List<ConfigSection> tables = root.tables("class");
    if (tables.isEmpty()) {
      root.addError("class", "missing; at least one table [[class]] expected");
    }
    for (ConfigSection table : tables) {
      String name = table.string("name", null);
      if (name != null && !names.add(name)) {
        table.addError("name", "\"" + name + "\" is used twice; another name expected");
      }
      long aim = table.durationNanos("aim", null, "1ms", "1h");
      long deadline = table.durationNanos("deadline", null, "1ms", "1h");
      if (deadline < aim) {
        table.addError("deadline", "is under aim; at least as long a time expected");
        deadline = aim;
      }
      RequestClass.Effect effect = table.enumValue("effect", null, RequestClass.Effect.class);
      classes.add(
          new RequestClass(
              name == null ? "?" : name,
              effect == null ? RequestClass.Effect.UNSAFE : effect,
              table.enumValue("group", RequestClass.Group.ALL, RequestClass.Group.class),
              aim,
              deadline,
              table.durationNanos("window", "0ms", "0ms", "24h"),
              table.number("worth", 1.0, 0.0, 1e6),
              table.number("late_worth", 0.0, 0.0, 1e6),
              false));
      table.rejectUnknownKeys();
    }
    return classes;
  }

  private static List<Tenant> readTenants(ConfigSection root) {
    List<Tenant> tenants = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ConfigSection table : root.tables("tenant")) {
      String name = table.string("name", null);
      if (name != null && !names.add(name)) {
        table.addError("name", "\"" + name + "\" is used twice; another name expected");
      }
      tenants.add(
          new Tenant(
              name == null ? "?" : name,
              table.number("share", 0.0, 0.0, 1.0),
              table.number("quota", 0.0, 0.0, 1e6)));
      table.rejectUnknownKeys();
    }
    return tenants;
  }

  private static Settings.Limits readLimits(ConfigSection table) {
    if (table == null) {
      return new Settings.Limits(4, true, true, 10_000_000_000L, 1_000_000_000L, 1_000_000_000L);
    }
    Settings.Limits limits =
        new Settings.Limits(
            (int) table.integer("attempts", 4L, 1, 16),
            table.flag("second_copies", true),
            table.flag("cancel", true),
            table.durationNanos("keep_alive", "10s", "0ms", "1h"),
            table.durationNanos("connect_timeout", "1s", "1ms", "60s"),
            table.durationNanos("most_retry_after", "1s", "0ms", "1h"));
    table.rejectUnknownKeys();
    return limits;
  }

  private static Settings.Obligations readObligations(ConfigSection table) {
    if (table == null) {
      return new Settings.Obligations(
          20_000_000L, 2_000_000_000L, 10_000_000_000L, 0.13, 23_000_000_000L, 2.5, 2_000_000_000L);
    }
    Settings.Obligations obligations =
        new Settings.Obligations(
            table.durationNanos("answer_grace", "20ms", "0ms", "10s"),
            table.durationNanos("drain_grace", "2s", "0ms", "10min"),
            10_000_000_000L,
            table.number("cold_share", 0.13, 0.0, 1.0),
            table.durationNanos("warm_up", "23s", "0ms", "1h"),
            table.number("fall_multiple", 2.5, 1.0, 100.0),
            table.durationNanos("fall_time", "2s", "0ms", "1h"));
    table.rejectUnknownKeys();
    return obligations;
  }
}
