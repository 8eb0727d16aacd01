package heathswitch.proxy.subsetting;

import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.SubsetPlan;
import heathswitch.proxy.admin.AdminServer;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Admin pages about the subset of this balancer; they are served on the event loop. */
final class SubsetPages {
  private static final int MAX_ROWS = 1000;

  private final SubsetService service;

  SubsetPages(SubsetService service) {
    this.service = service;
  }

  void add(AdminServer admin) {
    admin.get("subset", this::read);
  }

  private void read(String path, Consumer<AdminServer.Reply> reply) {
    SubsetService.Status status = service.status();
    if (status.plan() == null) {
      reply.accept(
          AdminServer.Reply.ok(
              Map.of(
                  "instance",
                  service.instance(),
                  "narrow",
                  false,
                  "message",
                  "all servers are used until the other balancers are known")));
    } else if (path.isEmpty()) {
      reply.accept(AdminServer.Reply.ok(statusPage(status)));
    } else {
      explainServer(QueryStringDecoder.decodeComponent(path), status.plan(), reply);
    }
  }

  private Map<String, Object> statusPage(SubsetService.Status status) {
    SubsetPlan plan = status.plan();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", service.instance());
    page.put("narrow", true);
    page.put("balancers", plan.snapshot().instances().size());
    page.put("unseen", status.unseen());
    page.put("servers", plan.snapshot().servers().size());
    Map<String, Double> shares = service.overlay().shares();
    page.put("uses", shares == null ? 0 : shares.size());
    page.put("connected", service.connectedServerCount());
    page.put("spread", rounded(status.spread()));
    page.put("pairs", plan.pairCount());
    page.put("apart", rounded(status.distanceToPlan()));
    page.put("moved", rounded(status.totalMovedShare()));
    page.put("steps", status.stepCount());
    List<Object> rows = new ArrayList<>();
    Map<String, Double> planned = plan.sharesOf(service.instance());
    if (shares != null) {
      shares.entrySet().stream()
          .sorted((a, b) -> Double.compare(b.getValue(), a.getValue()))
          .limit(MAX_ROWS)
          .forEach(
              each -> {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("server", each.getKey());
                row.put("part", rounded(each.getValue()));
                row.put("wanted", rounded(planned.getOrDefault(each.getKey(), 0.0)));
                rows.add(row);
              });
    }
    page.put("own", rows);
    return page;
  }

  private static double rounded(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  /** Describes a server and the balancers that use it according to this balancer's plan. */
  private void explainServer(String server, SubsetPlan plan, Consumer<AdminServer.Reply> reply) {
    FleetSnapshot snapshot = plan.snapshot();
    FleetSnapshot.Server found =
        snapshot.servers().stream()
            .filter(each -> each.name().equals(server))
            .findAny()
            .orElse(null);
    if (found == null) {
      reply.accept(
          AdminServer.Reply.error(
              404, "server " + server + " is not in service in this balancer's lists"));
      return;
    }
    Map<String, Double> shares = service.overlay().shares();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("server", server);
    page.put("zone", found.zone());
    page.put("cell", found.cell());
    page.put("weight", found.weight());
    page.put("due", rounded(found.weight() / snapshot.totalWeight() * snapshot.totalLoad()));
    page.put("here", rounded(shares == null ? 0 : shares.getOrDefault(server, 0.0)));
    List<Object> rows = new ArrayList<>();
    Map<String, Double> callRates = plan.callRatesByUser(server);
    for (FleetSnapshot.Instance each : snapshot.instances()) {
      Double calls = callRates.get(each.name());
      if (calls != null && rows.size() < MAX_ROWS) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("balancer", each.name());
        row.put("zone", each.zone());
        row.put("load", rounded(each.load()));
        row.put("calls", rounded(calls));
        rows.add(row);
      }
    }
    page.put("users", rows);
    reply.accept(AdminServer.Reply.ok(page));
  }
}
