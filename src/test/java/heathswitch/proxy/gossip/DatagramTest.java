package heathswitch.proxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.gossip.Message;
import heathswitch.policy.gossip.PeerAttributes;
import heathswitch.policy.gossip.PeerRecord;
import heathswitch.policy.gossip.PeerStatus;
import heathswitch.policy.gossip.ReplayGuard.Stamp;
import heathswitch.proxy.gossip.Datagram.Refusal;
import heathswitch.proxy.gossip.Datagram.Refused;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The form of datagrams, and the file of keys. */
class DatagramTest {
  private static final String SECRET = "b2xkLW9sZC1vbGQtb2xkLW9sZC0xMjM0";
  private static final Stamp STAMP = new Stamp(-7, 1L << 40, Long.MIN_VALUE);

  private static KeyRing keys(String text) {
    try {
      return KeyRing.parse(text);
    } catch (KeyRing.Unusable e) {
      throw new AssertionError(e);
    }
  }

  private static final KeyRing KEYS = keys("a " + SECRET);

  private static PeerRecord word(String name, String address, String zone, double load) {
    PeerAttributes facts = new PeerAttributes(zone, 2, load, 1);
    return new PeerRecord(name, address, (1L << 53) - 1, 1L << 53, PeerStatus.SUSPECT, facts);
  }

  private static Refusal refusal(byte[] bytes, KeyRing keys) {
    return assertThrows(Refused.class, () -> Datagram.read(bytes, keys)).why;
  }

  @Test
  void everyMessageIsReadAsItWasWritten() throws Refused {
    List<PeerRecord> news =
        List.of(word("edge-1", "127.0.0.1:7000", "a", 12.345), word("b", "[::1]:1", "", 0));
    for (Message message :
        List.of(
            new Message.Ping(3, "edge-2", news),
            new Message.Ack(4, news),
            new Message.Relay(5, "edge-2", "127.0.0.1:7001", news),
            new Message.Nack(6, List.of()),
            new Message.Sync(-9, true, news))) {
      Datagram sent = new Datagram(STAMP, message, 0);
      assertEquals(sent, Datagram.read(sent.bytes(KEYS), KEYS));
    }
    Datagram door = new Datagram(STAMP, null, 77);
    assertEquals(door, Datagram.read(door.bytes(KEYS), KEYS));
  }

  /** The longest names, zones, addresses and numbers that are taken, six words of them. */
  @Test
  void theLongestOneFits() throws Refused {
    String name = "n".repeat(64);
    String address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
    PeerRecord longest = word(name, address, "z".repeat(32), 999_999.999);
    Message message = new Message.Relay(1L << 53, name, address, Collections.nCopies(6, longest));
    Datagram sent = new Datagram(STAMP, message, 0);
    byte[] bytes = sent.bytes(keys("k".repeat(16) + ' ' + SECRET));
    assertTrue(bytes.length <= Datagram.MOST_BYTES, bytes.length + " bytes");
  }

  @Test
  void whatIsWrongIsRefusedByItsReason() throws KeyRing.Unusable {
    byte[] good = new Datagram(STAMP, new Message.Ack(1, List.of()), 0).bytes(KEYS);
    assertEquals(Refusal.SEAL, refusal(good, keys("a " + SECRET.replace('b', 'c'))));
    assertEquals(Refusal.SEAL, refusal(good, keys("b " + SECRET)));
    assertEquals(Refusal.SIZE, refusal(new byte[0], KEYS));
    assertEquals(Refusal.SIZE, refusal(new byte[Datagram.MOST_BYTES + 1], KEYS));
    assertEquals(Refusal.SIZE, refusal(Arrays.copyOf(good, 20), KEYS));
    assertEquals(Refusal.SEAL, refusal(Arrays.copyOf(good, good.length - 1), KEYS));
    byte[] later = good.clone();
    later[0] = 2;
    assertEquals(Refusal.VERSION, refusal(later, KEYS));
    for (Message bad :
        List.of(
            new Message.Ping(1, "no name", List.of()),
            new Message.Ping(-1, "edge-1", List.of()),
            new Message.Ack((1L << 53) + 1, List.of()),
            new Message.Relay(1, "edge-1", "host.example:80", List.of()),
            new Message.Relay(1, "edge-1", "127.0.0.1:0080", List.of()),
            new Message.Ack(1, List.of(word("edge-1", "127.0.0.1:1", "zone one", 1))),
            new Message.Ack(1, Collections.nCopies(9, word("e", "127.0.0.1:1", "", 1))))) {
      assertEquals(
          Refusal.FORM, refusal(new Datagram(STAMP, bad, 0).bytes(KEYS), KEYS), bad::toString);
    }
  }

  @Test
  void theFileOfKeysNamesTheLineThatIsWrong() {
    for (List<String> each :
        List.of(
            List.of("# nothing\n", ": no key"),
            List.of("a " + SECRET + "\nb\n", ":2: an id"),
            List.of("a c2hvcnQ=", ":1: a secret of 5 bytes"),
            List.of("a !!!!", ":1: the secret is not in Base64"),
            List.of("a " + SECRET + "\n\na " + SECRET, ":3: the id \"a\" stands twice"))) {
      String said =
          assertThrows(KeyRing.Unusable.class, () -> KeyRing.parse(each.get(0))).getMessage();
      assertTrue(said.startsWith(each.get(1)), said);
    }
  }
}
