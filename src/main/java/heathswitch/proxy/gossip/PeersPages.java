package heathswitch.proxy.gossip;

import heathswitch.policy.gossip.Gossip;
import heathswitch.policy.gossip.PeerRecord;
import heathswitch.proxy.admin.AdminServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The pages of peers on the admin listener, answered on the loop. */
final class PeersPages {
  private final GossipService peering;
  private final PeersTable table;

  PeersPages(GossipService peering, PeersTable table) {
    this.peering = peering;
    this.table = table;
  }

  void add(AdminServer admin) {
    admin.get("peers", this::read);
    admin.post("peers", this::change);
  }

  private void read(String rest, Consumer<AdminServer.Reply> reply) {
    reply.accept(
        rest.isEmpty()
            ? AdminServer.Reply.ok(page())
            : AdminServer.Reply.error(404, "peers expected, and nothing after it"));
  }

  private void change(String rest, Consumer<AdminServer.Reply> reply) {
    if (!rest.equals("leave")) {
      reply.accept(AdminServer.Reply.error(404, "peers/leave expected"));
      return;
    }
    peering.leave();
    reply.accept(
        AdminServer.Reply.ok(
            Map.of("message", table.instance() + " has left until its next start")));
  }

  private Map<String, Object> page() {
    Gossip gossip = peering.gossip();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", table.instance());
    page.put("there", gossip.presentPeers().size());
    page.put("left", peering.hasLeft());
    page.put("doubled", gossip.doubled());
    page.put("slowness", gossip.slowness());
    page.put("self", row(gossip.self()));
    List<Object> rows = new ArrayList<>();
    long now = System.nanoTime();
    for (Gossip.Seen each : gossip.seen()) {
      Map<String, Object> row = row(each.word());
      row.put("since_ms", (now - each.sinceNanos()) / 1_000_000);
      row.put("suspected_by", each.suspects());
      row.put("trip_ms", each.tripNanos() < 0 ? -1 : each.tripNanos() / 1e6);
      rows.add(row);
    }
    page.put("peers", rows);
    page.put("datagrams", peering.counts());
    return page;
  }

  private static Map<String, Object> row(PeerRecord word) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("name", word.name());
    row.put("standing", GossipService.lower(word.standing()));
    row.put("address", word.address());
    row.put("zone", word.attributes().zone());
    row.put("load", word.attributes().load());
    row.put("release", word.attributes().release());
    row.put("incarnation", word.incarnation());
    return row;
  }
}
