package heathswitch.proxy.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import testing.Await;

/** Runs several balancer processes that share servers, with faults between them. */
class SubsetFleetTest {
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(3));
  private static final int SERVERS = 12;
  private static final String TABLE =
      "width = 4\nstep = \"200ms\"\nsettle = \"500ms\"\nmost_moved = 0.3\nalone_steps = 5\n";

  private final Map<Node, HttpLoadGenerator> loads = new HashMap<>();

  private Fleet fleet(int seed, int count, int first) throws Exception {
    Fleet fleet =
        new Fleet(seed)
            .servers(SERVERS, "front", SHAPE)
            .withGossip("k1 c3Vic2V0LXN1YnNldC1zdWJzZXQtc3Vic2V0\n")
            .withSubsetting(TABLE)
            .startInitially(first)
            .start(count);
    load(fleet, fleet.nodes().subList(0, first));
    return fleet;
  }

  private void load(Fleet fleet, List<Node> nodes) {
    // Unequal loads: the second balancer gets three times as many calls as each of the others.
    nodes.forEach(
        node -> loads.put(node, fleet.startLoad(node, node == fleet.nodes().get(1) ? 90 : 30)));
  }

  private void stopLoadsAndCheckLedger(Fleet fleet) throws InterruptedException {
    for (HttpLoadGenerator load : loads.values()) {
      load.stop();
    }
    assertEquals(0, fleet.ledger().lostCount());
    assertEquals(0, fleet.ledger().duplicateRunCount(id -> id.contains("publish")));
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

  /** The servers in the subset of a balancer. */
  private static TreeSet<String> subsetOf(Node node) {
    TreeSet<String> subset = new TreeSet<>();
    if (page(node).get("own") instanceof List<?> rows) {
      rows.forEach(row -> subset.add(String.valueOf(((Map<?, ?>) row).get("server"))));
    }
    return subset;
  }

  private static TreeSet<String> usedServers(List<Node> nodes) {
    TreeSet<String> used = new TreeSet<>();
    nodes.forEach(node -> used.addAll(subsetOf(node)));
    return used;
  }

  /**
   * Waits until each node counts this many balancers and follows its plan, and all servers are
   * used.
   */
  private static void awaitSettled(List<Node> nodes, int balancers) throws InterruptedException {
    for (Node node : nodes) {
      Await.until(
          node.name() + " counts " + balancers + " balancers",
          () -> {
            Map<String, Object> page = page(node);
            return number(page, "balancers") == balancers
                && Math.abs(number(page, "apart")) < 0.005;
          });
    }
    Await.until("all servers are used", () -> usedServers(nodes).size() == SERVERS);
  }

  /**
   * Waits until a balancer does not use all servers, and returns its subset. If heartbeats of the
   * others arrive late, as on a busy machine, a balancer correctly uses all servers for a moment.
   */
  private static TreeSet<String> awaitSubset(Node node) throws InterruptedException {
    AtomicReference<TreeSet<String>> subset = new AtomicReference<>();
    Await.until(
        node.name() + " uses only some of the servers",
        () -> {
          subset.set(subsetOf(node));
          return subset.get().size() < SERVERS;
        });
    return subset.get();
  }

  /** Calls of the most loaded server during 3 s, divided by the mean. */
  private static double spread(Fleet fleet) {
    try {
      long[] before = fleet.servers().stream().mapToLong(SimulatedServer::receivedCount).toArray();
      Thread.sleep(3000);
      long most = 0;
      long sum = 0;
      for (int i = 0; i < SERVERS; i++) {
        long calls = fleet.servers().get(i).receivedCount() - before[i];
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
  void serversAreEvenlyLoadedWhenTheFleetGrowsAndShrinks() throws Exception {
    try (Fleet fleet = fleet(61, 4, 2)) {
      List<Node> nodes = fleet.nodes();
      awaitSettled(nodes.subList(0, 2), 2);
      fleet.startNodes(nodes.subList(2, 4));
      load(fleet, nodes.subList(2, 4));
      awaitSettled(nodes, 4);
      Await.until("servers are evenly loaded by four balancers", () -> spread(fleet) < 1.25);
      int pairs = 0;
      for (Node node : nodes) {
        pairs += (int) number(page(node), "uses");
      }
      assertTrue(pairs < 0.75 * 4 * SERVERS, "pairs " + pairs);
      assertTrue(
          number(page(nodes.get(1)), "uses") > number(page(nodes.get(0)), "uses"),
          "the balancer with more calls uses more servers");
      loads.remove(nodes.get(3)).stop();
      nodes.get(3).kill();
      awaitSettled(nodes.subList(0, 3), 3);
      Await.until("servers are evenly loaded by three balancers", () -> spread(fleet) < 1.25);
      assertEquals(1, number(page(nodes.get(0)), "unseen"));
      stopLoadsAndCheckLedger(fleet);
    }
  }

  /** Neither half leaves a server unused, and no server gets twice its fair share. */
  @Test
  void bothSidesOfANetworkSplitLoadAllServersEvenly() throws Exception {
    try (Fleet fleet = fleet(62, 4, 4)) {
      List<Node> nodes = fleet.nodes();
      awaitSettled(nodes, 4);
      fleet.setPartitioned(nodes.subList(0, 2), nodes.subList(2, 4), true);
      awaitSettled(nodes.subList(0, 2), 2);
      awaitSettled(nodes.subList(2, 4), 2);
      Await.until("servers are evenly loaded by both halves", () -> spread(fleet) < 1.3);
      fleet.setPartitioned(nodes.subList(0, 2), nodes.subList(2, 4), false);
      awaitSettled(nodes, 4);
      stopLoadsAndCheckLedger(fleet);
    }
  }

  /**
   * It keeps its subset for a while, and then uses all servers: it may be the only balancer left.
   */
  @Test
  void anIsolatedBalancerFinallyUsesAllServers() throws Exception {
    try (Fleet fleet = fleet(63, 3, 3)) {
      List<Node> nodes = fleet.nodes();
      Node isolated = nodes.get(2);
      awaitSettled(nodes, 3);
      awaitSubset(isolated);
      fleet.setPartitioned(List.of(isolated), nodes.subList(0, 2), true);
      Await.until(
          "the isolated balancer uses all servers",
          () -> subsetOf(isolated).size() == SERVERS && number(page(isolated), "unseen") == 2);
      awaitSettled(nodes.subList(0, 2), 2);
      // After it is paused and resumed, it takes part again.
      fleet.setPartitioned(List.of(isolated), nodes.subList(0, 2), false);
      awaitSettled(nodes, 3);
      loads.remove(isolated).stop();
      isolated.pause();
      Thread.sleep(3000);
      isolated.resume();
      awaitSettled(nodes, 3);
      stopLoadsAndCheckLedger(fleet);
    }
  }

  /** A removed server leaves all plans, whichever balancer gets the new list first. */
  @Test
  void aServerRemovedFromTheListsIsReplacedInEachSubset() throws Exception {
    try (Fleet fleet = fleet(64, 3, 3)) {
      List<Node> nodes = fleet.nodes();
      awaitSettled(nodes, 3);
      List<SimulatedServer> rest = new ArrayList<>(fleet.servers());
      SimulatedServer removed = rest.remove(4);
      for (Node node : nodes) {
        fleet.writeServerList(node, rest);
      }
      for (Node node : nodes) {
        Await.until(
            node.name() + " no longer uses the removed server",
            () ->
                number(page(node), "servers") == SERVERS - 1
                    && !subsetOf(node).contains(removed.name()));
      }
      Await.until("all other servers are used", () -> usedServers(nodes).size() == SERVERS - 1);
      long calls = removed.receivedCount();
      Thread.sleep(500);
      assertEquals(calls, removed.receivedCount());
      assertFalse(subsetOf(nodes.get(0)).isEmpty());
      Map<String, Object> serverPage = nodes.get(0).get("subset/" + rest.get(0).name());
      assertTrue(((List<?>) serverPage.get("users")).size() >= 2, serverPage::toString);
      stopLoadsAndCheckLedger(fleet);
    }
  }

  /**
   * All servers in the subset of one balancer fail: it uses servers outside its subset instead of
   * refusing calls, and returns when its own servers have recovered.
   */
  @Test
  void usesServersOutsideTheSubsetWhileItsOwnServersFail() throws Exception {
    try (Fleet fleet = fleet(65, 3, 3)) {
      List<Node> nodes = fleet.nodes();
      awaitSettled(nodes, 3);
      Node node = nodes.get(0);
      TreeSet<String> subset = awaitSubset(node);
      List<SimulatedServer> failing =
          fleet.servers().stream().filter(each -> subset.contains(each.name())).toList();
      failing.forEach(each -> each.faults().errorShare(1));
      long before = receivedOutside(fleet, subset);
      Await.until(
          "calls go to servers outside the subset",
          () -> receivedOutside(fleet, subset) > before + 50);
      Await.until("most calls are served", () -> servedShare(loads.get(node)) > 0.7);
      failing.forEach(each -> each.faults().errorShare(0));
      Await.until(
          "its own servers get the calls again",
          // Their windows grow again only slowly, so some calls still find no room there.
          () -> number(page(node), "connected") <= subsetOf(node).size() + 2);
      stopLoadsAndCheckLedger(fleet);
    }
  }

  /** Share of the calls that are served during one second. */
  private static double servedShare(HttpLoadGenerator load) {
    try {
      long served = load.stats().count(LoadStats.Result.SERVED);
      long total = load.stats().total();
      Thread.sleep(1000);
      return (double) (load.stats().count(LoadStats.Result.SERVED) - served)
          / Math.max(1, load.stats().total() - total);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Double.NaN;
    }
  }

  /** Number of calls received by servers outside a subset. */
  private static long receivedOutside(Fleet fleet, TreeSet<String> subset) {
    return fleet.servers().stream()
        .filter(each -> !subset.contains(each.name()))
        .mapToLong(SimulatedServer::receivedCount)
        .sum();
  }
}
