package heathswitch.proxy.maintenance;

import static heathswitch.proxy.maintenance.MaintenanceFixture.SERVER_SHAPE;
import static heathswitch.proxy.maintenance.MaintenanceFixture.ask;
import static heathswitch.proxy.maintenance.MaintenanceFixture.askUntilAccepted;
import static heathswitch.proxy.maintenance.MaintenanceFixture.awaitOut;
import static heathswitch.proxy.maintenance.MaintenanceFixture.done;
import static heathswitch.proxy.maintenance.MaintenanceFixture.fenced;
import static heathswitch.proxy.maintenance.MaintenanceFixture.listVersion;
import static heathswitch.proxy.maintenance.MaintenanceFixture.phase;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.MaintenanceSettings;
import heathswitch.testbed.fleet.Node;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import testing.Await;

/** Tests maintenance orders with a fleet of processes that are killed, paused and split. */
class MaintenanceFleetTest {
  private final MaintenanceFixture fixture = new MaintenanceFixture();

  /** The basic case: three processes, one machine out, and the death of the leader. */
  @Test
  void anotherMachineGoesOutAfterTheLeaderDied() throws Exception {
    try (Fleet fleet = new Fleet(1)) {
      fleet
          .servers(3, "front", SERVER_SHAPE)
          .start(3, 3, MaintenanceSettings.stopWhenCutOff(2000, 2));
      fixture.load(fleet);
      Await.until("calls", () -> fleet.servers().get(0).receivedCount() > 50);
      Node leader = fleet.leader();
      assertNotNull(leader);
      Node asked = fleet.nodes().stream().filter(node -> node != leader).findFirst().get();
      long first = ask(asked, "front-1");
      assertEquals(
          first, ask(leader, "front-1"), "the same request at another instance is the same order");
      awaitOut(fleet, asked, first, "front-1");
      long received = fleet.servers().get(0).receivedCount();
      fleet.history().addNote("kill " + leader.name());
      leader.kill();
      long second = ask(asked, "front-2");
      awaitOut(fleet, asked, second, "front-2");
      assertEquals(received, fleet.servers().get(0).receivedCount());
      done(fleet, asked, first, "front-1");
      Await.until("back", () -> fleet.servers().get(0).receivedCount() > received);
      leader.start();
      Await.until("the killed leader serves again", leader::acceptsConnections);
      Await.until("it has applied the grant", () -> phase(leader, second).equals("out"));
      done(fleet, leader, second, "front-2");
      Await.until("done", () -> phase(asked, second).equals("done"));
      fixture.verify(fleet);
    }
  }

  /**
   * The instance is paused during the grant, is fenced, and sends nothing there after it resumes.
   */
  @Test
  void pausedInstanceSendsNothingAfterItResumes() throws Exception {
    pauseDuringGrant(2, true, 0);
  }

  /**
   * The instance is paused with calls in progress. One call may be between the check of the lease
   * and its write, which cannot be prevented; as there is one event loop, there is no second.
   */
  @Test
  void instancePausedDuringCallsSendsAtMostOne() throws Exception {
    pauseDuringGrant(12, false, 1);
  }

  /**
   * Pauses an instance while a machine is granted; calls of clients meanwhile wait in its sockets.
   *
   * @param atRest whether all its calls are answered when it is paused
   * @param maxCalls how many calls may begin at the machine that is out
   */
  private void pauseDuringGrant(int seed, boolean atRest, int maxCalls) throws Exception {
    try (Fleet fleet = new Fleet(seed)) {
      fleet
          .servers(3, "front", SERVER_SHAPE)
          .start(3, 3, MaintenanceSettings.stopWhenCutOff(1500, 1));
      fixture.load(fleet);
      Node leader = fleet.leader();
      Node paused = fleet.nodes().stream().filter(node -> node != leader).findFirst().get();
      Await.until("calls", () -> fleet.servers().get(0).receivedCount() > 50);
      if (atRest) {
        fixture.stopLoad(paused);
      }
      fleet.history().addNote("pause " + paused.name());
      paused.pause();
      if (atRest) {
        fixture.load(fleet, paused);
      }
      long order = ask(leader, "front-1");
      awaitOut(fleet, leader, order, "front-1");
      Thread.sleep(500); // Lets calls pile up.
      long received = fleet.servers().get(0).receivedCount();
      fleet.history().addNote("resume " + paused.name());
      paused.resume();
      Await.until(
          "it has joined again", () -> !fenced(leader, paused) && paused.acceptsConnections());
      long others = fleet.servers().get(1).receivedCount();
      Await.until("it serves", () -> fleet.servers().get(1).receivedCount() > others + 100);
      long more = fleet.servers().get(0).receivedCount() - received;
      assertTrue(more <= maxCalls, more + " sent after it resumed");
      done(fleet, leader, order, "front-1");
      fixture.verify(fleet, maxCalls);
    }
  }

  /** Makes one instance a voter and then removes another from the voters. */
  private static Map<String, Object> replaceVoter(Node node, String removed, String added)
      throws IOException {
    node.post("work/vote/" + added);
    return node.post("work/unvote/" + removed);
  }

