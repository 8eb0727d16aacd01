package heathswitch.proxy.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import testing.Await;

/** Several processes of the program share servers, with faults between them. */
class SubsetFleetTest {
  private static final Shape SHAPE = Shape.warm(8, 64, ServiceTime.exponential(3));
  private static final int SERVERS = 12;
  private static final String TABLE =
      "width = 4\nstep = \"200ms\"\nsettle = \"500ms\"\nmost_moved = 0.3\nalone_steps = 5\n";

  private final Map<Node, OpenLoop> loads = new HashMap<>();

  private Fleet fleet(int seed, int count, int first) throws Exception {
    Fleet fleet =
        new Fleet(seed)
            .servers(SERVERS, "front", SHAPE)
            .gossiping("k1 c3Vic2V0LXN1YnNldC1zdWJzZXQtc3Vic2V0\n")
            .subsetting(TABLE)
            .first(first)
            .start(count);
    load(fleet, fleet.nodes().subList(0, first));
    return fleet;
  }

  private void load(Fleet fleet, List<Node> nodes) {
    // Unequal loads: the second gets three times what the others get.
    nodes.forEach(
        node -> loads.put(node, fleet.load(node, node == fleet.nodes().get(1) ? 90 : 30)));
  }

  private void verdict(Fleet fleet) throws InterruptedException {
    for (OpenLoop load : loads.values()) {
      load.stop();
    }
    assertEquals(0, fleet.ledger().lost());
    assertEquals(0, fleet.ledger().doubles(id -> id.contains("publish")));
  }

  private static Map<String, Object> page(Node node) {
    try {
      return node.get("subset");
    } catch (IOException e) {
      return Map.of();
    }
  }

  private static double number(Map<String, Object> page, String key) {
    return page.get(key) instanceof Number number ? number.doubleValue() : -1;
  }

  /** The servers that a node uses. */
  private static TreeSet<String> own(Node node) {
    TreeSet<String> own = new TreeSet<>();
    if (page(node).get("own") instanceof List<?> rows) {
      rows.forEach(row -> own.add(String.valueOf(((Map<?, ?>) row).get("server"))));
    }
    return own;
  }

  private static TreeSet<String> used(List<Node> nodes) {
    TreeSet<String> used = new TreeSet<>();
    nodes.forEach(node -> used.addAll(own(node)));
    return used;
  }

  /** Each counts as many balancers and uses what its plan says. */
  private static void awaitCalm(List<Node> nodes, int balancers) throws InterruptedException {
    for (Node node : nodes) {
      Await.until(
          node.name() + " is among " + balancers,
          () -> {
            Map<String, Object> page = page(node);
            return number(page, "balancers") == balancers
                && Math.abs(number(page, "apart")) < 0.005;
          });
    }
    Await.until("all servers are used", () -> used(nodes).size() == SERVERS);
  }

  /**
   * Waits until a balancer uses some servers only, and names them. Where the others' beats come
   * late, on a busy machine say, it uses all for a moment, as it has to.
   */
  private static TreeSet<String> awaitSubset(Node node) throws InterruptedException {
    AtomicReference<TreeSet<String>> some = new AtomicReference<>();
    Await.until(
        node.name() + " uses some servers only",
        () -> {
          some.set(own(node));
          return some.get().size() < SERVERS;
        });
    return some.get();
  }

  /** Calls of the most loaded server over some seconds against the mean. */
  private static double spread(Fleet fleet) {
    try {
      long[] before = fleet.servers().stream().mapToLong(StandIn::received).toArray();
      Thread.sleep(3000);
      long most = 0;
      long sum = 0;
      for (int i = 0; i < SERVERS; i++) {
        long calls = fleet.servers().get(i).received() - before[i];
        most = Math.max(most, calls);
        sum += calls;
      }
      return (double) most * SERVERS / sum;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Double.NaN;
    }
  }

  @Test
  void serversStayEvenlyUsedAsTheFleetGrowsAndShrinks() throws Exception {
    try (Fleet fleet = fleet(61, 4, 2)) {
      List<Node> nodes = fleet.nodes();
      awaitCalm(nodes.subList(0, 2), 2);
      fleet.rise(nodes.subList(2, 4));
      load(fleet, nodes.subList(2, 4));
      awaitCalm(nodes, 4);
      Await.until("evenly used by four", () -> spread(fleet) < 1.25);
      int pairs = 0;
      for (Node node : nodes) {
        pairs += (int) number(page(node), "uses");
      }
      assertTrue(pairs < 0.75 * 4 * SERVERS, "pairs " + pairs);
      assertTrue(
          number(page(nodes.get(1)), "uses") > number(page(nodes.get(0)), "uses"),
          "whoever has more calls uses more servers");
      loads.remove(nodes.get(3)).stop();
      nodes.get(3).kill();
      awaitCalm(nodes.subList(0, 3), 3);
      Await.until("evenly used by three", () -> spread(fleet) < 1.25);
      assertEquals(1, number(page(nodes.get(0)), "unseen"));
      verdict(fleet);
    }
  }

