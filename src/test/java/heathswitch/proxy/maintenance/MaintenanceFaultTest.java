package heathswitch.proxy.maintenance;

import static heathswitch.proxy.maintenance.MaintenanceFixture.SERVER_SHAPE;
import static heathswitch.proxy.maintenance.MaintenanceFixture.ask;
import static heathswitch.proxy.maintenance.MaintenanceFixture.askUntilAccepted;
import static heathswitch.proxy.maintenance.MaintenanceFixture.awaitOut;
import static heathswitch.proxy.maintenance.MaintenanceFixture.done;
import static heathswitch.proxy.maintenance.MaintenanceFixture.fenced;
import static heathswitch.proxy.maintenance.MaintenanceFixture.lines;
import static heathswitch.proxy.maintenance.MaintenanceFixture.listVersion;
import static heathswitch.proxy.maintenance.MaintenanceFixture.machineStatus;
import static heathswitch.proxy.maintenance.MaintenanceFixture.phase;
import static heathswitch.proxy.maintenance.MaintenanceFixture.workField;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.members.ListedServer;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.MaintenanceSettings;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.SimulatedServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import testing.Await;

/**
 * Tests maintenance orders with a fleet whose disks, releases, lists and servers fail or differ.
 */
class MaintenanceFaultTest {
  private static final String FLOOR = "[[work.floor]]\nkind = \"front\"\nleast = %s\n";

  private final MaintenanceFixture fixture = new MaintenanceFixture();

  private static Node other(Fleet fleet, Node than) {
    return fleet.nodes().stream().filter(node -> node != than).findFirst().orElseThrow();
  }

