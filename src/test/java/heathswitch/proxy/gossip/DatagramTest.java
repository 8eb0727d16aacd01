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
import heathswitch.proxy.gossip.Datagram.RefusedException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the wire format of datagrams and the key file. */
class DatagramTest {
  private static final String SECRET = "b2xkLW9sZC1vbGQtb2xkLW9sZC0xMjM0";
  private static final Stamp STAMP = new Stamp(-7, 1L << 40, Long.MIN_VALUE);

  private static KeyRing keys(String text) {
    try {
      return KeyRing.parse(text);
    } catch (KeyRing.InvalidKeysException e) {
      throw new AssertionError(e);
    }
  }

  private static final KeyRing KEYS = keys("a " + SECRET);

  private static PeerRecord record(String name, String address, String zone, double load) {
    PeerAttributes attributes = new PeerAttributes(zone, 2, load, 1);
    return new PeerRecord(name, address, (1L << 53) - 1, 1L << 53, PeerStatus.SUSPECT, attributes);
  }

  private static Refusal refusal(byte[] bytes, KeyRing keys) {
    return assertThrows(RefusedException.class, () -> Datagram.decode(bytes, keys)).reason;
  }

  @Test
  void everyMessageIsDecodedAsItWasEncoded() throws RefusedException {
    List<PeerRecord> updates =
        List.of(record("edge-1", "127.0.0.1:7000", "a", 12.345), record("b", "[::1]:1", "", 0));
    for (Message message :
        List.of(
            new Message.Ping(3, "edge-2", updates),
            new Message.Ack(4, updates),
            new Message.Relay(5, "edge-2", "127.0.0.1:7001", updates),
            new Message.Nack(6, List.of()),
            new Message.Sync(-9, true, updates))) {
      Datagram sent = new Datagram(STAMP, message, 0);
      assertEquals(sent, Datagram.decode(sent.encode(KEYS), KEYS));
    }
    Datagram sessionAnswer = new Datagram(STAMP, null, 77);
    assertEquals(sessionAnswer, Datagram.decode(sessionAnswer.encode(KEYS), KEYS));
  }

  /** Six records with the longest names, zones, addresses and numbers that are accepted. */
  @Test
  void longestMessageFitsIntoOneDatagram() throws RefusedException {
    String name = "n".repeat(64);
    String address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
    PeerRecord longest = record(name, address, "z".repeat(32), 999_999.999);
    Message message = new Message.Relay(1L << 53, name, address, Collections.nCopies(6, longest));
    Datagram sent = new Datagram(STAMP, message, 0);
    byte[] bytes = sent.encode(keys("k".repeat(16) + ' ' + SECRET));
    assertTrue(bytes.length <= Datagram.MAX_BYTES, bytes.length + " bytes");
  }

  @Test
  void invalidDatagramIsRefusedWithItsReason() throws KeyRing.InvalidKeysException {
    byte[] valid = new Datagram(STAMP, new Message.Ack(1, List.of()), 0).encode(KEYS);
    assertEquals(Refusal.SEAL, refusal(valid, keys("a " + SECRET.replace('b', 'c'))));
    assertEquals(Refusal.SEAL, refusal(valid, keys("b " + SECRET)));
    assertEquals(Refusal.SIZE, refusal(new byte[0], KEYS));
    assertEquals(Refusal.SIZE, refusal(new byte[Datagram.MAX_BYTES + 1], KEYS));
    assertEquals(Refusal.SIZE, refusal(Arrays.copyOf(valid, 20), KEYS));
    assertEquals(Refusal.SEAL, refusal(Arrays.copyOf(valid, valid.length - 1), KEYS));
    byte[] laterVersion = valid.clone();
    laterVersion[0] = 2;
    assertEquals(Refusal.VERSION, refusal(laterVersion, KEYS));
    for (Message invalid :
        List.of(
            new Message.Ping(1, "no name", List.of()),
            new Message.Ping(-1, "edge-1", List.of()),
            new Message.Ack((1L << 53) + 1, List.of()),
            new Message.Relay(1, "edge-1", "host.example:80", List.of()),
            new Message.Relay(1, "edge-1", "127.0.0.1:0080", List.of()),
            new Message.Ack(1, List.of(record("edge-1", "127.0.0.1:1", "zone one", 1))),
            new Message.Ack(1, Collections.nCopies(9, record("e", "127.0.0.1:1", "", 1))))) {
      assertEquals(
          Refusal.FORM,
          refusal(new Datagram(STAMP, invalid, 0).encode(KEYS), KEYS),
          invalid::toString);
    }
  }

  @Test
  void invalidKeyFileIsReportedWithItsLine() {
    for (List<String> each :
        List.of(
            List.of("# nothing\n", ": no key"),
            List.of("a " + SECRET + "\nb\n", ":2: an id"),
            List.of("a c2hvcnQ=", ":1: a secret of 5 bytes"),
            List.of("a !!!!", ":1: the secret is not in Base64"),
            List.of("a " + SECRET + "\n\na " + SECRET, ":3: the id \"a\" is used twice"))) {
      String message =
          assertThrows(KeyRing.InvalidKeysException.class, () -> KeyRing.parse(each.get(0)))
              .getMessage();
      assertTrue(message.startsWith(each.get(1)), message);
    }
  }
}
