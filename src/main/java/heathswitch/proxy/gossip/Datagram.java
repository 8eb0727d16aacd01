package heathswitch.proxy.gossip;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.policy.gossip.Message;
import heathswitch.policy.gossip.PeerAttributes;
import heathswitch.policy.gossip.PeerRecord;
import heathswitch.policy.gossip.PeerStatus;
import heathswitch.policy.gossip.ReplayGuard.Stamp;
import heathswitch.proxy.runtime.Addresses;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The wire format of a datagram: version, key id, replay protection stamp, message as a JSON array,
 * authentication tag. The message is parsed only after the tag has been verified.
 *
 * @param message null for an answer that tells the sender's session id; its kind on the wire is
 *     "door"
 * @param answeredSequence for such an answer, the sequence number of the datagram that it answers;
 *     0 for a message
 */
record Datagram(Stamp stamp, Message message, long answeredSequence) {
  /** What fits into one Ethernet frame after the headers of IPv4 and UDP. */
  static final int MAX_BYTES = 1472;

  /** Limits the length of names and zones, so that six records fit into a datagram. */
  static final String NAME = "[A-Za-z0-9_.-]{1,64}";

  static final String ZONE = "[A-Za-z0-9_.-]{0,32}";

  /** Upper limit of received counters, far from where incrementing them would overflow. */
  private static final long MAX_NUMBER = 1L << 53;

  private static final byte VERSION = 1;

  /**
   * Maximum number of records in a received message. {@code Gossip} sends up to six, and one more
   * to a suspect.
   */
  private static final int MAX_RECORDS = 8;

  /** Why a datagram was refused. */
  enum Refusal {
    /** Longer or shorter than any valid datagram. */
    SIZE,
    /** Its version is not known to this program. */
    VERSION,
    /** Its key is not known, or it was modified in transit. */
    SEAL,
    /** Its tag is correct but its content is not valid: the sender runs another program. */
    FORM,
    /** It was received before, or it arrived too late. */
    REPLAY
  }

  /** A received datagram was refused. */
  static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;
    final Refusal reason;

