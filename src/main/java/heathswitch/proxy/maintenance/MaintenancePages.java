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

/** The admin pages that show maintenance orders and accept requests from operators. */
final class MaintenancePages {
  /** Maximum number of machines of one order that are shown. */
  private static final int MAX_SHOWN = 200;

  private final MaintenanceService service;
  private final MaintenanceConfig config;
  private final MaintenanceReplica replica;
  private final Executor queries;

  MaintenancePages(
      MaintenanceService service,
      MaintenanceConfig config,
      MaintenanceReplica replica,
      Executor queries) {
    this.service = service;
    this.config = config;
    this.replica = replica;
    this.queries = queries;
  }

  void add(AdminServer admin) {
    admin.get("work", this::read);
    admin.post("work", this::change);
  }

  /** Answers a query from the replicated state, off the event loop. */
  private void read(String rest, Consumer<AdminServer.Reply> reply) {
    Function<MaintenanceState, Map<String, Object>> query;
    if (rest.isEmpty()) {
      long lease = service.leaseLeftMillis();
      String trouble = service.trouble();
      query = state -> overview(state, lease, trouble);
    } else if (rest.equals("settled")) {
      query = MaintenanceState::toSnapshot;
    } else if (rest.matches("\\d{1,18}")) {
      query = state -> order(state, Long.parseLong(rest));
    } else {
      reply.accept(AdminServer.Reply.error(404, "work, work/ORDER or work/settled expected"));
      return;
    }
    try {
      queries.execute(
          () -> {
            Map<String, Object> page = replica.query(query);
            reply.accept(
                page == null
                    ? AdminServer.Reply.error(404, "no order " + rest)
                    : AdminServer.Reply.ok(page));
          });
    } catch (RejectedExecutionException e) {
      reply.accept(AdminServer.Reply.error(503, "ending"));
    }
  }

  /** The page {@code work}. */
  private Map<String, Object> overview(MaintenanceState state, long leaseMillis, String trouble) {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", config.instance());
    page.put("leader", service.leader());
    page.put("voters", service.voters());
    page.put("entry", state.appliedIndex());
    page.put("log_ms", state.nowMillis());
    page.put("form", state.formatVersion());
    page.put("when_cut_off", config.stopsWhenCutOff() ? "stop" : "serve");
    page.put("lease_left_ms", leaseMillis);
    page.put("trouble", trouble);
    MaintenanceRules rules = state.rules();
    Map<String, Object> inForce = new LinkedHashMap<>();
    inForce.put("version", rules.version());
    inForce.put("lease_ms", rules.leaseMillis());
    inForce.put("most_out", rules.maxOut());
    inForce.put("most_out_in_cell", rules.maxOutInCell());
    inForce.put("floors", rules.floors().stream().map(Object::toString).toList());
    page.put("rules", inForce);
    List<Object> instances = new ArrayList<>();
    for (MaintenanceState.InstanceStatus each : state.instanceStatuses()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("name", each.name());
      row.put("when_cut_off", each.stopsWhenCutOff() ? "stop" : "serve");
      row.put("fenced", each.fenced());
      row.put("knows_form", each.latestFormat());
      row.put("heard_ms_ago", each.heardMillisAgo());
      instances.add(row);
    }
    page.put("instances", instances);
    List<Object> rows = new ArrayList<>();
    for (long id : state.orderIds()) {
      rows.add(summary(state, id));
    }
    page.put("orders", rows);
    return page;
  }

  /** What both pages show of an order. */
  private static Map<String, Object> summary(MaintenanceState state, long id) {
    Command.Ask ask = state.request(id);
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("order", id);
    row.put("who", ask.requester());
    row.put("why", ask.reason());
    row.put("machines", ask.machines().size());
    row.put("at_once", ask.atOnce());
    Map<String, Object> phases = new LinkedHashMap<>();
    for (Map.Entry<Phase, Integer> each : state.phaseCounts(id).entrySet()) {
      phases.put(each.getKey().name().toLowerCase(Locale.ROOT), each.getValue());
    }
    row.put("phases", phases);
    row.put("wanted_back", state.wantedBackCount(id));
    return row;
  }