  /** Under "serve" no machine goes out without the instance that is cut off; the page names it. */
  @Test
  void orderWaitsForInstanceThatServesWhileCutOff() throws Exception {
    try (Fleet fleet = new Fleet(3)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(4, 3, MaintenanceSettings.serveWhenCutOff(1));
      fixture.load(fleet);
      Node cutOff = fleet.node(4);
      List<Node> rest = fleet.nodes().subList(0, 3);
      fleet.setPartitioned(rest, List.of(cutOff), true);
      long order = ask(rest.get(0), "front-1");
      Await.until("emptying", () -> phase(rest.get(0), order).equals("emptying"));
      Thread.sleep(1500);
      Object rows = rest.get(0).get("work/" + order).get("standings");
      String waits = String.valueOf(((Map<?, ?>) ((List<?>) rows).get(0)).get("waits_for"));
      assertTrue(waits.contains("edge-4") && !waits.contains("edge-1"), waits);
      long before = fleet.servers().get(0).receivedCount();
      Await.until("it serves", () -> fleet.servers().get(0).receivedCount() > before + 5);
      fleet.setPartitioned(rest, List.of(cutOff), false);
      awaitOut(fleet, rest.get(0), order, "front-1");
      Await.until("it has applied the grant", () -> phase(cutOff, order).equals("out"));
      done(fleet, cutOff, order, "front-1");
      fixture.verify(fleet);
    }
  }

  /** With an empty folder a voter could vote a second time. */
  @Test
  void voterThatLostItsFolderDoesNotStart() throws Exception {
    try (Fleet fleet = new Fleet(4)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(4, 3, MaintenanceSettings.serveWhenCutOff(1));
      Node voter = fleet.node(3);
      Node other = fleet.node(4);
      for (Node node : List.of(voter, other)) {
        node.kill();
        node.deleteWorkFolder();
      }
      IOException refused = assertThrows(IOException.class, voter::start);
      assertTrue(refused.getMessage().contains("must not vote"), refused.getMessage());
      other.start();
      Await.until(
          "an instance that is not a voter fetches the log again", other::acceptsConnections);
      // Another votes in its place, one change at a time; then it gets a new folder and votes
      // again.
      fleet.node(1).post("work/unvote/" + voter.name());
      IOException absent =
          assertThrows(IOException.class, () -> fleet.node(2).post("work/vote/" + voter.name()));
      assertTrue(
          absent.getMessage().contains("is not reachable with an up-to-date log"),
          absent.getMessage());
      assertEquals(
          List.of("edge-1", "edge-2", "edge-4"),
          fleet.node(1).post("work/vote/" + other.name()).get("voters"));
      fleet.node(1).kill();
      long order = askUntilAccepted(fleet.node(2), "front-1", "machine=front-1");
      fleet.node(2).post("work/fence/edge-1");
      fleet.node(2).post("work/fence/edge-3");
      awaitOut(fleet, fleet.node(2), order, "front-1");
      VoterFolder.create(StandaloneConfig.read(voter.config()).config().maintenance());
      voter.start();
      assertEquals(
          List.of("edge-2", "edge-3", "edge-4"),
          replaceVoter(fleet.node(2), "edge-1", "edge-3").get("voters"));
      Await.until("it has applied the log", () -> phase(voter, order).equals("out"));
    }
  }

  /** Two machines of one group are requested at the same time on both sides of a split. */
  @Test
  void machinesRequestedOnBothSidesOfASplitGoOutOneAfterTheOther() throws Exception {
    try (Fleet fleet = new Fleet(5)) {
      fleet
          .servers(3, "front", SERVER_SHAPE)
          .start(3, 3, MaintenanceSettings.stopWhenCutOff(1500, 1));
      fixture.load(fleet);
      Node leader = fleet.leader();
      List<Node> rest = new ArrayList<>(fleet.nodes());
      rest.remove(leader);
      fleet.setPartitioned(List.of(leader), rest, true);
      CompletableFuture<Long> minority =
          CompletableFuture.supplyAsync(
              () -> askUntilAccepted(leader, "front-1", "machine=front-1"));
      long first = askUntilAccepted(rest.get(0), "front-2", "machine=front-2");
      awaitOut(fleet, rest.get(0), first, "front-2");
      assertFalse(minority.isDone(), "accepted without a majority");
      fleet.setPartitioned(List.of(leader), rest, false);
      long second = minority.get(60, TimeUnit.SECONDS);
      Await.until("it serves again", () -> !fenced(rest.get(0), leader));
      assertEquals("waiting", phase(rest.get(0), second));
      done(fleet, leader, first, "front-2");
      awaitOut(fleet, leader, second, "front-1");
      assertEquals(1, fleet.history().maxConcurrentOut());
      done(fleet, rest.get(0), second, "front-1");
      fixture.verify(fleet);
    }
  }

