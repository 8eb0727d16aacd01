package heathswitch.proxy.maintenance;

import static heathswitch.proxy.maintenance.MaintenanceFixture.SHAPE;
import static heathswitch.proxy.maintenance.MaintenanceFixture.ask;
import static heathswitch.proxy.maintenance.MaintenanceFixture.askedAtLast;
import static heathswitch.proxy.maintenance.MaintenanceFixture.awaitOut;
import static heathswitch.proxy.maintenance.MaintenanceFixture.done;
import static heathswitch.proxy.maintenance.MaintenanceFixture.fenced;
import static heathswitch.proxy.maintenance.MaintenanceFixture.lines;
import static heathswitch.proxy.maintenance.MaintenanceFixture.phase;
import static heathswitch.proxy.maintenance.MaintenanceFixture.shown;
import static heathswitch.proxy.maintenance.MaintenanceFixture.standing;
import static heathswitch.proxy.maintenance.MaintenanceFixture.version;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.members.ListedServer;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.fleet.Terms;
import heathswitch.testbed.server.StandIn;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import testing.Await;

/** Work orders in several processes whose disks, programs, lists and servers fail. */
class MaintenanceFaultTest {
  private static final String FLOOR = "[[work.floor]]\nkind = \"front\"\nleast = %s\n";

  private final MaintenanceFixture work = new MaintenanceFixture();

  private static Node other(Fleet fleet, Node than) {
    return fleet.nodes().stream().filter(node -> node != than).findFirst().orElseThrow();
  }

