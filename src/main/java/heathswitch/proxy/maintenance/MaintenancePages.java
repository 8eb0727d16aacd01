package heathswitch.proxy.maintenance;

import heathswitch.policy.maintenance.Command;
import heathswitch.policy.maintenance.CommandResult;
import heathswitch.policy.maintenance.Machine;
import heathswitch.policy.maintenance.MaintenanceRules;
import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.policy.maintenance.Phase;
import heathswitch.proxy.admin.AdminServer;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Function;

/** The pages of work orders on the admin listener. */
final class MaintenancePages {
  /** Machines of one order that are shown. */
  private static final int MOST_SHOWN = 200;

  private final MaintenanceService orders;
  private final MaintenanceConfig table;
  private final MaintenanceReplica ledger;
  private final Executor thread;

  MaintenancePages(
      MaintenanceService orders,
      MaintenanceConfig table,
      MaintenanceReplica ledger,
      Executor thread) {
    this.orders = orders;
    this.table = table;
    this.ledger = ledger;
    this.thread = thread;
  }

  void add(AdminServer admin) {
    admin.get("work", this::read);
    admin.post("work", this::change);
  }

  /** What a question makes of the ledger, off the loop. */
  private void read(String rest, Consumer<AdminServer.Reply> reply) {
    Function<MaintenanceState, Map<String, Object>> question;
    if (rest.isEmpty()) {
      long lease = orders.leaseLeftMillis();
      String trouble = orders.trouble();
      question = settled -> overview(settled, lease, trouble);
    } else if (rest.equals("settled")) {
      question = MaintenanceState::toSnapshot;
    } else if (rest.matches("\\d{1,18}")) {
      question = settled -> order(settled, Long.parseLong(rest));
    } else {
      reply.accept(AdminServer.Reply.error(404, "work, work/ORDER or work/settled expected"));
      return;
    }
    try {
      thread.execute(
          () -> {
            Map<String, Object> page = ledger.ask(question);
            reply.accept(
                page == null
                    ? AdminServer.Reply.error(404, "no order " + rest)
                    : AdminServer.Reply.ok(page));
          });
    } catch (RejectedExecutionException e) {
      reply.accept(AdminServer.Reply.error(503, "ending"));
    }
  }

  private Map<String, Object> overview(MaintenanceState settled, long leaseMillis, String trouble) {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", table.instance());
    page.put("leader", orders.leader());
    page.put("voters", orders.voters());
    page.put("entry", settled.appliedIndex());
    page.put("log_ms", settled.nowMillis());
    page.put("form", settled.formatVersion());
    page.put("when_cut_off", table.stops() ? "stop" : "serve");
    page.put("lease_left_ms", leaseMillis);
    page.put("trouble", trouble);
    MaintenanceRules rules = settled.rules();
    Map<String, Object> inForce = new LinkedHashMap<>();
    inForce.put("version", rules.version());
    inForce.put("lease_ms", rules.leaseMillis());
    inForce.put("most_out", rules.maxOut());
    inForce.put("most_out_in_cell", rules.maxOutInCell());
    inForce.put("floors", rules.floors().stream().map(Object::toString).toList());
    page.put("rules", inForce);
    List<Object> instances = new ArrayList<>();
    for (MaintenanceState.InstanceStatus each : settled.instanceStatuses()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("name", each.name());
      row.put("when_cut_off", each.stops() ? "stop" : "serve");
      row.put("fenced", each.fenced());
      row.put("knows_form", each.latestFormat());
      row.put("heard_ms_ago", each.heardMillisAgo());
      instances.add(row);
    }
    page.put("instances", instances);
    List<Object> rows = new ArrayList<>();
    for (long id : settled.orderIds()) {
      rows.add(brief(settled, id));
    }
    page.put("orders", rows);
    return page;
  }

  private static Map<String, Object> brief(MaintenanceState settled, long id) {
    Command.Ask ask = settled.request(id);
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("order", id);
    row.put("who", ask.who());
    row.put("why", ask.why());
    row.put("machines", ask.machines().size());
    row.put("at_once", ask.atOnce());
    Map<String, Object> phases = new LinkedHashMap<>();
    for (Map.Entry<Phase, Integer> each : settled.phaseCounts(id).entrySet()) {
      phases.put(each.getKey().name().toLowerCase(Locale.ROOT), each.getValue());
    }
    row.put("phases", phases);
    row.put("wanted_back", settled.wantedBackCount(id));
    return row;
  }

