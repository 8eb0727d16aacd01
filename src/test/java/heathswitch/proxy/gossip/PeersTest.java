package heathswitch.proxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.site.DatagramLine.Weather;
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

/** Several processes of the program know who is there, with faults between them. */
class PeersTest {
  private static final Shape SHAPE = Shape.warm(8, 64, ServiceTime.exponential(3));
  private static final String OLD = "k1 b2xkLW9sZC1vbGQtb2xkLW9sZC0xMjM0\n";
  private static final String NEW = "k2 bmV3LW5ldy1uZXctbmV3LW5ldy0xMjM0\n";

  private final List<OpenLoop> loads = new ArrayList<>();

  private Fleet fleet(int seed, int count) throws Exception {
    Fleet fleet = new Fleet(seed).servers(2, "front", SHAPE).gossiping(OLD).start(count);
    fleet.nodes().forEach(node -> loads.add(fleet.load(node, 20)));
    return fleet;
  }

  /** Nothing of it may cost a call. */
  private void verdict(Fleet fleet) throws InterruptedException {
    for (OpenLoop load : loads) {
      load.stop();
    }
    assertEquals(0, fleet.ledger().lost());
    assertEquals(0, fleet.ledger().doubles(id -> id.contains("publish")));
  }

  private static Map<String, Object> page(Node node) {
    try {
      return node.get("peers");
    } catch (IOException e) {
      return Map.of();
    }
  }

  private static String standing(Node at, Node of) {
    if (page(at).get("peers") instanceof List<?> rows) {
      for (Object each : rows) {
        if (((Map<?, ?>) each).get("name").equals(of.name())) {
          return String.valueOf(((Map<?, ?>) each).get("standing"));
        }
      }
    }
    return "unknown";
  }