  /** Whoever leads has settled a grant and is killed before the others have heard of it. */
  @Test
  void aGrantHoldsWhoseLeaderIsKilledBeforeItIsTold() throws Exception {
    try (Fleet fleet = new Fleet(11)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.stopping(1500, 1));
      work.load(fleet);
      for (int round = 1; round <= 3; round++) {
        Node leader = fleet.leader();
        Node other = other(fleet, leader);
        String key = "k" + round;
        CompletableFuture<Void> asked =
            CompletableFuture.runAsync(
                () -> {
                  try {
                    ask(leader, key, "machine=front-1");
                  } catch (IOException e) {
                    // Killed before it could say so.
                  }
                });
        int before = ((List<?>) shown(leader, "orders")).size();
        Await.until("granted", () -> shown(leader, "orders").toString().contains("emptying=1"));
        leader.kill();
        fleet.history().note("killed " + leader.name() + " after " + before + " orders");
        asked.get(60, TimeUnit.SECONDS);
        long order = round;
        Await.until("it is out", () -> phase(other, order).equals("out"));
        assertEquals(order, ask(other, key, "machine=front-1"), "the same request is one order");
        fleet.history().out("front-1");
        leader.start();
        Await.until("it is back", () -> leader.serves() && phase(leader, order).equals("out"));
        done(fleet, other, order, "front-1");
        Await.until("done", () -> phase(other, order).equals("done"));
      }
      work.verdict(fleet);
    }
  }

  /** What was being written when the power failed is cut off and told; nothing else is lost. */
  @Test
  void aTornLogIsCutOffAndReported() throws Exception {
    try (Fleet fleet = new Fleet(12)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.serving(1));
      work.load(fleet);
      Node leader = fleet.leader();
      Node torn = other(fleet, leader);
      long order = ask(torn, "front-1");
      awaitOut(fleet, torn, order, "front-1");
      torn.kill();
      assertTrue(torn.tearLog() > 5);
      torn.start();
      Await.until("it serves", torn::serves);
      assertEquals("out", phase(torn, order));
      assertTrue(
          lines(torn).stream()
              .map(line -> String.valueOf(line.get("message")))
              .anyMatch(message -> message.contains("Failed to read segment file")),
          lines(torn)::toString);
      // It is one of a majority again, with what it has.
      leader.kill();
      long next = askedAtLast(torn, "next", "machine=front-2");
      assertEquals("waiting", phase(torn, next));
      torn.post("work/fence/" + leader.name());
      done(fleet, torn, order, "front-1");
      awaitOut(fleet, torn, next, "front-2");
      work.verdict(fleet);
    }
  }

  /** Under "stop" the others go on without it; with room on its disk its next start joins. */
  @Test
  void oneWhoseDiskIsFullLeavesOffAndTheOthersGoOn() throws Exception {
    try (Fleet fleet = new Fleet(13)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.stopping(1500, 1));
      Node full = fleet.leader();
      Node other = other(fleet, full);
      fleet.nodes().stream().filter(node -> node != full).forEach(node -> fleet.load(node, 60));
      full.fillDisk(1 << 16);
      List<Long> orders = new ArrayList<>();
      for (int i = 0; !String.valueOf(shown(full, "trouble")).contains("written"); i++) {
        assertTrue(i < 100, "its log is longer than its disk");
        orders.add(askedAtLast(other, "k" + i + "x".repeat(3000), "machine=front-1"));
      }
      Await.until("fenced", () -> fenced(other, full));
      assertEquals(0, shown(full, "lease_left_ms"));
      awaitOut(fleet, other, orders.get(0), "front-1");
      fleet.history().note("another leads: " + fleet.leader().name());
      // The library's lines are limited as all are: it is sent the same again and again.
      assertTrue(lines(full).size() < 300, "lines " + lines(full).size());
      full.end();
      full.start();
      Await.until("it serves", full::serves);
      assertEquals("out", phase(full, orders.get(0)));
      work.verdict(fleet);
    }
  }

  /** Orders go on among two releases; what is new holds when the last one has been upgraded. */
  @Test
  void anInstanceOfAnOlderReleaseTakesPartUntilAllAreUpgraded() throws Exception {
    try (Fleet fleet = new Fleet(14)) {
      fleet.servers(3, "front", SHAPE);
      fleet.before(
          node -> node.flags(node == fleet.node(3) ? "-Dheathswitch.work.knows=1" : "-ea"));
      fleet.start(3, 3, Terms.serving(1));
      work.load(fleet);
      Node older = fleet.node(3);
      assertEquals(1, shown(fleet.node(1), "form"));
      long order = ask(older, "front-1");
      awaitOut(fleet, fleet.node(1), order, "front-1");
      done(fleet, older, order, "front-1");
      Await.until("done", () -> phase(older, order).equals("done"));
      assertEquals(1, shown(older, "form"));
      older.end();
      older.flags();
      older.start();
      Await.until("it serves", older::serves);
      for (Node node : fleet.nodes()) {
        Await.until("all are upgraded", () -> shown(node, "form").equals(2));
      }
      long next = ask(older, "front-2");
      awaitOut(fleet, older, next, "front-2");
      // Back to the older release: it can't take what is written now, and must not guess.
      older.end();
      older.flags("-Dheathswitch.work.knows=1");
      older.start();
      Await.until("told", () -> shown(older, "trouble").toString().contains("beyond 1"));
      assertFalse(older.serves());
      work.verdict(fleet);
    }
  }

  /** Its twins die while it is out: it is wanted back, and nothing more goes. */
  @Test
  void aMachineIsWantedBackWhenItsTwinsDie() throws Exception {
    try (Fleet fleet = new Fleet(15)) {
      fleet.servers(5, "front", SHAPE);
      fleet.start(3, 3, Terms.serving(3).with(FLOOR.formatted("0.5")));
      work.load(fleet);
      Node node = fleet.node(2);
      long out = ask(node, "front-1");
      awaitOut(fleet, node, out, "front-1");
      fleet.servers().get(1).close();
      fleet.servers().get(2).close();
      Await.until("wanted", () -> Boolean.TRUE.equals(seen(node, out).get("wanted_back")));
      String reason = String.valueOf(seen(node, out).get("waits_for"));
      assertTrue(reason.contains("wanted back: floor 0.5 of kind front"), reason);
      long next = ask(node, "front-4");
      Thread.sleep(1500);
      assertEquals("waiting", phase(node, next));
      assertEquals("out", phase(node, out), "nobody but who works there puts it back");
      done(fleet, node, out, "front-1");
      Await.until("back", () -> phase(node, out).equals("done"));
      assertEquals("waiting", phase(node, next), "three of five are left, and three must be");
      for (Node each : fleet.nodes()) {
        Map<String, Object> line =
            lines(each).stream()
                .filter(any -> String.valueOf(any.get("message")).contains("is wanted back"))
                .findFirst()
                .orElseThrow();
        assertEquals("front-1", line.get("server"));
        assertEquals(Long.toString(out), line.get("order"));
        assertEquals(each.name(), line.get("instance"));
        assertEquals("work order", line.get("kind"));
        assertEquals("WARN", line.get("level"));
      }
      work.verdict(fleet);
    }
  }

  private static Map<?, ?> seen(Node node, long order) {
    try {
      return standing(node, order);
    } catch (IOException e) {
      return Map.of();
    }
  }

  /** Only one instance can't reach a server: what it sees counts, and says who sees it. */
  @Test
  void whoeverSeesLeastDecidesWhatIsInService() throws Exception {
    try (Fleet fleet = new Fleet(16)) {
      fleet.servers(4, "front", SHAPE).relayed();
      fleet.start(3, 3, Terms.serving(2).with(FLOOR.formatted("0.75")));
      work.load(fleet);
      Node apart = fleet.node(3);
      StandIn lost = fleet.servers().get(3);
      apart.way(lost).cut(true);
      Await.until("ill for one", () -> worth(fleet.node(1), apart) == 3);
      Await.until("well for the others", () -> worth(fleet.node(1), fleet.node(2)) == 4);
      long order = ask(fleet.node(1), "front-1");
      assertEquals("waiting", phase(fleet.node(1), order));
      String waits = String.valueOf(standing(fleet.node(1), order).get("waits_for"));
      assertTrue(waits.contains("edge-3 sees 3.00 in service, 3.00 must be left"), waits);
      apart.way(lost).cut(false);
      awaitOut(fleet, fleet.node(1), order, "front-1");
      done(fleet, apart, order, "front-1");
      Await.until("done", () -> phase(apart, order).equals("done"));
      work.verdict(fleet);
    }
  }

  /** What an instance has said to be in service, as another has taken it. */
  private static double worth(Node node, Node of) {
    try {
      for (Object each : (List<?>) node.get("work/settled").get("instances")) {
        Map<?, ?> row = (Map<?, ?>) each;
        if (row.get("name").equals(of.name()) && row.get("report") instanceof Map<?, ?> report) {
          List<?> groups = (List<?>) report.get("groups");
          return groups.isEmpty() ? -1 : ((Number) ((List<?>) groups.get(0)).get(3)).doubleValue();
        }
      }
    } catch (IOException e) {
      // Not yet; the next look does better.
    }
    return -1;
  }

  /** The list leaves it out while it is out, and names it again: it is out all the same. */
  @Test
  void aMachineThatIsOutAndListedAgainStaysOut() throws Exception {
    try (Fleet fleet = new Fleet(17)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.serving(1));
      work.load(fleet);
      long order = ask(fleet.node(1), "front-1");
      awaitOut(fleet, fleet.node(1), order, "front-1");
      for (List<StandIn> listed :
          List.of(fleet.servers().subList(1, 3), fleet.servers(), fleet.servers().subList(1, 3))) {
        for (Node node : fleet.nodes()) {
          String version = version(node);
          fleet.list(node, listed);
          Await.until("taken", () -> !version(node).equals(version));
        }
        long before = fleet.servers().get(1).received();
        Await.until("calls", () -> fleet.servers().get(1).received() > before + 30);
      }
      // Put back while no list names it: nobody has to see it warm, and it gets nothing yet.
      fleet.node(2).post("work/done/" + order);
      Await.until("done", () -> phase(fleet.node(2), order).equals("done"));
      fleet.history().back("front-1");
      long received = fleet.servers().get(0).received();
      for (Node node : fleet.nodes()) {
        fleet.list(node, fleet.servers());
      }
      Await.until("it serves", () -> fleet.servers().get(0).received() > received);
      work.verdict(fleet);
    }
  }

  /** Some list a machine and some don't: it goes out at all, and comes back to those that do. */
  @Test
  void instancesWhoseListsDifferSettleAllTheSame() throws Exception {
    try (Fleet fleet = new Fleet(18)) {
      fleet.servers(4, "front", SHAPE).start(3, 3, Terms.serving(1));
      fleet.list(fleet.node(3), fleet.servers().subList(0, 3));
      Await.until("taken", () -> "2".equals(version(fleet.node(3))));
      work.load(fleet);
      // Once what it had there is over, it knows of no such machine.
      Await.until(
          "it has gone there",
          () -> {
            try {
              ask(fleet.node(3), "gone", "machine=front-4&after=999");
              return false;
            } catch (IOException e) {
              return e.getMessage().contains("no server front-4");
            }
          });
      long order = ask(fleet.node(1), "front-4");
      awaitOut(fleet, fleet.node(3), order, "front-4");
      // Listed there while it is out: it gets nothing from the first moment.
      fleet.list(fleet.node(3), fleet.servers());
      Await.until("taken", () -> "3".equals(version(fleet.node(3))));
      long before = fleet.servers().get(0).received();
      Await.until("calls", () -> fleet.servers().get(0).received() > before + 60);
      done(fleet, fleet.node(3), order, "front-4");
      Await.until("done", () -> phase(fleet.node(1), order).equals("done"));
      work.verdict(fleet);
    }
  }

  /** MaintenanceRules of a later version, with a higher floor, come with the restart of one. */
  @Test
  void floorsThatAreRaisedWhileOrdersRunHoldAtOnce() throws Exception {
    try (Fleet fleet = new Fleet(19)) {
      fleet.servers(4, "front", SHAPE);
      fleet.start(3, 3, Terms.serving(2).with(FLOOR.formatted("0.25")));
      work.load(fleet);
      Node node = fleet.node(1);
      long first = ask(node, "front-1");
      awaitOut(fleet, node, first, "front-1");
      Node changed = fleet.node(3);
      Terms raised = new Terms(false, 2000, 500, 2, 2, FLOOR.formatted("0.9"));
      fleet.configure(changed, 3, raised);
      changed.end();
      changed.start();
      Await.until("it serves", changed::serves);
      Await.until("wanted", () -> Boolean.TRUE.equals(seen(node, first).get("wanted_back")));
      IOException refused = assertThrows(IOException.class, () -> ask(node, "front-2"));
      assertTrue(refused.getMessage().contains("can never go"), refused.getMessage());
      assertEquals("out", phase(node, first));
      done(fleet, node, first, "front-1");
      Await.until("done", () -> phase(node, first).equals("done"));
      work.verdict(fleet);
    }
  }

  /** It goes on sending and nobody hears it: fenced, it stops in time; then it is back. */
  @Test
  void oneThatIsHeardByNobodyStopsInTime() throws Exception {
    try (Fleet fleet = new Fleet(20)) {
      fleet.servers(3, "front", SHAPE).start(4, 3, Terms.stopping(1500, 1));
      work.load(fleet);
      Node mute = fleet.node(4);
      fleet.history().note("nothing that " + mute.name() + " says comes through");
      fleet.mute(mute, true, false);
      long order = ask(fleet.node(1), "front-1");
      awaitOut(fleet, fleet.node(1), order, "front-1");
      assertTrue(fenced(fleet.node(1), mute));
      assertEquals(0, shown(mute, "lease_left_ms"));
      fleet.mute(mute, false, false);
      Await.until("it is back", () -> !fenced(fleet.node(1), mute));
      done(fleet, mute, order, "front-1");
      Await.until("done", () -> phase(mute, order).equals("done"));
      work.verdict(fleet);
    }
  }

  /** Ten thousand machines in one order and a thousand orders, beside calls that mind neither. */
  @Test
  void aLargeOrderAndManyOrdersHoldUpNoCalls() throws Exception {
    try (Fleet fleet = new Fleet(21)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.serving(50));
      Node node = fleet.node(1);
      for (Node each : fleet.nodes()) {
        List<ListedServer> lines = new ArrayList<>();
        fleet.servers().forEach(server -> lines.add(fleet.line(each, server)));
        for (int i = 0; i < 9_990; i++) { // Listed and out of service: nothing is sent there.
          String address = "127.1." + (i >> 8) + '.' + (i & 255) + ":9";
          lines.add(new ListedServer("bulk-" + i, address, "a", "bulk", 100 + i, 1, false));
        }
        fleet.listLines(each, lines);
        Await.until("taken", () -> "2".equals(version(each)));
      }
      OpenLoop load = fleet.load(node, 100);
      Await.until("calls", () -> load.tally().total() > 20);
      long large = ask(node, "large", "kind=bulk&at_once=20");
      Await.until("out", () -> String.valueOf(phases(node, large).get("out")).equals("20"));
      for (int i = 0; i < 1000; i++) {
        ask(fleet.nodes().get(i % 3), "k" + i, "machine=bulk-" + i);
      }
      node.post("work/done/" + large);
      node.post("work/cancel/" + large);
      Await.until("the next go", () -> shown(node, "orders").toString().contains("out=1"));
      load.stop();
      assertEquals(0, fleet.ledger().lost());
      // On a busy machine some are turned away; none is left without an answer.
      long served = load.tally().count(Tally.Result.SERVED);
      assertTrue(served > 0.9 * load.tally().total(), served + " of " + load.tally().total());
    }
  }

  private static Map<?, ?> phases(Node node, long order) {
    try {
      return (Map<?, ?>) node.get("work/" + order).get("phases");
    } catch (IOException e) {
      return Map.of();
    }
  }

  /** Its log is opened anew while it serves: what was out stays out, and it hears what follows. */
  @Test
  void oneThatHearsNothingForLongOpensItsLogAnew() throws Exception {
    try (Fleet fleet = new Fleet(27)) {
      fleet.servers(3, "front", SHAPE).start(4, 3, Terms.serving(2));
      work.load(fleet);
      Node apart = fleet.node(4);
      long order = ask(apart, "front-1");
      awaitOut(fleet, apart, order, "front-1");
      List<Node> rest = fleet.nodes().subList(0, 3);
      fleet.split(rest, List.of(apart), true);
      Await.until("opened", () -> told(apart, "opened anew: nothing came for long"));
      assertEquals("out", phase(apart, order), "what it had taken is kept");
      fleet.split(rest, List.of(apart), false);
      long next = ask(rest.get(0), "front-2");
      awaitOut(fleet, rest.get(0), next, "front-2");
      Await.until("it knows", () -> phase(apart, next).equals("out"));
      done(fleet, apart, order, "front-1");
      Await.until("done", () -> phase(rest.get(1), order).equals("done"));
      work.verdict(fleet);
    }
  }

  private static boolean told(Node node, String message) {
    try {
      return lines(node).stream().anyMatch(line -> message.equals(line.get("message")));
    } catch (IOException e) {
      return false;
    }
  }
}
