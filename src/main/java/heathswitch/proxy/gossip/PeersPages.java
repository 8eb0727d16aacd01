package heathswitch.proxy.gossip;

import heathswitch.policy.gossip.Gossip;
import heathswitch.policy.gossip.PeerRecord;
import heathswitch.proxy.admin.AdminServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The peers' pages on the admin listener; requests are answered on the event loop. */
final class PeersPages {
  private final GossipService service;
  private final PeersTable table;

  PeersPages(GossipService service, PeersTable table) {
    this.service = service;
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
            : AdminServer.Reply.error(404, "unknown page; expected peers without a further path"));
  }

  private void change(String rest, Consumer<AdminServer.Reply> reply) {
    if (!rest.equals("leave")) {
      reply.accept(AdminServer.Reply.error(404, "peers/leave expected"));
      return;
    }
    service.leave();
    reply.accept(
        AdminServer.Reply.ok(
            Map.of("message", table.instance() + " has left until its next start")));
  }

  private Map<String, Object> page() {
    Gossip gossip = service.gossip();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", table.instance());
    page.put("there", gossip.presentPeers().size());
    page.put("left", service.hasLeft());
    page.put("doubled", gossip.nameConflict());
    page.put("slowness", gossip.slowness());
    page.put("self", row(gossip.self()));
    List<Object> rows = new ArrayList<>();
    long now = System.nanoTime();
    for (Gossip.PeerView each : gossip.peerViews()) {
      Map<String, Object> row = row(each.record());
      row.put("since_ms", (now - each.sinceNanos()) / 1_000_000);
      row.put("suspected_by", each.suspecters());
      row.put("trip_ms", each.roundTripNanos() < 0 ? -1 : each.roundTripNanos() / 1e6);
      rows.add(row);
    }
    page.put("peers", rows);
    page.put("datagrams", service.counts());
    return page;
  }

  private static Map<String, Object> row(PeerRecord peer) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("name", peer.name());
    row.put("standing", GossipService.lowerCase(peer.status()));
    row.put("address", peer.address());
    row.put("zone", peer.attributes().zone());
    row.put("load", peer.attributes().load());
    row.put("release", peer.attributes().release());
    row.put("incarnation", peer.incarnation());
    return row;
  }
}