  /** The names of those that count as there for a node. */
  private static TreeSet<String> there(Node node) {
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

  private static void awaitView(List<Node> nodes) throws InterruptedException {
    TreeSet<String> all = new TreeSet<>(nodes.stream().map(Node::name).toList());
    for (Node node : nodes) {
      Await.until(node.name() + " sees " + all, () -> there(node).equals(all));
    }
  }

  private static long count(Node node, String key) {
    return page(node).get("datagrams") instanceof Map<?, ?> counts
        ? ((Number) counts.get(key)).longValue()
        : 0;
  }

  @Test
  void whoeverDiesLeavesOrComesBackIsSeenByAll() throws Exception {
    try (Fleet fleet = fleet(31, 5)) {
      List<Node> nodes = fleet.nodes();
      awaitView(nodes);
      Node dead = nodes.get(0); // A seed: the others do without it.
      List<Node> rest = nodes.subList(1, 5);
      loads.get(0).stop();
      dead.kill();
      awaitView(rest);
      for (Node node : rest) {
        assertEquals("dead", standing(node, dead));
      }
      dead.start();
      awaitView(nodes);
      Node leaves = nodes.get(4);
      loads.get(4).stop();
      leaves.end();
      for (Node node : nodes.subList(0, 4)) {
        Await.until("it has said so", () -> standing(node, leaves).equals("left"));
      }
      nodes.get(3).post("peers/leave");
      awaitView(nodes.subList(0, 3));
      long before = fleet.servers().get(0).received();
      Await.until("calls", () -> fleet.servers().get(0).received() > before + 20);
      verdict(fleet);
    }
  }

  @Test
  void bothSidesOfASplitKnowWhoIsThereAndMeetAgain() throws Exception {
    try (Fleet fleet = fleet(32, 5)) {
      List<Node> nodes = fleet.nodes();
      awaitView(nodes);
      List<Node> one = nodes.subList(0, 2); // Both seeds.
      List<Node> other = nodes.subList(2, 5);
      fleet.split(one, other, true);
      awaitView(one);
      awaitView(other);
      fleet.split(one, other, false);
      awaitView(nodes);
      // One that says nothing that anybody hears, and hears them all, is gone for all but itself.
      Node mute = nodes.get(3);
      fleet.mute(mute, true, false);
      for (Node node : nodes) {
        if (node != mute) {
          Await.until("gone", () -> !there(node).contains(mute.name()));
        }
      }
      fleet.mute(mute, false, false);
      awaitView(nodes);
      verdict(fleet);
    }
  }

  /** Stopped for a second it is missed by nobody for good; for ten it is gone, and comes back. */
  @Test
  void oneThatWasStoppedIsBackWhenItWakes() throws Exception {
    try (Fleet fleet = fleet(33, 4)) {
      List<Node> nodes = fleet.nodes();
      awaitView(nodes);
      Node stopped = nodes.get(2);
      loads.get(2).stop(); // Whoever asks one that is stopped waits.
      for (int millis : List.of(1000, 3000, 10_000)) {
        stopped.pause();
        for (int waited = 0; waited < millis; waited += 100) {
          Thread.sleep(100);
          if (millis == 1000) {
            assertFalse(standing(nodes.get(0), stopped).equals("dead"), "dead after a second");
          }
        }
        if (millis == 10_000) {
          Await.until("gone", () -> standing(nodes.get(0), stopped).equals("dead"));
        }
        stopped.resume();
        awaitView(nodes);
      }
      verdict(fleet);
    }
  }

  /** A fifth of the datagrams lost, a tenth twice, all of them late and in any order. */
  @Test
  void nobodyIsGoneForGoodWhereDatagramsAreLostLateAndDoubled() throws Exception {
    try (Fleet fleet = fleet(34, 5)) {
      List<Node> nodes = fleet.nodes();
      awaitView(nodes);
      Weather foul = new Weather(0.2, 0.1, 0, 60);
      each(nodes, (from, to) -> from.datagrams(to).weather(foul));
      for (int i = 0; i < 50; i++) {
        Thread.sleep(100);
        for (Node node : nodes) {
          for (Node other : nodes) {
            assertFalse(standing(node, other).equals("dead"), other.name() + " at " + node.name());
          }
        }
      }
      each(nodes, (from, to) -> from.datagrams(to).weather(Weather.FAIR));
      awaitView(nodes);
      for (Node node : nodes) {
        assertTrue(count(node, "refused_replay") > 0, "what came twice was taken twice");
        assertEquals(0, count(node, "refused_form"));
      }
      verdict(fleet);
    }
  }

  private interface Way {
    void of(Node from, Node to);
  }

  private static void each(List<Node> nodes, Way way) {
    for (Node from : nodes) {
      for (Node to : nodes) {
        if (from != to) {
          way.of(from, to);
        }
      }
    }
  }

  private static void keys(Node node, String text) throws IOException {
    var next = node.keys().resolveSibling("next.keys");
    Files.writeString(next, text);
    Files.move(next, node.keys(), StandardCopyOption.ATOMIC_MOVE);
  }

  @Test
  void aKeyIsReplacedWhileAllGoOn() throws Exception {
    try (Fleet fleet = fleet(35, 4)) {
      List<Node> nodes = fleet.nodes();
      awaitView(nodes);
      for (String text : List.of(OLD + NEW, NEW + OLD, NEW)) {
        for (Node node : nodes) {
          keys(node, text);
        }
        String first = text.substring(0, 2);
        for (Node node : nodes) {
          if (!text.startsWith(OLD)) {
            Await.until("taken", () -> logged(node, "new keys; " + first));
          }
        }
        Thread.sleep(1500); // A look at the file takes half a second, and none may be missed.
        awaitView(nodes);
      }
      for (Node node : nodes) {
        assertFalse(logged(node, " is dead"), "nobody was missed meanwhile");
      }
      // One that has only the former key is a stranger; a file that is half written changes
      // nothing.
      keys(nodes.get(3), OLD);
      awaitView(nodes.subList(0, 3));
      assertTrue(count(nodes.get(0), "refused_seal") > 0);
      keys(nodes.get(3), NEW.substring(0, 9));
      Await.until("told", () -> logged(nodes.get(3), "keys left as they were"));
      keys(nodes.get(3), NEW);
      awaitView(nodes);
      verdict(fleet);
    }
  }

  private static boolean logged(Node node, String text) {
    try {
      return Files.readString(node.log()).contains(text);
    } catch (IOException e) {
      return false;
    }
  }

  /** Whoever reads and writes on the way, without the key, changes nothing. */
  @Test
  void whatIsForgedRepeatedCutOrFlippedIsRefused() throws Exception {
    try (Fleet fleet = fleet(36, 3);
        DatagramSocket socket = new DatagramSocket()) {
      List<Node> nodes = fleet.nodes();
      awaitView(nodes);
      Node victim = nodes.get(1);
      List<byte[]> recorded = Collections.synchronizedList(new ArrayList<>());
      nodes.get(0).datagrams(victim).tap(recorded::add);
      // The next process of the one that sends has to knock first: the record holds both kinds.
      loads.get(0).stop();
      nodes.get(0).kill();
      nodes.get(0).start();
      awaitView(nodes);
      Await.until("some", () -> copy(recorded).stream().filter(PeersTest::addressed).count() > 10);
      List<byte[]> all = copy(recorded);
      long addressed = all.stream().filter(PeersTest::addressed).count();
      assertTrue(addressed < all.size(), "a knock is recorded");
      long replays = count(victim, "refused_replay");
      long answered = count(victim, "knocks");
      for (byte[] each : all) {
        send(socket, victim, each);
      }
      Await.until("knocks", () -> count(victim, "knocks") >= answered + all.size() - addressed);
      Await.until("refused", () -> count(victim, "refused_replay") >= replays + addressed);
      long before = count(victim, "refused_seal") + count(victim, "refused_size");
      long wrong = 0;
      for (byte[] each : all) {
        byte[] flipped = each.clone();
        flipped[(int) (wrong * 7 % (each.length - 1)) + 1] ^= 4;
        send(socket, victim, flipped);
        send(socket, victim, Arrays.copyOf(each, (int) (wrong * 11 % each.length)));
        byte[] forged =
            new Datagram(new heathswitch.policy.gossip.ReplayGuard.Stamp(1, 1, 1), null, 1)
                .bytes(KeyRing.parse("k1 " + "Zm9yZ2VkLWZvcmdlZC1mb3JnZWQtMTIzNA==\n"));
        send(socket, victim, forged);
        wrong++;
      }
      send(socket, victim, new byte[2000]);
      long refused = 3 * wrong + 1;
      Await.until(
          "refused",
          () ->
              count(victim, "refused_seal")
                      + count(victim, "refused_size")
                      + count(victim, "refused_version")
                  >= before + refused);
      // What was made for one is nothing to another, nor to the next process of the same one.
      Node other = nodes.get(2);
      long taken = count(other, "received");
      long knocks = count(other, "knocks");
      all.forEach(each -> send(socket, other, each));
      Await.until("knocks", () -> count(other, "knocks") >= knocks + all.size());
      assertTrue(count(other, "received") < taken + all.size() + 40, "what was meant for another");
      loads.get(1).stop();
      victim.kill();
      victim.start();
      awaitView(nodes);
      long again = count(victim, "knocks");
      all.forEach(each -> send(socket, victim, each));
      Await.until("knocks", () -> count(victim, "knocks") >= again + all.size());
      awaitView(nodes);
      verdict(fleet);
    }
  }

  private static List<byte[]> copy(List<byte[]> recorded) {
    synchronized (recorded) {
      return List.copyOf(recorded);
    }
  }

  /** Whether a datagram holds a message to the very process: no knock, and no answer to one. */
  private static boolean addressed(byte[] datagram) {
    int stamp = 2 + datagram[1];
    boolean knock = ByteBuffer.wrap(datagram).getLong(stamp + 2 * Long.BYTES) == 0;
    int body = stamp + 3 * Long.BYTES;
    byte[] answer = "[\"door\"".getBytes(StandardCharsets.US_ASCII);
    boolean answers = Arrays.equals(datagram, body, body + answer.length, answer, 0, answer.length);
    return !knock && !answers;
  }

  private static void send(DatagramSocket socket, Node to, byte[] bytes) {
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, to.gossip()));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Two by one name: one keeps still until the other is gone, and says so. */
  @Test
  void ofTwoByOneNameOneKeepsStill() throws Exception {
    try (Fleet fleet = new Fleet(37).servers(2, "front", SHAPE).gossiping(OLD)) {
      fleet.before(
          node -> {
            String text = Files.readString(node.config());
            Files.writeString(
                node.config(), text.replace("instance = \"edge-4\"", "instance = \"edge-3\""));
          });
      fleet.start(4);
      List<Node> nodes = fleet.nodes();
      Node one = nodes.get(2);
      Node other = nodes.get(3);
      Await.until("one of them", () -> doubled(one) != doubled(other));
      Node still = doubled(one) ? one : other;
      Node kept = still == one ? other : one;
      TreeSet<String> all = new TreeSet<>(List.of("edge-1", "edge-2", "edge-3"));
      for (Node node : nodes.subList(0, 2)) {
        Await.until("three names", () -> there(node).equals(all));
      }
      assertTrue(logged(still, "another process goes by the name"));
      kept.kill();
      Await.until("it speaks", () -> !doubled(still));
      for (Node node : nodes.subList(0, 2)) {
        Await.until("three names", () -> there(node).equals(all));
      }
    }
  }

  private static boolean doubled(Node node) {
    return Boolean.TRUE.equals(page(node).get("doubled"));
  }
}