  /** The leader has committed a grant and is killed before the others have applied it. */
  @Test
  void grantHoldsWhenTheLeaderIsKilledBeforeOthersApplyIt() throws Exception {
    try (Fleet fleet = new Fleet(11)) {
      fleet
          .servers(3, "front", SERVER_SHAPE)
          .start(3, 3, MaintenanceSettings.stopWhenCutOff(1500, 1));
      fixture.load(fleet);
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
                    // Killed before it could reply.
                  }
                });
        int before = ((List<?>) workField(leader, "orders")).size();
        Await.until("granted", () -> workField(leader, "orders").toString().contains("emptying=1"));
        leader.kill();
        fleet.history().addNote("killed " + leader.name() + " after " + before + " orders");
        asked.get(60, TimeUnit.SECONDS);
        long order = round;
        Await.until("it is out", () -> phase(other, order).equals("out"));
        assertEquals(
            order, ask(other, key, "machine=front-1"), "the same request is the same order");
        fleet.history().recordOut("front-1");
        leader.start();
        Await.until(
            "it is back", () -> leader.acceptsConnections() && phase(leader, order).equals("out"));
        done(fleet, other, order, "front-1");
        Await.until("done", () -> phase(other, order).equals("done"));
      }
      fixture.verify(fleet);
    }
  }

  /** An entry cut short by a power failure is dropped and reported; nothing else is lost. */
  @Test
  void tornLogIsTruncatedAndReported() throws Exception {
    try (Fleet fleet = new Fleet(12)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      fixture.load(fleet);
      Node leader = fleet.leader();
      Node torn = other(fleet, leader);
      long order = ask(torn, "front-1");
      awaitOut(fleet, torn, order, "front-1");
      torn.kill();
      assertTrue(torn.appendTornLogEntry() > 5);
      torn.start();
      Await.until("it serves", torn::acceptsConnections);
      assertEquals("out", phase(torn, order));
      assertTrue(
          lines(torn).stream()
              .map(line -> String.valueOf(line.get("message")))
              .anyMatch(message -> message.contains("Failed to read segment file")),
          lines(torn)::toString);
      // With what it has it completes a majority again.
      leader.kill();
      long next = askUntilAccepted(torn, "next", "machine=front-2");
      assertEquals("waiting", phase(torn, next));
      torn.post("work/fence/" + leader.name());
      done(fleet, torn, order, "front-1");
      awaitOut(fleet, torn, next, "front-2");
      fixture.verify(fleet);
    }
  }

  /** Under "stop" the instance is fenced; once its disk has room it joins at its next start. */
  @Test
  void othersGoOnWhenTheDiskOfOneInstanceIsFull() throws Exception {
    try (Fleet fleet = new Fleet(13)) {
      fleet
          .servers(3, "front", SERVER_SHAPE)
          .start(3, 3, MaintenanceSettings.stopWhenCutOff(1500, 1));
      Node full = fleet.leader();
      Node other = other(fleet, full);
      fleet.nodes().stream()
          .filter(node -> node != full)
          .forEach(node -> fleet.startLoad(node, 60));
      full.fillDisk(1 << 16);
      List<Long> orders = new ArrayList<>();
      for (int i = 0; !String.valueOf(workField(full, "trouble")).contains("written"); i++) {
        assertTrue(i < 100, "its log never filled its disk");
        orders.add(askUntilAccepted(other, "k" + i + "x".repeat(3000), "machine=front-1"));
      }
      Await.until("fenced", () -> fenced(other, full));
      assertEquals(0, workField(full, "lease_left_ms"));
      awaitOut(fleet, other, orders.get(0), "front-1");
      fleet.history().addNote("now leads: " + fleet.leader().name());
      // The Raft library reports the same fault again and again; its log lines are rate-limited,
      // too.
      assertTrue(lines(full).size() < 300, "lines " + lines(full).size());
      full.terminate();
      full.start();
      Await.until("it serves", full::acceptsConnections);
      assertEquals("out", phase(full, orders.get(0)));
      fixture.verify(fleet);
    }
  }

  /** Orders go on across two releases; the new format is in force once all are upgraded. */
  @Test
  void instanceOfAnOlderReleaseTakesPartUntilAllAreUpgraded() throws Exception {
    try (Fleet fleet = new Fleet(14)) {
      fleet.servers(3, "front", SERVER_SHAPE);
      fleet.beforeFirstStart(
          node ->
              node.setExtraJvmFlags(node == fleet.node(3) ? "-Dheathswitch.work.knows=1" : "-ea"));
      fleet.start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      fixture.load(fleet);
      Node older = fleet.node(3);
      assertEquals(1, workField(fleet.node(1), "form"));
      long order = ask(older, "front-1");
      awaitOut(fleet, fleet.node(1), order, "front-1");
      done(fleet, older, order, "front-1");
      Await.until("done", () -> phase(older, order).equals("done"));
      assertEquals(1, workField(older, "form"));
      older.terminate();
      older.setExtraJvmFlags();
      older.start();
      Await.until("it serves", older::acceptsConnections);
      for (Node node : fleet.nodes()) {
        Await.until("all are upgraded", () -> workField(node, "form").equals(2));
      }
      long next = ask(older, "front-2");
      awaitOut(fleet, older, next, "front-2");
      // Back to the older release: it cannot read the entries written now and must not guess.
      older.terminate();
      older.setExtraJvmFlags("-Dheathswitch.work.knows=1");
      older.start();
      Await.until(
          "the fault is shown", () -> workField(older, "trouble").toString().contains("beyond 1"));
      assertFalse(older.acceptsConnections());
      fixture.verify(fleet);
    }
  }

  /** While capacity is below the floor, no further machine goes out. */
  @Test
  void machineIsWantedBackWhenOthersOfItsGroupDie() throws Exception {
    try (Fleet fleet = new Fleet(15)) {
      fleet.servers(5, "front", SERVER_SHAPE);
      fleet.start(3, 3, MaintenanceSettings.serveWhenCutOff(3).withLines(FLOOR.formatted("0.5")));
      fixture.load(fleet);
      Node node = fleet.node(2);
      long out = ask(node, "front-1");
      awaitOut(fleet, node, out, "front-1");
      fleet.servers().get(1).close();
      fleet.servers().get(2).close();
      Await.until("wanted", () -> Boolean.TRUE.equals(statusOrEmpty(node, out).get("wanted_back")));
      String reason = String.valueOf(statusOrEmpty(node, out).get("waits_for"));
      assertTrue(reason.contains("wanted back: floor 0.5 of kind front"), reason);
      long next = ask(node, "front-4");
      Thread.sleep(1500);
      assertEquals("waiting", phase(node, next));
      assertEquals("out", phase(node, out), "only the one who works on it puts it back");
      done(fleet, node, out, "front-1");
      Await.until("back", () -> phase(node, out).equals("done"));
      assertEquals("waiting", phase(node, next), "three of five are left, and three must stay");
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
      fixture.verify(fleet);
    }
  }

  /** The status of the first machine of an order, empty while the node does not answer. */
  private static Map<?, ?> statusOrEmpty(Node node, long order) {
    try {
      return machineStatus(node, order);
    } catch (IOException e) {
      return Map.of();
    }
  }

  /** One instance cannot reach a server: its report counts, and the reason names the instance. */
  @Test
  void lowestReportedCapacityCounts() throws Exception {
    try (Fleet fleet = new Fleet(16)) {
      fleet.servers(4, "front", SERVER_SHAPE).withServerProxies();
      fleet.start(3, 3, MaintenanceSettings.serveWhenCutOff(2).withLines(FLOOR.formatted("0.75")));
      fixture.load(fleet);
      Node apart = fleet.node(3);
      SimulatedServer lost = fleet.servers().get(3);
      apart.serverProxy(lost).setCut(true);
      Await.until(
          "one instance sees the server fail", () -> reportedCapacity(fleet.node(1), apart) == 3);
      Await.until("the others do not", () -> reportedCapacity(fleet.node(1), fleet.node(2)) == 4);
      long order = ask(fleet.node(1), "front-1");
      assertEquals("waiting", phase(fleet.node(1), order));
      String waits = String.valueOf(machineStatus(fleet.node(1), order).get("waits_for"));
      assertTrue(waits.contains("edge-3 sees 3.00 in service, 3.00 must be left"), waits);
      apart.serverProxy(lost).setCut(false);
      awaitOut(fleet, fleet.node(1), order, "front-1");
      done(fleet, apart, order, "front-1");
      Await.until("done", () -> phase(apart, order).equals("done"));
      fixture.verify(fleet);
    }
  }

  /** The capacity in service that an instance has reported, as another node shows it. */
  private static double reportedCapacity(Node node, Node of) {
    try {
      for (Object each : (List<?>) node.get("work/settled").get("instances")) {
        Map<?, ?> row = (Map<?, ?>) each;
        if (row.get("name").equals(of.name()) && row.get("report") instanceof Map<?, ?> report) {
          List<?> groups = (List<?>) report.get("groups");
          return groups.isEmpty() ? -1 : ((Number) ((List<?>) groups.get(0)).get(3)).doubleValue();
        }
      }
    } catch (IOException e) {
      // Not available yet; the caller tries again.
    }
    return -1;
  }

  /** The list drops a machine that is out and then names it again. */
  @Test
  void machineThatIsOutStaysOutWhenListedAgain() throws Exception {
    try (Fleet fleet = new Fleet(17)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      fixture.load(fleet);
      long order = ask(fleet.node(1), "front-1");
      awaitOut(fleet, fleet.node(1), order, "front-1");
      for (List<SimulatedServer> listed :
          List.of(fleet.servers().subList(1, 3), fleet.servers(), fleet.servers().subList(1, 3))) {
        for (Node node : fleet.nodes()) {
          String version = listVersion(node);
          fleet.writeServerList(node, listed);
          Await.until("the list is in force", () -> !listVersion(node).equals(version));
        }
        long before = fleet.servers().get(1).receivedCount();
        Await.until("calls", () -> fleet.servers().get(1).receivedCount() > before + 30);
      }
      // Put back while no list names it: no instance has to report it warm, and it gets no calls
      // yet.
      fleet.node(2).post("work/done/" + order);
      Await.until("done", () -> phase(fleet.node(2), order).equals("done"));
      fleet.history().recordBack("front-1");
      long received = fleet.servers().get(0).receivedCount();
      for (Node node : fleet.nodes()) {
        fleet.writeServerList(node, fleet.servers());
      }
      Await.until("it serves", () -> fleet.servers().get(0).receivedCount() > received);
      fixture.verify(fleet);
    }
  }

  /** One instance does not list the machine that goes out. */
  @Test
  void ordersCompleteWhenInstancesHaveDifferentLists() throws Exception {
    try (Fleet fleet = new Fleet(18)) {
      fleet.servers(4, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      fleet.writeServerList(fleet.node(3), fleet.servers().subList(0, 3));
      Await.until("the list is in force", () -> "2".equals(listVersion(fleet.node(3))));
      fixture.load(fleet);
      // Once its calls there have ended, it does not know the machine any more.
      Await.until(
          "the machine is gone from its list",
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
      // Listed there again while it is out: it gets no calls from the first moment.
      fleet.writeServerList(fleet.node(3), fleet.servers());
      Await.until("the list is in force", () -> "3".equals(listVersion(fleet.node(3))));
      long before = fleet.servers().get(0).receivedCount();
      Await.until("calls", () -> fleet.servers().get(0).receivedCount() > before + 60);
      done(fleet, fleet.node(3), order, "front-4");
      Await.until("done", () -> phase(fleet.node(1), order).equals("done"));
      fixture.verify(fleet);
    }
  }

  /** Rules of a later version with a higher floor come with the restart of one instance. */
  @Test
  void raisedFloorAppliesToRunningOrdersAtOnce() throws Exception {
    try (Fleet fleet = new Fleet(19)) {
      fleet.servers(4, "front", SERVER_SHAPE);
      fleet.start(3, 3, MaintenanceSettings.serveWhenCutOff(2).withLines(FLOOR.formatted("0.25")));
      fixture.load(fleet);
      Node node = fleet.node(1);
      long first = ask(node, "front-1");
      awaitOut(fleet, node, first, "front-1");
      Node changed = fleet.node(3);
      MaintenanceSettings raised =
          new MaintenanceSettings(false, 2000, 500, 2, 2, FLOOR.formatted("0.9"));
      fleet.writeConfig(changed, 3, raised);
      changed.terminate();
      changed.start();
      Await.until("it serves", changed::acceptsConnections);
      Await.until(
          "wanted", () -> Boolean.TRUE.equals(statusOrEmpty(node, first).get("wanted_back")));
      IOException refused = assertThrows(IOException.class, () -> ask(node, "front-2"));
      assertTrue(refused.getMessage().contains("can never go"), refused.getMessage());
      assertEquals("out", phase(node, first));
      done(fleet, node, first, "front-1");
      Await.until("done", () -> phase(node, first).equals("done"));
      fixture.verify(fleet);
    }
  }

  /**
   * No message of the instance arrives: it stops before the machine is out, and then joins again.
   */
  @Test
  void instanceThatNobodyHearsStopsInTime() throws Exception {
    try (Fleet fleet = new Fleet(20)) {
      fleet
          .servers(3, "front", SERVER_SHAPE)
          .start(4, 3, MaintenanceSettings.stopWhenCutOff(1500, 1));
      fixture.load(fleet);
      Node mute = fleet.node(4);
      fleet.history().addNote("no message from " + mute.name() + " arrives");
      fleet.setMuted(mute, true, false);
      long order = ask(fleet.node(1), "front-1");
      awaitOut(fleet, fleet.node(1), order, "front-1");
      assertTrue(fenced(fleet.node(1), mute));
      assertEquals(0, workField(mute, "lease_left_ms"));
      fleet.setMuted(mute, false, false);
      Await.until("it is back", () -> !fenced(fleet.node(1), mute));
      done(fleet, mute, order, "front-1");
      Await.until("done", () -> phase(mute, order).equals("done"));
      fixture.verify(fleet);
    }
  }

  /** One order of ten thousand machines and a thousand orders, with calls beside them. */
  @Test
  void largeOrderAndManyOrdersDoNotDelayCalls() throws Exception {
    try (Fleet fleet = new Fleet(21)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(50));
      Node node = fleet.node(1);
      for (Node each : fleet.nodes()) {
        List<ListedServer> lines = new ArrayList<>();
        fleet.servers().forEach(server -> lines.add(fleet.listEntry(each, server)));
        for (int i = 0; i < 9_990; i++) { // Listed out of service, so nothing is sent there.
          String address = "127.1." + (i >> 8) + '.' + (i & 255) + ":9";
          lines.add(new ListedServer("bulk-" + i, address, "a", "bulk", 100 + i, 1, false));
        }
        fleet.writeListEntries(each, lines);
        Await.until("the list is in force", () -> "2".equals(listVersion(each)));
      }
      HttpLoadGenerator load = fleet.startLoad(node, 100);
      Await.until("calls", () -> load.stats().total() > 20);
      long large = ask(node, "large", "kind=bulk&at_once=20");
      Await.until("out", () -> String.valueOf(phases(node, large).get("out")).equals("20"));
      for (int i = 0; i < 1000; i++) {
        ask(fleet.nodes().get(i % 3), "k" + i, "machine=bulk-" + i);
      }
      node.post("work/done/" + large);
      node.post("work/cancel/" + large);
      Await.until("the next go", () -> workField(node, "orders").toString().contains("out=1"));
      load.stop();
      assertEquals(0, fleet.ledger().lostCount());
      // On a busy host some are rejected, but every call is answered.
      long served = load.stats().count(LoadStats.Result.SERVED);
      assertTrue(served > 0.9 * load.stats().total(), served + " of " + load.stats().total());
    }
  }

  private static Map<?, ?> phases(Node node, long order) {
    try {
      return (Map<?, ?>) node.get("work/" + order).get("phases");
    } catch (IOException e) {
      return Map.of();
    }
  }

  /** The log is reopened while the instance serves: no state is lost, and new entries follow. */
  @Test
  void instanceReopensItsLogAfterLongSilence() throws Exception {
    try (Fleet fleet = new Fleet(27)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(4, 3, MaintenanceSettings.serveWhenCutOff(2));
      fixture.load(fleet);
      Node apart = fleet.node(4);
      long order = ask(apart, "front-1");
      awaitOut(fleet, apart, order, "front-1");
      List<Node> rest = fleet.nodes().subList(0, 3);
      fleet.setPartitioned(rest, List.of(apart), true);
      Await.until(
          "the log is reopened",
          () -> hasLogged(apart, "reopened: no entry received for too long"));
      assertEquals("out", phase(apart, order), "its applied state is kept");
      fleet.setPartitioned(rest, List.of(apart), false);
      long next = ask(rest.get(0), "front-2");
      awaitOut(fleet, rest.get(0), next, "front-2");
      Await.until("it has applied the grant", () -> phase(apart, next).equals("out"));
      done(fleet, apart, order, "front-1");
      Await.until("done", () -> phase(rest.get(1), order).equals("done"));
      fixture.verify(fleet);
    }
  }

  private static boolean hasLogged(Node node, String message) {
    try {
      return lines(node).stream().anyMatch(line -> message.equals(line.get("message")));
    } catch (IOException e) {
      return false;
    }
  }
}