  /** Neither half leaves a server out, and none gets twice what is due to it. */
  @Test
  void bothSidesOfASplitUseAllServersEvenly() throws Exception {
    try (Fleet fleet = fleet(62, 4, 4)) {
      List<Node> nodes = fleet.nodes();
      awaitCalm(nodes, 4);
      fleet.split(nodes.subList(0, 2), nodes.subList(2, 4), true);
      awaitCalm(nodes.subList(0, 2), 2);
      awaitCalm(nodes.subList(2, 4), 2);
      Await.until("evenly used by both halves", () -> spread(fleet) < 1.3);
      fleet.split(nodes.subList(0, 2), nodes.subList(2, 4), false);
      awaitCalm(nodes, 4);
      verdict(fleet);
    }
  }

  /** It uses what it used for a while, and then all: nobody else may be there at all. */
  @Test
  void oneThatSeesNobodyAnyMoreComesToUseAllServers() throws Exception {
    try (Fleet fleet = fleet(63, 3, 3)) {
      List<Node> nodes = fleet.nodes();
      Node alone = nodes.get(2);
      awaitCalm(nodes, 3);
      awaitSubset(alone);
      fleet.split(List.of(alone), nodes.subList(0, 2), true);
      Await.until(
          "it uses all, by itself",
          () -> own(alone).size() == SERVERS && number(page(alone), "unseen") == 2);
      awaitCalm(nodes.subList(0, 2), 2);
      // Stopped and back, it is one of them again.
      fleet.split(List.of(alone), nodes.subList(0, 2), false);
      awaitCalm(nodes, 3);
      loads.remove(alone).stop();
      alone.pause();
      Thread.sleep(3000);
      alone.resume();
      awaitCalm(nodes, 3);
      verdict(fleet);
    }
  }

  /** A machine that is taken off the lists is in no plan, whoever hears of it first. */
  @Test
  void aServerThatIsTakenOffTheListsIsReplacedInEachSubset() throws Exception {
    try (Fleet fleet = fleet(64, 3, 3)) {
      List<Node> nodes = fleet.nodes();
      awaitCalm(nodes, 3);
      List<StandIn> rest = new ArrayList<>(fleet.servers());
      StandIn gone = rest.remove(4);
      for (Node node : nodes) {
        fleet.list(node, rest);
      }
      for (Node node : nodes) {
        Await.until(
            node.name() + " has heard of it",
            () -> number(page(node), "servers") == SERVERS - 1 && !own(node).contains(gone.name()));
      }
      Await.until("all others are used", () -> used(nodes).size() == SERVERS - 1);
      long calls = gone.received();
      Thread.sleep(500);
      assertEquals(calls, gone.received());
      assertFalse(own(nodes.get(0)).isEmpty());
      Map<String, Object> why = nodes.get(0).get("subset/" + rest.get(0).name());
      assertTrue(((List<?>) why.get("users")).size() >= 2, why::toString);
      verdict(fleet);
    }
  }

  /** All servers of one balancer fail: it goes to others' rather than refuse, and comes back. */
  @Test
  void whereItsOwnServersFailOthersTakeTheCalls() throws Exception {
    try (Fleet fleet = fleet(65, 3, 3)) {
      List<Node> nodes = fleet.nodes();
      awaitCalm(nodes, 3);
      Node one = nodes.get(0);
      TreeSet<String> own = awaitSubset(one);
      List<StandIn> failing =
          fleet.servers().stream().filter(each -> own.contains(each.name())).toList();
      failing.forEach(each -> each.faults().errors(1));
      long beyond = beyond(fleet, own);
      Await.until("calls go elsewhere", () -> beyond(fleet, own) > beyond + 50);
      Await.until("most are served", () -> served(loads.get(one)) > 0.7);
      failing.forEach(each -> each.faults().errors(0));
      Await.until(
          "its own take them again",
          // Their windows open again by and by: now and then a call still finds no room there.
          () -> number(page(one), "connected") <= own(one).size() + 2);
      verdict(fleet);
    }
  }

  /** The part of the calls of a second that is served. */
  private static double served(OpenLoop load) {
    try {
      long served = load.tally().count(Tally.Result.SERVED);
      long total = load.tally().total();
      Thread.sleep(1000);
      return (double) (load.tally().count(Tally.Result.SERVED) - served)
          / Math.max(1, load.tally().total() - total);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Double.NaN;
    }
  }

  /** Calls that came to other servers than these. */
  private static long beyond(Fleet fleet, TreeSet<String> own) {
    return fleet.servers().stream()
        .filter(each -> !own.contains(each.name()))
        .mapToLong(StandIn::received)
        .sum();
  }
}