  /** The page {@code work/ORDER}, or null if there is no such order. */
  private static Map<String, Object> order(MaintenanceState state, long id) {
    Command.Ask ask = state.request(id);
    if (ask == null) {
      return null;
    }
    Map<String, Object> page = summary(state, id);
    page.put("urgent", ask.urgent());
    page.put("for_ms", ask.durationMillis());
    page.put("after", ask.afterOrder());
    List<Object> rows = new ArrayList<>();
    for (MaintenanceState.MachineStatus each : state.machineStatuses(id, MAX_SHOWN)) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("machine", each.machine());
      row.put("phase", each.phase().name().toLowerCase(Locale.ROOT));
      row.put("since_ms", each.sinceMillis());
      row.put("overdue", each.overdue());
      row.put("wanted_back", each.wantedBack());
      row.put("waits_for", each.waitsFor());
      rows.add(row);
    }
    page.put("standings", rows);
    return page;
  }

  // ---- changes ----

  private void change(String rest, Consumer<AdminServer.Reply> reply) {
    QueryStringDecoder call = new QueryStringDecoder(rest);
    String[] segments = call.path().split("/");
    try {
      switch (segments[0]) {
        case "ask" -> ask(call.parameters(), reply);
        case "done" ->
            send(
                new Command.Done(
                    Long.parseLong(segments[1]), segments.length > 2 ? segments[2] : null),
                reply);
        case "extend" ->
            send(
                new Command.Extend(Long.parseLong(segments[1]), Long.parseLong(segments[2])),
                reply);
        case "cancel" -> send(new Command.Cancel(Long.parseLong(segments[1])), reply);
        case "vote" -> setVoter(segments[1], true, reply);
        case "unvote" -> setVoter(segments[1], false, reply);
        case "fence" -> send(new Command.Fence(segments[1], false), reply);
        case "forget" -> send(new Command.Fence(segments[1], true), reply);
        default -> throw new IllegalArgumentException(segments[0]);
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

  private void ask(Map<String, List<String>> parameters, Consumer<AdminServer.Reply> reply) {
    Set<String> ids = new HashSet<>(parameters.getOrDefault("machine", List.of()));
    String kind = parameter(parameters, "kind", "");
    String zone = parameter(parameters, "zone", "");
    String cell = parameter(parameters, "cell", "");
    String key = parameter(parameters, "key", null);
    String requester = parameter(parameters, "who", null);
    String reason = parameter(parameters, "why", "");
    boolean urgent = Boolean.parseBoolean(parameter(parameters, "urgent", "false"));
    int atOnce = Integer.parseInt(parameter(parameters, "at_once", "1"));
    long durationMillis = Long.parseLong(parameter(parameters, "for_ms", null));
    long afterOrder = Long.parseLong(parameter(parameters, "after", "0"));
    long notBefore = Long.parseLong(parameter(parameters, "not_before_ms", "0"));
    long notAfter = Long.parseLong(parameter(parameters, "not_after_ms", "0"));
    if (!service.hasEverJoined()) {
      reply.accept(
          AdminServer.Reply.error(
              503, "this balancer has not joined yet; send the request to another"));
      return;
    }
    List<Machine> machines = new ArrayList<>(service.choose(ids, kind, zone, cell));
    for (String balancer : parameters.getOrDefault("balancer", List.of())) {
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
            key,
            requester,
            reason,
            urgent,
            atOnce,
            durationMillis,
            afterOrder,
            notBefore,
            notAfter,
            machines),
        reply);
  }

  private void setVoter(String peer, boolean votes, Consumer<AdminServer.Reply> reply) {
    service
        .setVoter(peer, votes)
        .whenComplete(
            (voters, failure) ->
                reply.accept(
                    voters == null
                        ? AdminServer.Reply.error(503, failure.getMessage())
                        : AdminServer.Reply.ok(Map.of("voters", voters))));
  }

  /** The first value of a parameter, or {@code fallback}; without one the parameter is required. */
  private static String parameter(
      Map<String, List<String>> parameters, String key, String fallback) {
    List<String> values = parameters.get(key);
    if (values == null && fallback == null) {
      throw new IllegalArgumentException(key + " is missing");
    }
    return values == null ? fallback : values.get(0);
  }

  /** Submits a command and replies with its result once it is part of the log. */
  private void send(Command command, Consumer<AdminServer.Reply> reply) {
    service
        .submitAndApply(command)
        .whenComplete(
            (CommandResult result, Throwable failure) -> {
              if (result == null) {
                reply.accept(
                    AdminServer.Reply.error(
                        503,
                        "the command may not have been applied, try again: "
                            + failure.getMessage()));
              } else if (result.ok()) {
                Map<String, Object> body = new LinkedHashMap<>();
                body.put("order", result.value());
                body.put("message", result.message());
                reply.accept(AdminServer.Reply.ok(body));
              } else {
                reply.accept(AdminServer.Reply.error(409, result.message()));
              }
            });
  }
}
