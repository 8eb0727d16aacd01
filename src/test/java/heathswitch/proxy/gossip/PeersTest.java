package heathswitch.proxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.site.DatagramProxy.Impairment;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import testing.Await;

/** Runs several processes of the program and checks their membership under network faults. */
class PeersTest {
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(3));
  private static final String OLD_KEY = "k1 b2xkLW9sZC1vbGQtb2xkLW9sZC0xMjM0\n";
  private static final String NEW_KEY = "k2 bmV3LW5ldy1uZXctbmV3LW5ldy0xMjM0\n";

  private final List<HttpLoadGenerator> loads = new ArrayList<>();

  private Fleet fleet(int seed, int count) throws Exception {
    Fleet fleet = new Fleet(seed).servers(2, "front", SHAPE).withGossip(OLD_KEY).start(count);
    fleet.nodes().forEach(node -> loads.add(fleet.startLoad(node, 20)));
    return fleet;
  }

  /** No call may be lost or run twice. */
  private void assertNoCallAffected(Fleet fleet) throws InterruptedException {
    for (HttpLoadGenerator load : loads) {
      load.stop();
    }
    assertEquals(0, fleet.ledger().lostCount());
    assertEquals(0, fleet.ledger().duplicateRunCount(id -> id.contains("publish")));
  }

  private static Map<String, Object> page(Node node) {
    try {
      return node.get("peers");
    } catch (IOException e) {
      return Map.of();
    }
  }

  private static String status(Node observer, Node peer) {
    if (page(observer).get("peers") instanceof List<?> rows) {
      for (Object each : rows) {
        if (((Map<?, ?>) each).get("name").equals(peer.name())) {
          return String.valueOf(((Map<?, ?>) each).get("standing"));
        }
      }
    }
    return "unknown";
  }

  /** The names of the peers that count as present for a node. */
  private static TreeSet<String> present(Node node) {
    TreeSet<String> names = new TreeSet<>();
    names.add(node.name());
    if (page(node).get("peers") instanceof List<?> rows) {
      for (Object each : rows) {
        Map<?, ?> row = (Map<?, ?>) each;
        if (List.of("alive", "suspect").contains(row.get("standing"))) {
          names.add(String.valueOf(row.get("name")));
        }
      }
    }
    return names;
  }

  private static void awaitFullView(List<Node> nodes) throws InterruptedException {
    TreeSet<String> all = new TreeSet<>(nodes.stream().map(Node::name).toList());
    for (Node node : nodes) {
      Await.until(node.name() + " sees " + all, () -> present(node).equals(all));
    }
  }

  private static long count(Node node, String key) {
    return page(node).get("datagrams") instanceof Map<?, ?> counts
        ? ((Number) counts.get(key)).longValue()
        : 0;
  }

  @Test
  void deathLeaveAndReturnAreSeenByAllOthers() throws Exception {
    try (Fleet fleet = fleet(31, 5)) {
      List<Node> nodes = fleet.nodes();
      awaitFullView(nodes);
      Node dead = nodes.get(0); // A seed: the others must work without it.
      List<Node> others = nodes.subList(1, 5);
      loads.get(0).stop();
      dead.kill();
      awaitFullView(others);
      for (Node node : others) {
        assertEquals("dead", status(node, dead));
      }
      dead.start();
      awaitFullView(nodes);
      Node leaving = nodes.get(4);
      loads.get(4).stop();
      leaving.terminate();
      for (Node node : nodes.subList(0, 4)) {
        Await.until("seen as left", () -> status(node, leaving).equals("left"));
      }
      nodes.get(3).post("peers/leave");
      awaitFullView(nodes.subList(0, 3));
      long before = fleet.servers().get(0).receivedCount();
      Await.until("calls", () -> fleet.servers().get(0).receivedCount() > before + 20);
      assertNoCallAffected(fleet);
    }
  }

  @Test
  void bothSidesOfAPartitionHaveTheRightViewAndMergeAgain() throws Exception {
    try (Fleet fleet = fleet(32, 5)) {
      List<Node> nodes = fleet.nodes();
      awaitFullView(nodes);
      List<Node> one = nodes.subList(0, 2); // Both seeds.
      List<Node> other = nodes.subList(2, 5);
      fleet.setPartitioned(one, other, true);
      awaitFullView(one);
      awaitFullView(other);
      fleet.setPartitioned(one, other, false);
      awaitFullView(nodes);
      // A node that receives datagrams but whose own are all lost is absent for all others.
      Node mute = nodes.get(3);
      fleet.setMuted(mute, true, false);
      for (Node node : nodes) {
        if (node != mute) {
          Await.until("gone", () -> !present(node).contains(mute.name()));
        }
      }
      fleet.setMuted(mute, false, false);
      awaitFullView(nodes);
      assertNoCallAffected(fleet);
    }
  }

  /** After a pause of one second a node is not declared dead; after ten it is, and returns. */
  @Test
  void pausedNodeReturnsWhenItResumes() throws Exception {
    try (Fleet fleet = fleet(33, 4)) {
      List<Node> nodes = fleet.nodes();
      awaitFullView(nodes);
      Node paused = nodes.get(2);
      loads.get(2).stop(); // Requests to a paused node wait.
      for (int millis : List.of(1000, 3000, 10_000)) {
        paused.pause();
        for (int waited = 0; waited < millis; waited += 100) {
          Thread.sleep(100);
          if (millis == 1000) {
            assertFalse(status(nodes.get(0), paused).equals("dead"), "dead after a second");
          }
        }
        if (millis == 10_000) {
          Await.until("gone", () -> status(nodes.get(0), paused).equals("dead"));
        }
        paused.resume();
        awaitFullView(nodes);
      }
      assertNoCallAffected(fleet);
    }
  }

  /** A fifth of the datagrams is lost, a tenth duplicated, and all are delayed and reordered. */
  @Test
  void noNodeIsDeclaredDeadWhenDatagramsAreLostDelayedAndDuplicated() throws Exception {
    try (Fleet fleet = fleet(34, 5)) {
      List<Node> nodes = fleet.nodes();
      awaitFullView(nodes);
      Impairment degraded = new Impairment(0.2, 0.1, 0, 60);
      forEachLink(nodes, (from, to) -> from.datagramProxy(to).setImpairment(degraded));
      for (int i = 0; i < 50; i++) {
        Thread.sleep(100);
        for (Node node : nodes) {
          for (Node other : nodes) {
            assertFalse(status(node, other).equals("dead"), other.name() + " at " + node.name());
          }
        }
      }
      forEachLink(nodes, (from, to) -> from.datagramProxy(to).setImpairment(Impairment.NONE));
      awaitFullView(nodes);
      for (Node node : nodes) {
        assertTrue(count(node, "refused_replay") > 0, "duplicates were accepted");
        assertEquals(0, count(node, "refused_form"));
      }
      assertNoCallAffected(fleet);
    }
  }

  private interface LinkAction {
    void apply(Node from, Node to);
  }

  private static void forEachLink(List<Node> nodes, LinkAction action) {
    for (Node from : nodes) {
      for (Node to : nodes) {
        if (from != to) {
          action.apply(from, to);
        }
      }
    }
  }

  private static void replaceKeys(Node node, String text) throws IOException {
    var next = node.gossipKeyFile().resolveSibling("next.keys");
    Files.writeString(next, text);
    Files.move(next, node.gossipKeyFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  @Test
  void keyIsRotatedWithoutInterruption() throws Exception {
    try (Fleet fleet = fleet(35, 4)) {
      List<Node> nodes = fleet.nodes();
      awaitFullView(nodes);
      for (String text : List.of(OLD_KEY + NEW_KEY, NEW_KEY + OLD_KEY, NEW_KEY)) {
        for (Node node : nodes) {
          replaceKeys(node, text);
        }
        String signingKeyId = text.substring(0, 2);
        for (Node node : nodes) {
          if (!text.startsWith(OLD_KEY)) {
            Await.until("keys loaded", () -> logged(node, "new keys loaded; " + signingKeyId));
          }
        }
        // The file is polled every half second; no node may be declared dead meanwhile.
        Thread.sleep(1500);
        awaitFullView(nodes);
      }
      for (Node node : nodes) {
        assertFalse(logged(node, " is dead"), "declared dead meanwhile");
      }
      // Datagrams under the old key are refused; a partly written file changes nothing.
      replaceKeys(nodes.get(3), OLD_KEY);
      awaitFullView(nodes.subList(0, 3));
      assertTrue(count(nodes.get(0), "refused_seal") > 0);
      replaceKeys(nodes.get(3), NEW_KEY.substring(0, 9));
      Await.until("invalid file logged", () -> logged(nodes.get(3), "previous keys stay in use"));
      replaceKeys(nodes.get(3), NEW_KEY);
      awaitFullView(nodes);
      assertNoCallAffected(fleet);
    }
  }

  private static boolean logged(Node node, String text) {
    try {
      return Files.readString(node.logFile()).contains(text);
    } catch (IOException e) {
      return false;
    }
  }

  /** An attacker on the network who does not have the key cannot change anything. */
  @Test
  void forgedReplayedTruncatedAndModifiedDatagramsAreRefused() throws Exception {
    try (Fleet fleet = fleet(36, 3);
        DatagramSocket socket = new DatagramSocket()) {
      List<Node> nodes = fleet.nodes();
      awaitFullView(nodes);
      Node victim = nodes.get(1);
      List<byte[]> recorded = Collections.synchronizedList(new ArrayList<>());
      nodes.get(0).datagramProxy(victim).setTap(recorded::add);
      // The restarted sender has to learn the session id first, so both kinds are recorded.
      loads.get(0).stop();
      nodes.get(0).kill();
      nodes.get(0).start();
      awaitFullView(nodes);
      Await.until(
          "datagrams recorded",
          () -> copy(recorded).stream().filter(PeersTest::hasSession).count() > 10);
      List<byte[]> all = copy(recorded);
      long sessionCount = all.stream().filter(PeersTest::hasSession).count();
      assertTrue(sessionCount < all.size(), "a datagram without a session id is recorded");
      long replays = count(victim, "refused_replay");
      long requestsBefore = count(victim, "knocks");
      for (byte[] each : all) {
        send(socket, victim, each);
      }
      Await.until(
          "knocks", () -> count(victim, "knocks") >= requestsBefore + all.size() - sessionCount);
      Await.until("refused", () -> count(victim, "refused_replay") >= replays + sessionCount);
      long before = count(victim, "refused_seal") + count(victim, "refused_size");
      long index = 0;
      for (byte[] each : all) {
        byte[] flipped = each.clone();
        flipped[(int) (index * 7 % (each.length - 1)) + 1] ^= 4;
        send(socket, victim, flipped);
        send(socket, victim, Arrays.copyOf(each, (int) (index * 11 % each.length)));
        byte[] forged =
            new Datagram(new heathswitch.policy.gossip.ReplayGuard.Stamp(1, 1, 1), null, 1)
                .encode(KeyRing.parse("k1 " + "Zm9yZ2VkLWZvcmdlZC1mb3JnZWQtMTIzNA==\n"));
        send(socket, victim, forged);
        index++;
      }
      send(socket, victim, new byte[2000]);
      long refused = 3 * index + 1;
      Await.until(
          "refused",
          () ->
              count(victim, "refused_seal")
                      + count(victim, "refused_size")
                      + count(victim, "refused_version")
                  >= before + refused);
      // Neither another node nor the restarted node accepts datagrams for this process.
      Node other = nodes.get(2);
      long received = count(other, "received");
      long otherRequests = count(other, "knocks");
      all.forEach(each -> send(socket, other, each));
      Await.until("knocks", () -> count(other, "knocks") >= otherRequests + all.size());
      assertTrue(
          count(other, "received") < received + all.size() + 40,
          "accepted datagrams for another node");
      loads.get(1).stop();
      victim.kill();
      victim.start();
      awaitFullView(nodes);
      long restartedRequests = count(victim, "knocks");
      all.forEach(each -> send(socket, victim, each));
      Await.until("knocks", () -> count(victim, "knocks") >= restartedRequests + all.size());
      awaitFullView(nodes);
      assertNoCallAffected(fleet);
    }
  }

  private static List<byte[]> copy(List<byte[]> recorded) {
    synchronized (recorded) {
      return List.copyOf(recorded);
    }
  }

  /**
   * Whether a datagram is a message with the receiver's session id: neither one that is sent
   * without it, nor an answer that tells a session id.
   */
  private static boolean hasSession(byte[] datagram) {
    int stamp = 2 + datagram[1];
    boolean withoutSession = ByteBuffer.wrap(datagram).getLong(stamp + 2 * Long.BYTES) == 0;
    int body = stamp + 3 * Long.BYTES;
    byte[] answer = "[\"door\"".getBytes(StandardCharsets.US_ASCII);
    boolean isAnswer =
        Arrays.equals(datagram, body, body + answer.length, answer, 0, answer.length);
    return !withoutSession && !isAnswer;
  }

  private static void send(DatagramSocket socket, Node to, byte[] bytes) {
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, to.gossipAddress()));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Of two processes with one name, one is silent until the other is gone, and logs that. */
  @Test
  void oneOfTwoNodesWithTheSameNameIsSilent() throws Exception {
    try (Fleet fleet = new Fleet(37).servers(2, "front", SHAPE).withGossip(OLD_KEY)) {
      fleet.beforeFirstStart(
          node -> {
            String text = Files.readString(node.config());
            Files.writeString(
                node.config(), text.replace("instance = \"edge-4\"", "instance = \"edge-3\""));
          });
      fleet.start(4);
      List<Node> nodes = fleet.nodes();
      Node one = nodes.get(2);
      Node other = nodes.get(3);
      Await.until("one of them is silent", () -> hasNameConflict(one) != hasNameConflict(other));
      Node silent = hasNameConflict(one) ? one : other;
      Node active = silent == one ? other : one;
      TreeSet<String> all = new TreeSet<>(List.of("edge-1", "edge-2", "edge-3"));
      for (Node node : nodes.subList(0, 2)) {
        Await.until("three names", () -> present(node).equals(all));
      }
      assertTrue(logged(silent, "another process uses the name"));
      active.kill();
      Await.until("the other one announces itself", () -> !hasNameConflict(silent));
      for (Node node : nodes.subList(0, 2)) {
        Await.until("three names", () -> present(node).equals(all));
      }
    }
  }

  private static boolean hasNameConflict(Node node) {
    return Boolean.TRUE.equals(page(node).get("doubled"));
  }
}