  /** All restart during an order; none may serve before it knows which machines are out. */
  @Test
  void restartOfAllInstancesLosesNothing() throws Exception {
    try (Fleet fleet = new Fleet(6)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(4, 3, MaintenanceSettings.serveWhenCutOff(1));
      fixture.load(fleet);
      long out = ask(fleet.node(1), "front-1");
      long next = ask(fleet.node(4), "front-2");
      awaitOut(fleet, fleet.node(4), out, "front-1");
      fleet.forAllNodes(Node::kill);
      fleet.forAllNodes(Node::start);
      for (Node node : fleet.nodes()) {
        Await.until(node.name() + " serves", node::acceptsConnections);
        assertEquals("out", phase(node, out));
        assertEquals("waiting", phase(node, next));
      }
      long before = fleet.servers().get(1).receivedCount();
      Await.until("calls", () -> fleet.servers().get(1).receivedCount() > before + 50);
      done(fleet, fleet.node(2), out, "front-1");
      awaitOut(fleet, fleet.node(3), next, "front-2");
      done(fleet, fleet.node(3), next, "front-2");
      fixture.verify(fleet);
    }
  }

  /** A leader transfers its leadership first; the next balancer goes out when the first is back. */
  @Test
  void balancersAreTakenOutOneAfterTheOther() throws Exception {
    try (Fleet fleet = new Fleet(7)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      Node leader = fleet.leader();
      Node other = fleet.nodes().stream().filter(node -> node != leader).findFirst().get();
      Node third = fleet.node(6 - number(leader) - number(other));
      HttpLoadGenerator load = fleet.startLoad(third, 100);
      long first = askForBalancer(third, leader);
      long second = askForBalancer(third, other);
      Await.until("the leader is out", () -> phase(third, first).equals("out"));
      assertEquals("waiting", phase(third, second));
      assertFalse(fleet.leader() == leader, "leadership was transferred");
      leader.terminate();
      leader.start();
      Thread.sleep(1000);
      assertFalse(leader.acceptsConnections(), "it stays away until the order is done");
      assertEquals("waiting", phase(third, second));
      third.post("work/done/" + first);
      Await.until("it serves", leader::acceptsConnections);
      Await.until("it has joined again", () -> phase(third, first).equals("done"));
      Await.until("the next balancer is out", () -> phase(third, second).equals("out"));
      third.post("work/done/" + second);
      Await.until("the next balancer is back without a new process", other::acceptsConnections);
      Await.until("done", () -> phase(third, second).equals("done"));
      load.stop();
      assertEquals(0, fleet.ledger().lostCount());
    }
  }

  private static int number(Node node) {
    return Integer.parseInt(node.name().substring("edge-".length()));
  }

  /** Requests a balancer at another one. */
  private static long askForBalancer(Node at, Node out) throws IOException {
    String path = "work/ask?key=%s&who=me&why=release&for_ms=600000&balancer=%s";
    return ((Number) at.post(path.formatted(out.name(), out.name())).get("order")).longValue();
  }

  /** The instance that is left goes on serving; orders wait and go on when the majority is back. */
  @Test
  void ordersWaitWhileTheMajorityIsLost() throws Exception {
    try (Fleet fleet = new Fleet(8)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      Node left = fleet.node(1);
      long out = ask(left, "front-1");
      awaitOut(fleet, left, out, "front-1");
      for (Node node : List.of(fleet.node(2), fleet.node(3))) {
        node.kill();
      }
      HttpLoadGenerator load = fleet.startLoad(left, 100);
      assertThrows(IOException.class, () -> ask(left, "front-2"));
      Await.until("it serves", () -> load.stats().total() > 300);
      assertEquals(-1, left.get("work").get("lease_left_ms"), "it serves without a lease");
      for (Node node : List.of(fleet.node(2), fleet.node(3))) {
        node.start();
      }
      long next = askUntilAccepted(fleet.node(3), "front-2", "machine=front-2");
      done(fleet, left, out, "front-1");
      awaitOut(fleet, fleet.node(2), next, "front-2");
      done(fleet, left, next, "front-2");
      load.stop();
      assertEquals(0, fleet.ledger().lostCount());
      fixture.verify(fleet);
    }
  }

  /** The list names the address of the machine under another id. */
  @Test
  void machineThatIsOutGetsNoCallsUnderAnotherId() throws Exception {
    try (Fleet fleet = new Fleet(9)) {
      fleet.servers(3, "front", SERVER_SHAPE).start(3, 3, MaintenanceSettings.serveWhenCutOff(1));
      fixture.load(fleet);
      long out = ask(fleet.node(1), "front-1");
      awaitOut(fleet, fleet.node(1), out, "front-1");
      for (Node node : fleet.nodes()) {
        String list = Files.readString(node.serverListFile()).replace("front-1 ", "renamed ");
        assertTrue(list.contains("renamed "), list);
        Files.writeString(node.serverListFile(), list);
        Await.until("the list is in force", () -> listVersion(node).equals("2"));
      }
      long before = fleet.servers().get(1).receivedCount();
      Await.until("calls", () -> fleet.servers().get(1).receivedCount() > before + 100);
      fixture.verify(fleet);
    }
  }
}