    RefusedException(Refusal reason) {
      super(reason.name(), null, false, false);
      this.reason = reason;
    }
  }

  byte[] encode(KeyRing keys) {
    byte[] keyId = keys.signingKeyId().getBytes(StandardCharsets.US_ASCII);
    byte[] body;
    try {
      body = JSON.std.asBytes(message == null ? List.of("door", answeredSequence) : list(message));
    } catch (IOException e) {
      throw new IllegalStateException(e); // Cannot fail: contains only strings and numbers.
    }
    int length = 2 + keyId.length + 3 * Long.BYTES + body.length;
    ByteBuffer bytes = ByteBuffer.allocate(length + KeyRing.TAG_BYTES);
    bytes.put(VERSION).put((byte) keyId.length).put(keyId);
    bytes
        .putLong(stamp.senderSession())
        .putLong(stamp.sequence())
        .putLong(stamp.receiverSession())
        .put(body);
    bytes.put(keys.tag(bytes.array(), length));
    return bytes.array();
  }

  static Datagram decode(byte[] bytes, KeyRing keys) throws RefusedException {
    if (bytes.length > MAX_BYTES) {
      throw new RefusedException(Refusal.SIZE);
    }
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      if (in.get() != VERSION) {
        throw new RefusedException(Refusal.VERSION);
      }
      byte[] keyId = new byte[in.get() & 0x7f];
      in.get(keyId);
      Stamp stamp = new Stamp(in.getLong(), in.getLong(), in.getLong());
      int length = bytes.length - KeyRing.TAG_BYTES;
      if (in.position() > length) {
        throw new RefusedException(Refusal.SIZE);
      }
      if (!keys.verify(new String(keyId, StandardCharsets.US_ASCII), bytes, length)) {
        throw new RefusedException(Refusal.SEAL);
      }
      byte[] body = new byte[length - in.position()];
      in.get(body);
      return parse(stamp, JSON.std.listFrom(body));
    } catch (BufferUnderflowException e) {
      throw new RefusedException(Refusal.SIZE);
    } catch (IOException | IllegalArgumentException | ClassCastException e) {
      throw new RefusedException(Refusal.FORM);
    }
  }

  private static List<Object> list(Message message) {
    List<Object> list = new ArrayList<>();
    if (message instanceof Message.Ping ping) {
      list.addAll(List.of("ping", ping.number(), ping.name()));
    } else if (message instanceof Message.Ack ack) {
      list.addAll(List.of("ack", ack.number()));
    } else if (message instanceof Message.Relay relay) {
      list.addAll(List.of("relay", relay.number(), relay.name(), relay.address()));
    } else if (message instanceof Message.Nack nack) {
      list.addAll(List.of("nack", nack.number()));
    } else if (message instanceof Message.Sync sync) {
      list.addAll(List.of("sync", sync.digest(), sync.stateWanted()));
    }
    List<Object> records = new ArrayList<>();
    for (PeerRecord update : message.updates()) {
      PeerAttributes attributes = update.attributes();
      records.add(
          List.of(
              update.name(),
              update.address(),
              update.processNonce(),
              update.incarnation(),
              update.status().ordinal(),
              attributes.zone(),
              attributes.tier(),
              Math.round(attributes.load() * 1000) / 1000.0,
              attributes.release()));
    }
    list.add(records);
    return list;
  }

  private static Datagram parse(Stamp stamp, List<?> list) {
    Fields in = new Fields(list);
    String kind = in.text("[a-z]{1,8}");
    Message message =
        switch (kind) {
          case "ping" -> new Message.Ping(in.number(), in.text(NAME), records(in));
          case "ack" -> new Message.Ack(in.number(), records(in));
          case "relay" -> new Message.Relay(in.number(), in.text(NAME), in.address(), records(in));
          case "nack" -> new Message.Nack(in.number(), records(in));
          case "sync" -> new Message.Sync(in.signedNumber(), in.flag(), records(in));
          case "door" -> null;
          default -> throw new IllegalArgumentException(kind);
        };
    return new Datagram(stamp, message, message == null ? in.number() : 0);
  }

  private static List<PeerRecord> records(Fields in) {
    List<PeerRecord> records = new ArrayList<>();
    for (Object each : in.list()) {
      Fields fields = new Fields((List<?>) each);
      records.add(
          new PeerRecord(
              fields.text(NAME),
              fields.address(),
              fields.number(),
              fields.number(),
              PeerStatus.values()[(int) fields.numberUpTo(PeerStatus.values().length - 1)],
              new PeerAttributes(
                  fields.text(ZONE),
                  (int) fields.numberUpTo(Integer.MAX_VALUE),
                  fields.decimal(),
                  (int) fields.numberUpTo(Integer.MAX_VALUE))));
    }
    return records;
  }

  /** Reads the elements of a JSON array in order. Further elements at the end are ignored. */
  private static final class Fields {
    private final List<?> list;
    private int position;

    Fields(List<?> list) {
      this.list = list;
    }

    private Object next() {
      if (position >= list.size()) {
        throw new IllegalArgumentException("a field is missing");
      }
      return list.get(position++);
    }

    String text(String pattern) {
      String text = (String) next();
      if (!text.matches(pattern)) {
        throw new IllegalArgumentException("text does not match its pattern");
      }
      return text;
    }

    /** Accepts only the canonical form; otherwise two records of one peer could differ by it. */
    String address() {
      String text = (String) next();
      if (text.length() > 64
          || Addresses.parse(text) == null
          || !Addresses.format(Addresses.parse(text)).equals(text)) {
        throw new IllegalArgumentException("not an address in canonical form");
      }
      return text;
    }

    long signedNumber() {
      Object number = next();
      if (!(number instanceof Integer) && !(number instanceof Long)) {
        throw new IllegalArgumentException("not an integer");
      }
      return ((Number) number).longValue();
    }

    long numberUpTo(long max) {
      long number = signedNumber();
      if (number < 0 || number > max) {
        throw new IllegalArgumentException("number out of range");
      }
      return number;
    }

    long number() {
      return numberUpTo(MAX_NUMBER);
    }

    double decimal() {
      return ((Number) next()).doubleValue();
    }

    boolean flag() {
      return (Boolean) next();
    }

    List<?> list() {
      List<?> found = (List<?>) next();
      if (found.size() > MAX_RECORDS) {
        throw new IllegalArgumentException("too many records");
      }
      return found;
    }
  }
}
