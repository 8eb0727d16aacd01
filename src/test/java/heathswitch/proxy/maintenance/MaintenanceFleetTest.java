package heathswitch.proxy.maintenance;

import static heathswitch.proxy.maintenance.MaintenanceFixture.SHAPE;
import static heathswitch.proxy.maintenance.MaintenanceFixture.ask;
import static heathswitch.proxy.maintenance.MaintenanceFixture.askedAtLast;
import static heathswitch.proxy.maintenance.MaintenanceFixture.awaitOut;
import static heathswitch.proxy.maintenance.MaintenanceFixture.done;
import static heathswitch.proxy.maintenance.MaintenanceFixture.fenced;
import static heathswitch.proxy.maintenance.MaintenanceFixture.phase;
import static heathswitch.proxy.maintenance.MaintenanceFixture.version;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.fleet.Terms;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import testing.Await;

/** Several processes of the program settle which machine goes out, with faults between them. */
class MaintenanceFleetTest {
  private final MaintenanceFixture work = new MaintenanceFixture();

  /** The first that counts: three processes, one machine, and the death of whoever led. */
  @Test
  void aMachineGoesOutAndAnotherAfterTheDeathOfWhoeverLed() throws Exception {
    try (Fleet fleet = new Fleet(1)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.stopping(2000, 2));
      work.load(fleet);
      Await.until("calls", () -> fleet.servers().get(0).received() > 50);
      Node leader = fleet.leader();
      assertNotNull(leader);
      Node asked = fleet.nodes().stream().filter(node -> node != leader).findFirst().get();
      long first = ask(asked, "front-1");
      assertEquals(first, ask(leader, "front-1"), "the same request at another is one order");
      awaitOut(fleet, asked, first, "front-1");
      long received = fleet.servers().get(0).received();
      fleet.history().note("kill " + leader.name());
      leader.kill();
      long second = ask(asked, "front-2");
      awaitOut(fleet, asked, second, "front-2");
      assertEquals(received, fleet.servers().get(0).received());
      done(fleet, asked, first, "front-1");
      Await.until("back", () -> fleet.servers().get(0).received() > received);
      leader.start();
      Await.until("the dead one serves again", leader::serves);
      Await.until("it knows", () -> phase(leader, second).equals("out"));
      done(fleet, leader, second, "front-2");
      Await.until("done", () -> phase(asked, second).equals("done"));
      work.verdict(fleet);
    }
  }

  /** It sleeps through the grant, is fenced meanwhile, and sends nothing there when it wakes. */
  @Test
  void anInstanceThatWasStoppedSendsNothingWhenItWakes() throws Exception {
    sleepsThroughGrant(2, true, 0);
  }

  /**
   * The same in the middle of its calls: one may be between the look at its lease and its write,
   * which no process can help; on one loop there is no second.
   */
  @Test
  void anInstanceThatWasStoppedUnderItsCallsSendsOneAtMost() throws Exception {
    sleepsThroughGrant(12, false, 1);
  }

  /**
   * Clients call while it sleeps: their calls wait for it in its sockets.
   *
   * @param atRest whether all its calls are answered when it is stopped
   * @param most calls that may begin at the machine that is out
   */
  private void sleepsThroughGrant(int seed, boolean atRest, int most) throws Exception {
    try (Fleet fleet = new Fleet(seed)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.stopping(1500, 1));
      work.load(fleet);
      Node leader = fleet.leader();
      Node stopped = fleet.nodes().stream().filter(node -> node != leader).findFirst().get();
      Await.until("calls", () -> fleet.servers().get(0).received() > 50);
      if (atRest) {
        work.stopLoad(stopped);
      }
      fleet.history().note("stop " + stopped.name());
      stopped.pause();
      if (atRest) {
        work.load(fleet, stopped);
      }
      long order = ask(leader, "front-1");
      awaitOut(fleet, leader, order, "front-1");
      Thread.sleep(500); // So that many wait.
      long received = fleet.servers().get(0).received();
      fleet.history().note("wake " + stopped.name());
      stopped.resume();
      Await.until("it is back", () -> !fenced(leader, stopped) && stopped.serves());
      long others = fleet.servers().get(1).received();
      Await.until("it serves", () -> fleet.servers().get(1).received() > others + 100);
      long more = fleet.servers().get(0).received() - received;
      assertTrue(more <= most, more + " sent when it woke");
      done(fleet, leader, order, "front-1");
      work.verdict(fleet, most);
    }
  }

  private static Map<String, Object> voted(Node node, String away, String in) throws IOException {
    node.post("work/vote/" + in);
    return node.post("work/unvote/" + away);
  }

  /** Under "serve" nobody goes without the one that is cut off, and it says for whom it waits. */
  @Test
  void anOrderWaitsForOneThatIsCutOffAndServes() throws Exception {
    try (Fleet fleet = new Fleet(3)) {
      fleet.servers(3, "front", SHAPE).start(4, 3, Terms.serving(1));
      work.load(fleet);
      Node away = fleet.node(4);
      List<Node> rest = fleet.nodes().subList(0, 3);
      fleet.split(rest, List.of(away), true);
      long order = ask(rest.get(0), "front-1");
      Await.until("emptying", () -> phase(rest.get(0), order).equals("emptying"));
      Thread.sleep(1500);
      Object rows = rest.get(0).get("work/" + order).get("standings");
      String waits = String.valueOf(((Map<?, ?>) ((List<?>) rows).get(0)).get("waits_for"));
      assertTrue(waits.contains("edge-4") && !waits.contains("edge-1"), waits);
      long before = fleet.servers().get(0).received();
      Await.until("it serves", () -> fleet.servers().get(0).received() > before + 5);
      fleet.split(rest, List.of(away), false);
      awaitOut(fleet, rest.get(0), order, "front-1");
      Await.until("it knows", () -> phase(away, order).equals("out"));
      done(fleet, away, order, "front-1");
      work.verdict(fleet);
    }
  }

  /** With an empty folder it would vote as if it had never voted; it must not start so. */
  @Test
  void aVoterThatHasLostItsFolderDoesNotStart() throws Exception {
    try (Fleet fleet = new Fleet(4)) {
      fleet.servers(3, "front", SHAPE).start(4, 3, Terms.serving(1));
      Node voter = fleet.node(3);
      Node other = fleet.node(4);
      for (Node node : List.of(voter, other)) {
        node.kill();
        node.loseDisk();
      }
      IOException refused = assertThrows(IOException.class, voter::start);
      assertTrue(refused.getMessage().contains("must not vote"), refused.getMessage());
      other.start();
      Await.until("one that does not vote takes the log anew", other::serves);
      // Others vote in its place, one change at a time; then it is let in anew and votes again.
      fleet.node(1).post("work/unvote/" + voter.name());
      IOException absent =
          assertThrows(IOException.class, () -> fleet.node(2).post("work/vote/" + voter.name()));
      assertTrue(absent.getMessage().contains("is not there with the log"), absent.getMessage());
      assertEquals(
          List.of("edge-1", "edge-2", "edge-4"),
          fleet.node(1).post("work/vote/" + other.name()).get("voters"));
      fleet.node(1).kill();
      long order = askedAtLast(fleet.node(2), "front-1", "machine=front-1");
      fleet.node(2).post("work/fence/edge-1");
      fleet.node(2).post("work/fence/edge-3");
      awaitOut(fleet, fleet.node(2), order, "front-1");
      VoterFolder.create(StandaloneConfig.read(voter.config()).config().work());
      voter.start();
      assertEquals(
          List.of("edge-2", "edge-3", "edge-4"),
          voted(fleet.node(2), "edge-1", "edge-3").get("voters"));
      Await.until("it knows all", () -> phase(voter, order).equals("out"));
    }
  }

  /** Twins, asked for in the same moment on both sides of a split: one goes after the other. */
  @Test
  void twinsAskedForOnBothSidesOfASplitGoOneAfterTheOther() throws Exception {
    try (Fleet fleet = new Fleet(5)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.stopping(1500, 1));
      work.load(fleet);
      Node leader = fleet.leader();
      List<Node> rest = new ArrayList<>(fleet.nodes());
      rest.remove(leader);
      fleet.split(List.of(leader), rest, true);
      CompletableFuture<Long> minority =
          CompletableFuture.supplyAsync(() -> askedAtLast(leader, "front-1", "machine=front-1"));
      long first = askedAtLast(rest.get(0), "front-2", "machine=front-2");
      awaitOut(fleet, rest.get(0), first, "front-2");
      assertFalse(minority.isDone(), "settled without a majority");
      fleet.split(List.of(leader), rest, false);
      long second = minority.get(60, TimeUnit.SECONDS);
      Await.until("it serves again", () -> !fenced(rest.get(0), leader));
      assertEquals("waiting", phase(rest.get(0), second));
      done(fleet, leader, first, "front-2");
      awaitOut(fleet, leader, second, "front-1");
      assertEquals(1, fleet.history().mostOut());
      done(fleet, rest.get(0), second, "front-1");
      work.verdict(fleet);
    }
  }

  /** All at once, in the middle of an order: nobody begins without knowing what is out. */
  @Test
  void aRestartOfAllAtOnceForgetsNothing() throws Exception {
    try (Fleet fleet = new Fleet(6)) {
      fleet.servers(3, "front", SHAPE).start(4, 3, Terms.serving(1));
      work.load(fleet);
      long out = ask(fleet.node(1), "front-1");
      long next = ask(fleet.node(4), "front-2");
      awaitOut(fleet, fleet.node(4), out, "front-1");
      fleet.all(Node::kill);
      fleet.all(Node::start);
      for (Node node : fleet.nodes()) {
        Await.until(node.name() + " serves", node::serves);
        assertEquals("out", phase(node, out));
        assertEquals("waiting", phase(node, next));
      }
      long before = fleet.servers().get(1).received();
      Await.until("calls", () -> fleet.servers().get(1).received() > before + 50);
      done(fleet, fleet.node(2), out, "front-1");
      awaitOut(fleet, fleet.node(3), next, "front-2");
      done(fleet, fleet.node(3), next, "front-2");
      work.verdict(fleet);
    }
  }

  /** Balancers go in turn: whoever leads hands that on first, the next goes when it is back. */
  @Test
  void balancersAreTakenOutInTurn() throws Exception {
    try (Fleet fleet = new Fleet(7)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.serving(1));
      Node leader = fleet.leader();
      Node other = fleet.nodes().stream().filter(node -> node != leader).findFirst().get();
      Node third = fleet.node(6 - number(leader) - number(other));
      OpenLoop load = fleet.load(third, 100);
      long first = balancer(third, leader);
      long second = balancer(third, other);
      Await.until("the leader is out", () -> phase(third, first).equals("out"));
      assertEquals("waiting", phase(third, second));
      assertFalse(fleet.leader() == leader, "leadership was handed on");
      leader.end();
      leader.start();
      Thread.sleep(1000);
      assertFalse(leader.serves(), "it waits until somebody says that it is done");
      assertEquals("waiting", phase(third, second));
      third.post("work/done/" + first);
      Await.until("it serves", leader::serves);
      Await.until("it is back", () -> phase(third, first).equals("done"));
      Await.until("the next goes", () -> phase(third, second).equals("out"));
      third.post("work/done/" + second);
      Await.until("that one is back without a new process", other::serves);
      Await.until("done", () -> phase(third, second).equals("done"));
      load.stop();
      assertEquals(0, fleet.ledger().lost());
    }
  }

  private static int number(Node node) {
    return Integer.parseInt(node.name().substring("edge-".length()));
  }

  private static long balancer(Node at, Node out) throws IOException {
    String ask = "work/ask?key=%s&who=me&why=release&for_ms=600000&balancer=%s";
    return ((Number) at.post(ask.formatted(out.name(), out.name())).get("order")).longValue();
  }

  /** Who is left of a lost majority goes on serving; orders wait, and go on when it is back. */
  @Test
  void aMajorityLostAndBack() throws Exception {
    try (Fleet fleet = new Fleet(8)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.serving(1));
      Node left = fleet.node(1);
      long out = ask(left, "front-1");
      awaitOut(fleet, left, out, "front-1");
      for (Node node : List.of(fleet.node(2), fleet.node(3))) {
        node.kill();
      }
      OpenLoop load = fleet.load(left, 100);
      assertThrows(IOException.class, () -> ask(left, "front-2"));
      Await.until("it serves", () -> load.tally().total() > 300);
      assertEquals(-1, left.get("work").get("lease_left_ms"), "it has no lease to end");
      for (Node node : List.of(fleet.node(2), fleet.node(3))) {
        node.start();
      }
      long next = askedAtLast(fleet.node(3), "front-2", "machine=front-2");
      done(fleet, left, out, "front-1");
      awaitOut(fleet, fleet.node(2), next, "front-2");
      done(fleet, left, next, "front-2");
      load.stop();
      assertEquals(0, fleet.ledger().lost());
      work.verdict(fleet);
    }
  }

  /** The list names the same machine under another id: it is the same machine. */
  @Test
  void aMachineThatIsOutGetsNothingUnderAnotherId() throws Exception {
    try (Fleet fleet = new Fleet(9)) {
      fleet.servers(3, "front", SHAPE).start(3, 3, Terms.serving(1));
      work.load(fleet);
      long out = ask(fleet.node(1), "front-1");
      awaitOut(fleet, fleet.node(1), out, "front-1");
      for (Node node : fleet.nodes()) {
        String list = Files.readString(node.members()).replace("front-1 ", "renamed ");
        assertTrue(list.contains("renamed "), list);
        Files.writeString(node.members(), list);
        Await.until("the list is taken", () -> version(node).equals("2"));
      }
      long before = fleet.servers().get(1).received();
      Await.until("calls", () -> fleet.servers().get(1).received() > before + 100);
      work.verdict(fleet);
    }
  }
}
