package heathswitch.policy.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Converts commands, and the parts of a snapshot, to trees of maps, lists, strings and numbers and
 * back; the caller chooses how a tree is serialized. Unknown fields are ignored so that a later
 * release may add one. An unknown kind of command is an error, because an instance that skipped an
 * entry would compute a different state.
 */
public final class CommandCodec {
  private CommandCodec() {}

  /** Encodes a command. */
  public static Map<String, Object> encode(Command command) {
    Map<String, Object> tree = new LinkedHashMap<>();
    if (command instanceof Command.Join join) {
      tree.put("kind", "join");
      tree.put("instance", join.instance());
      tree.put("incarnation", join.incarnation());
      tree.put("before", join.previousIncarnation());
      tree.put("idle", join.idle());
      tree.put("stops", join.stopsWhenCutOff());
      tree.put("rules", encode(join.rules()));
      tree.put("knows", join.formats().latestFormat());
      tree.put("peers", join.formats().peers());
    } else if (command instanceof Command.Renew renew) {
      tree.put("kind", "renew");
      tree.put("instance", renew.instance());
      tree.put("incarnation", renew.incarnation());
      if (renew.report() != null) {
        tree.put("report", encode(renew.report()));
      }
    } else if (command instanceof Command.Free free) {
      tree.put("kind", "free");
      tree.put("instance", free.instance());
      tree.put("incarnation", free.incarnation());
      tree.put("order", free.order());
      tree.put("machine", free.machine());
    } else if (command instanceof Command.Leave leave) {
      tree.put("kind", "leave");
      tree.put("instance", leave.instance());
      tree.put("incarnation", leave.incarnation());
    } else if (command instanceof Command.Fence fence) {
      tree.put("kind", "fence");
      tree.put("instance", fence.instance());
      tree.put("forget", fence.forget());
    } else if (command instanceof Command.Ask ask) {
      tree.put("kind", "ask");
      tree.putAll(encode(ask));
    } else if (command instanceof Command.Done done) {
      tree.put("kind", "done");
      tree.put("order", done.order());
      if (done.machine() != null) {
        tree.put("machine", done.machine());
      }
    } else if (command instanceof Command.Extend extend) {
      tree.put("kind", "extend");
      tree.put("order", extend.order());
      tree.put("millis", extend.millis());
    } else if (command instanceof Command.Cancel cancel) {
      tree.put("kind", "cancel");
      tree.put("order", cancel.order());
    }
    return tree;
  }

  /**
   * Decodes a command.
   *
   * @throws IllegalArgumentException if the kind is unknown or a field is missing
   */
  public static Command decodeCommand(Map<?, ?> tree) {
    String kind = requireString(tree, "kind");
    return switch (kind) {
      case "join" ->
          new Command.Join(
              requireString(tree, "instance"),
              requireLong(tree, "incarnation"),
              requireLong(tree, "before"),
              requireBoolean(tree, "idle"),
              requireBoolean(tree, "stops"),
              decodeRules(requireMap(tree, "rules")),
              new FormatSupport(
                  (int) longOrDefault(tree, "knows", FormatSupport.FIRST),
                  (int) longOrDefault(tree, "peers", 0)));
      case "renew" ->
          new Command.Renew(
              requireString(tree, "instance"),
              requireLong(tree, "incarnation"),
              tree.containsKey("report") ? decodeReport(requireMap(tree, "report")) : null);
      case "free" ->
          new Command.Free(
              requireString(tree, "instance"),
              requireLong(tree, "incarnation"),
              requireLong(tree, "order"),
              requireString(tree, "machine"));
      case "leave" ->
          new Command.Leave(requireString(tree, "instance"), requireLong(tree, "incarnation"));
      case "fence" ->
          new Command.Fence(requireString(tree, "instance"), requireBoolean(tree, "forget"));
      case "ask" -> decodeAsk(tree);
      case "done" ->
          new Command.Done(
              requireLong(tree, "order"),
              tree.containsKey("machine") ? requireString(tree, "machine") : null);
      case "extend" -> new Command.Extend(requireLong(tree, "order"), requireLong(tree, "millis"));
      case "cancel" -> new Command.Cancel(requireLong(tree, "order"));
      default -> throw new IllegalArgumentException("unknown kind of log entry: " + kind);
    };
  }

