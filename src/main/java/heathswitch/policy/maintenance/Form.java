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
 * Entries as trees of maps, lists, texts and numbers, which whoever keeps them writes as it likes.
 * A field that is not known is passed over, so that a later release may add one; a kind that is not
 * known is an error, as an instance that passed an entry over would compute another state.
 */
public final class Form {
  private Form() {}

  /** The tree of a command. */
  public static Map<String, Object> of(Command command) {
    Map<String, Object> tree = new LinkedHashMap<>();
    if (command instanceof Command.Join join) {
      tree.put("kind", "join");
      tree.put("instance", join.instance());
      tree.put("incarnation", join.incarnation());
      tree.put("before", join.before());
      tree.put("idle", join.idle());
      tree.put("stops", join.stops());
      tree.put("rules", of(join.rules()));
      tree.put("knows", join.release().knows());
      tree.put("peers", join.release().peers());
    } else if (command instanceof Command.Renew renew) {
      tree.put("kind", "renew");
      tree.put("instance", renew.instance());
      tree.put("incarnation", renew.incarnation());
      if (renew.report() != null) {
        tree.put("report", of(renew.report()));
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
      tree.putAll(of(ask));
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
   * The command of a tree.
   *
   * @throws IllegalArgumentException for a kind that is not known, or a field that is missing
   */
  public static Command command(Map<?, ?> tree) {
    String kind = text(tree, "kind");
    return switch (kind) {
      case "join" ->
          new Command.Join(
              text(tree, "instance"),
              whole(tree, "incarnation"),
              whole(tree, "before"),
              flag(tree, "idle"),
              flag(tree, "stops"),
              rules(map(tree, "rules")),
              new Release(
                  (int) whole(tree, "knows", Release.FIRST), (int) whole(tree, "peers", 0)));
      case "renew" ->
          new Command.Renew(
              text(tree, "instance"),
              whole(tree, "incarnation"),
              tree.containsKey("report") ? report(map(tree, "report")) : null);
      case "free" ->
          new Command.Free(
              text(tree, "instance"),
              whole(tree, "incarnation"),
              whole(tree, "order"),
              text(tree, "machine"));
      case "leave" -> new Command.Leave(text(tree, "instance"), whole(tree, "incarnation"));
      case "fence" -> new Command.Fence(text(tree, "instance"), flag(tree, "forget"));
      case "ask" -> ask(tree);
      case "done" ->
          new Command.Done(
              whole(tree, "order"), tree.containsKey("machine") ? text(tree, "machine") : null);
      case "extend" -> new Command.Extend(whole(tree, "order"), whole(tree, "millis"));
      case "cancel" -> new Command.Cancel(whole(tree, "order"));
      default -> throw new IllegalArgumentException("an entry of the kind " + kind);
    };
  }

  static Map<String, Object> of(Command.Ask ask) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("key", ask.key());
    tree.put("who", ask.who());
    tree.put("why", ask.why());
    tree.put("urgent", ask.urgent());
    tree.put("at_once", ask.atOnce());
    tree.put("for_ms", ask.forMillis());
    tree.put("after", ask.after());
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

  static Command.Ask ask(Map<?, ?> tree) {
    List<Machine> machines = new ArrayList<>();
    for (Object each : list(tree, "machines")) {
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
        text(tree, "key"),
        text(tree, "who"),
        text(tree, "why"),
        flag(tree, "urgent"),
        (int) whole(tree, "at_once"),
        whole(tree, "for_ms"),
        whole(tree, "after"),
        whole(tree, "not_before_ms"),
        whole(tree, "not_after_ms"),
        machines);
  }

  static Map<String, Object> of(Rules rules) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("version", rules.version());
    tree.put("lease_ms", rules.leaseMillis());
    tree.put("margin_ms", rules.marginMillis());
    tree.put("most_out", rules.mostOut());
    tree.put("most_out_in_cell", rules.mostOutInCell());
    List<Object> floors = new ArrayList<>();
    for (Floor floor : rules.floors()) {
      floors.add(List.of(floor.kind(), floor.zone(), floor.least()));
    }
    tree.put("floors", floors);
    return tree;
  }

  static Rules rules(Map<?, ?> tree) {
    List<Floor> floors = new ArrayList<>();
    for (Object each : list(tree, "floors")) {
      List<?> row = (List<?>) each;
      floors.add(
          new Floor((String) row.get(0), (String) row.get(1), ((Number) row.get(2)).doubleValue()));
    }
    return new Rules(
        whole(tree, "version"),
        whole(tree, "lease_ms"),
        whole(tree, "margin_ms"),
        (int) whole(tree, "most_out"),
        (int) whole(tree, "most_out_in_cell"),
        floors);
  }

  static Map<String, Object> of(Report report) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("index", report.index());
    List<Object> groups = new ArrayList<>();
    // Sorted, so that whoever has computed the same writes the same.
    List<Group> order = new ArrayList<>(report.groups().keySet());
    order.sort(Comparator.comparing(Group::kind).thenComparing(Group::zone));
    for (Group group : order) {
      Report.Capacity capacity = report.groups().get(group);
      groups.add(List.of(group.kind(), group.zone(), capacity.listed(), capacity.worth()));
    }
    tree.put("groups", groups);
    tree.put("warm", new ArrayList<>(new TreeSet<>(report.warm())));
    return tree;
  }

  static Report report(Map<?, ?> tree) {
    Map<Group, Report.Capacity> groups = new HashMap<>();
    for (Object each : list(tree, "groups")) {
      List<?> row = (List<?>) each;
      groups.put(
          new Group((String) row.get(0), (String) row.get(1)),
          new Report.Capacity(
              ((Number) row.get(2)).doubleValue(), ((Number) row.get(3)).doubleValue()));
    }
    return new Report(whole(tree, "index"), groups, new HashSet<>(texts(tree, "warm")));
  }

  static String text(Map<?, ?> tree, String key) {
    return (String) value(tree, key, String.class);
  }

  static long whole(Map<?, ?> tree, String key) {
    return ((Number) value(tree, key, Number.class)).longValue();
  }

  /** A field that an earlier release does not write. */
  static long whole(Map<?, ?> tree, String key, long otherwise) {
    return tree.containsKey(key) ? whole(tree, key) : otherwise;
  }

  static boolean flag(Map<?, ?> tree, String key) {
    return (Boolean) value(tree, key, Boolean.class);
  }

  static Map<?, ?> map(Map<?, ?> tree, String key) {
    return (Map<?, ?>) value(tree, key, Map.class);
  }

  static List<?> list(Map<?, ?> tree, String key) {
    return (List<?>) value(tree, key, List.class);
  }

  static List<String> texts(Map<?, ?> tree, String key) {
    List<String> texts = new ArrayList<>();
    for (Object each : list(tree, key)) {
      texts.add((String) each);
    }
    return texts;
  }

  private static Object value(Map<?, ?> tree, String key, Class<?> type) {
    Object value = tree.get(key);
    if (!type.isInstance(value)) {
      throw new IllegalArgumentException("an entry with " + key + " = " + value);
    }
    return value;
  }
}
