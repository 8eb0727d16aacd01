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

/** The pages of subsets on the admin listener, answered on the loop. */
final class SubsetPages {
  private static final int MOST_SHOWN = 1000;

  private final SubsetService subsetting;

  SubsetPages(SubsetService subsetting) {
    this.subsetting = subsetting;
  }

  void add(AdminServer admin) {
    admin.get("subset", this::read);
  }

  private void read(String rest, Consumer<AdminServer.Reply> reply) {
    SubsetService.Shown shown = subsetting.shown();
    if (shown.plan() == null) {
      reply.accept(
          AdminServer.Reply.ok(
              Map.of(
                  "instance",
                  subsetting.instance(),
                  "narrow",
                  false,
                  "message",
                  "hears who is there before it narrows; all servers are used")));
    } else if (rest.isEmpty()) {
      reply.accept(AdminServer.Reply.ok(page(shown)));
    } else {
      explain(QueryStringDecoder.decodeComponent(rest), shown.plan(), reply);
    }
  }

  private Map<String, Object> page(SubsetService.Shown shown) {
    SubsetPlan plan = shown.plan();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", subsetting.instance());
    page.put("narrow", true);
    page.put("balancers", plan.census().instances().size());
    page.put("unseen", shown.unseen());
    page.put("servers", plan.census().servers().size());
    Map<String, Double> uses = subsetting.narrowing().uses();
    page.put("uses", uses == null ? 0 : uses.size());
    page.put("connected", subsetting.connected());
    page.put("spread", rounded(shown.spread()));
    page.put("pairs", plan.pairs());
    page.put("apart", rounded(shown.apart()));
    page.put("moved", rounded(shown.moved()));
    page.put("steps", shown.steps());
    List<Object> rows = new ArrayList<>();
    Map<String, Double> wanted = plan.row(subsetting.instance());
    if (uses != null) {
      uses.entrySet().stream()
          .sorted((a, b) -> Double.compare(b.getValue(), a.getValue()))
          .limit(MOST_SHOWN)
          .forEach(
              each -> {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("server", each.getKey());
                row.put("part", rounded(each.getValue()));
                row.put("wanted", rounded(wanted.getOrDefault(each.getKey(), 0.0)));
                rows.add(row);
              });
    }
    page.put("own", rows);
    return page;
  }

  private static double rounded(double value) {
    return Math.round(value * 1e4) / 1e4;
  }

  /** Who uses a server, by the plan as this balancer sees it, and why. */
  private void explain(String server, SubsetPlan plan, Consumer<AdminServer.Reply> reply) {
    FleetSnapshot census = plan.census();
    FleetSnapshot.Server found =
        census.servers().stream().filter(each -> each.name().equals(server)).findAny().orElse(null);
    if (found == null) {
      reply.accept(
          AdminServer.Reply.error(404, "no server " + server + " is in service by this list"));
      return;
    }
    Map<String, Double> uses = subsetting.narrowing().uses();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("server", server);
    page.put("zone", found.zone());
    page.put("cell", found.cell());
    page.put("weight", found.weight());
    page.put("due", rounded(found.weight() / census.weight() * census.load()));
    page.put("here", rounded(uses == null ? 0 : uses.getOrDefault(server, 0.0)));
    List<Object> rows = new ArrayList<>();
    Map<String, Double> users = plan.users(server);
    for (FleetSnapshot.Instance each : census.instances()) {
      Double calls = users.get(each.name());
      if (calls != null && rows.size() < MOST_SHOWN) {
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