  static Map<String, Object> encode(Command.Ask ask) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("key", ask.key());
    tree.put("who", ask.requester());
    tree.put("why", ask.reason());
    tree.put("urgent", ask.urgent());
    tree.put("at_once", ask.atOnce());
    tree.put("for_ms", ask.durationMillis());
    tree.put("after", ask.afterOrder());
    tree.put("not_before_ms", ask.notBeforeMillis());
    tree.put("not_after_ms", ask.notAfterMillis());
    List<Object> machines = new ArrayList<>();
    for (Machine each : ask.machines()) {
      machines.add(
          List.of(each.id(), each.kind(), each.zone(), each.cell(), each.weight(), each.address()));
    }
    tree.put("machines", machines);
    return tree;
  }

  static Command.Ask decodeAsk(Map<?, ?> tree) {
    List<Machine> machines = new ArrayList<>();
    for (Object each : requireList(tree, "machines")) {
      List<?> row = (List<?>) each;
      machines.add(
          new Machine(
              (String) row.get(0),
              (String) row.get(1),
              (String) row.get(2),
              ((Number) row.get(3)).longValue(),
              ((Number) row.get(4)).doubleValue(),
              (String) row.get(5)));
    }
    return new Command.Ask(
        requireString(tree, "key"),
        requireString(tree, "who"),
        requireString(tree, "why"),
        requireBoolean(tree, "urgent"),
        (int) requireLong(tree, "at_once"),
        requireLong(tree, "for_ms"),
        requireLong(tree, "after"),
        requireLong(tree, "not_before_ms"),
        requireLong(tree, "not_after_ms"),
        machines);
  }

  static Map<String, Object> encode(MaintenanceRules rules) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("version", rules.version());
    tree.put("lease_ms", rules.leaseMillis());
    tree.put("margin_ms", rules.marginMillis());
    tree.put("most_out", rules.maxOut());
    tree.put("most_out_in_cell", rules.maxOutInCell());
    List<Object> floors = new ArrayList<>();
    for (CapacityFloor floor : rules.floors()) {
      floors.add(List.of(floor.kind(), floor.zone(), floor.minShare()));
    }
    tree.put("floors", floors);
    return tree;
  }

  static MaintenanceRules decodeRules(Map<?, ?> tree) {
    List<CapacityFloor> floors = new ArrayList<>();
    for (Object each : requireList(tree, "floors")) {
      List<?> row = (List<?>) each;
      floors.add(
          new CapacityFloor(
              (String) row.get(0), (String) row.get(1), ((Number) row.get(2)).doubleValue()));
    }
    return new MaintenanceRules(
        requireLong(tree, "version"),
        requireLong(tree, "lease_ms"),
        requireLong(tree, "margin_ms"),
        (int) requireLong(tree, "most_out"),
        (int) requireLong(tree, "most_out_in_cell"),
        floors);
  }

  static Map<String, Object> encode(CapacityReport report) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("index", report.index());
    List<Object> groups = new ArrayList<>();
    // Sorted, so that equal reports are encoded alike.
    List<ServerGroup> sorted = new ArrayList<>(report.groups().keySet());
    sorted.sort(Comparator.comparing(ServerGroup::kind).thenComparing(ServerGroup::zone));
    for (ServerGroup group : sorted) {
      CapacityReport.Capacity capacity = report.groups().get(group);
      groups.add(List.of(group.kind(), group.zone(), capacity.listed(), capacity.available()));
    }
    tree.put("groups", groups);
    tree.put("warm", new ArrayList<>(new TreeSet<>(report.warm())));
    return tree;
  }

  static CapacityReport decodeReport(Map<?, ?> tree) {
    Map<ServerGroup, CapacityReport.Capacity> groups = new HashMap<>();
    for (Object each : requireList(tree, "groups")) {
      List<?> row = (List<?>) each;
      groups.put(
          new ServerGroup((String) row.get(0), (String) row.get(1)),
          new CapacityReport.Capacity(
              ((Number) row.get(2)).doubleValue(), ((Number) row.get(3)).doubleValue()));
    }
    return new CapacityReport(
        requireLong(tree, "index"), groups, new HashSet<>(requireStrings(tree, "warm")));
  }

  static String requireString(Map<?, ?> tree, String key) {
    return (String) require(tree, key, String.class);
  }

  static long requireLong(Map<?, ?> tree, String key) {
    return ((Number) require(tree, key, Number.class)).longValue();
  }

  /** Reads a field that an earlier release does not write. */
  static long longOrDefault(Map<?, ?> tree, String key, long fallback) {
    return tree.containsKey(key) ? requireLong(tree, key) : fallback;
  }

  static boolean requireBoolean(Map<?, ?> tree, String key) {
    return (Boolean) require(tree, key, Boolean.class);
  }

  static Map<?, ?> requireMap(Map<?, ?> tree, String key) {
    return (Map<?, ?>) require(tree, key, Map.class);
  }

  static List<?> requireList(Map<?, ?> tree, String key) {
    return (List<?>) require(tree, key, List.class);
  }

  static List<String> requireStrings(Map<?, ?> tree, String key) {
    List<String> strings = new ArrayList<>();
    for (Object each : requireList(tree, key)) {
      strings.add((String) each);
    }
    return strings;
  }

  private static Object require(Map<?, ?> tree, String key, Class<?> type) {
    Object value = tree.get(key);
    if (!type.isInstance(value)) {
      throw new IllegalArgumentException(
          "log entry or snapshot with unexpected " + key + " = " + value);
    }
    return value;
  }
}