  private static Map<String, Object> order(MaintenanceState settled, long id) {
    Command.Ask ask = settled.request(id);
    if (ask == null) {
      return null;
    }
    Map<String, Object> page = brief(settled, id);
    page.put("urgent", ask.urgent());
    page.put("for_ms", ask.forMillis());
    page.put("after", ask.after());
    List<Object> rows = new ArrayList<>();
    for (MaintenanceState.MachineStatus each : settled.machineStatuses(id, MOST_SHOWN)) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("machine", each.machine());
      row.put("phase", each.phase().name().toLowerCase(Locale.ROOT));
      row.put("since_ms", each.sinceMillis());
      row.put("overdue", each.overdue());
      row.put("wanted_back", each.wanted());
      row.put("waits_for", each.waitsFor());
      rows.add(row);
    }
    page.put("standings", rows);
    return page;
  }

  // ---- what changes something ----

  private void change(String rest, Consumer<AdminServer.Reply> reply) {
    QueryStringDecoder call = new QueryStringDecoder(rest);
    String[] words = call.path().split("/");
    try {
      switch (words[0]) {
        case "ask" -> ask(call.parameters(), reply);
        case "done" ->
            send(
                new Command.Done(Long.parseLong(words[1]), words.length > 2 ? words[2] : null),
                reply);
        case "extend" ->
            send(new Command.Extend(Long.parseLong(words[1]), Long.parseLong(words[2])), reply);
        case "cancel" -> send(new Command.Cancel(Long.parseLong(words[1])), reply);
        case "vote" -> vote(words[1], true, reply);
        case "unvote" -> vote(words[1], false, reply);
        case "fence" -> send(new Command.Fence(words[1], false), reply);
        case "forget" -> send(new Command.Fence(words[1], true), reply);
        default -> throw new IllegalArgumentException(words[0]);
      }
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
      reply.accept(
          AdminServer.Reply.error(
              400,
              "work/ask?..., done/ORDER[/MACHINE], extend/ORDER/MILLIS, cancel/ORDER or"
                  + " fence/INSTANCE, forget/INSTANCE, vote/INSTANCE or unvote/INSTANCE expected: "
                  + e.getMessage()));
    }
  }

  private void ask(Map<String, List<String>> words, Consumer<AdminServer.Reply> reply) {
    Set<String> ids = new HashSet<>(words.getOrDefault("machine", List.of()));
    String kind = word(words, "kind", "");
    String zone = word(words, "zone", "");
    String cell = word(words, "cell", "");
    String key = word(words, "key", null);
    String who = word(words, "who", null);
    String why = word(words, "why", "");
    boolean urgent = Boolean.parseBoolean(word(words, "urgent", "false"));
    int atOnce = Integer.parseInt(word(words, "at_once", "1"));
    long forMillis = Long.parseLong(word(words, "for_ms", null));
    long after = Long.parseLong(word(words, "after", "0"));
    long notBefore = Long.parseLong(word(words, "not_before_ms", "0"));
    long notAfter = Long.parseLong(word(words, "not_after_ms", "0"));
    if (!orders.begun()) {
      reply.accept(AdminServer.Reply.error(503, "this balancer has not joined; ask another"));
      return;
    }
    List<Machine> machines = new ArrayList<>(orders.choose(ids, kind, zone, cell));
    for (String balancer : words.getOrDefault("balancer", List.of())) {
      machines.add(Machine.balancer(balancer));
    }
    Set<String> found = new HashSet<>();
    machines.forEach(each -> found.add(each.id()));
    for (String id : ids) {
      if (!found.contains(id)) {
        reply.accept(AdminServer.Reply.error(409, "no server " + id + " is listed here"));
        return;
      }
    }
    send(
        new Command.Ask(
            key, who, why, urgent, atOnce, forMillis, after, notBefore, notAfter, machines),
        reply);
  }

  private void vote(String peer, boolean votes, Consumer<AdminServer.Reply> reply) {
    orders
        .vote(peer, votes)
        .whenComplete(
            (voters, failure) ->
                reply.accept(
                    voters == null
                        ? AdminServer.Reply.error(503, failure.getMessage())
                        : AdminServer.Reply.ok(Map.of("voters", voters))));
  }

  private static String word(Map<String, List<String>> words, String key, String otherwise) {
    List<String> values = words.get(key);
    if (values == null && otherwise == null) {
      throw new IllegalArgumentException(key + " is missing");
    }
    return values == null ? otherwise : values.get(0);
  }

  /** Tells what became of it when all instances will know. */
  private void send(Command command, Consumer<AdminServer.Reply> reply) {
    orders
        .submitAndKnow(command)
        .whenComplete(
            (CommandResult said, Throwable failure) -> {
              if (said == null) {
                reply.accept(
                    AdminServer.Reply.error(
                        503, "not known to be taken, ask again: " + failure.getMessage()));
              } else if (said.ok()) {
                Map<String, Object> body = new LinkedHashMap<>();
                body.put("order", said.value());
                body.put("message", said.message());
                reply.accept(AdminServer.Reply.ok(body));
              } else {
                reply.accept(AdminServer.Reply.error(409, said.message()));
              }
            });
  }
}
