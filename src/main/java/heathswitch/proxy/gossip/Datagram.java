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
 * The form of a datagram: a version, the key's id, the stamp, a message as a JSON array, the seal.
 * What it says is read when the seal is right, and no earlier.
 *
 * @param message null for one that answers a knock
 * @param answered the count of the knock, 0 where it is a message
 */
record Datagram(Stamp stamp, Message message, long answered) {
  /** What fits one Ethernet frame behind the headers of IPv4 and UDP. */
  static final int MOST_BYTES = 1472;

  /** Names and zones are that long at most, so that six words fit. */
  static final String NAME = "[A-Za-z0-9_.-]{1,64}";

  static final String ZONE = "[A-Za-z0-9_.-]{0,32}";

  /** What counts up stays far from where it would turn negative. */
  private static final long MOST_NUMBER = 1L << 53;

  private static final byte VERSION = 1;

  /** Words in one message; {@code Gossip} sends no more, and one more when it tells a suspect. */
  private static final int MOST_WORDS = 8;

  /** Why a datagram was not taken. */
  enum Refusal {
    /** Longer than any that is sent, or shorter. */
    SIZE,
    /** Of a version that this program does not know. */
    VERSION,
    /** By a key that is not held, or changed on its way. */
    SEAL,
    /** Its seal is right and what it says is not; whoever sent it is of another program. */
    FORM,
    /** It came before. */
    REPLAY
  }

  /** One that is not taken. */
  static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;
    final Refusal why;

    Refused(Refusal why) {
      super(why.name(), null, false, false);
      this.why = why;
    }
  }

  byte[] bytes(KeyRing keys) {
    byte[] key = keys.signs().getBytes(StandardCharsets.US_ASCII);
    byte[] body;
    try {
      body = JSON.std.asBytes(message == null ? List.of("door", answered) : list(message));
    } catch (IOException e) {
      throw new IllegalStateException(e); // Nothing but texts and numbers.
    }
    int length = 2 + key.length + 3 * Long.BYTES + body.length;
    ByteBuffer bytes = ByteBuffer.allocate(length + KeyRing.SEAL_BYTES);
    bytes.put(VERSION).put((byte) key.length).put(key);
    bytes.putLong(stamp.sender()).putLong(stamp.count()).putLong(stamp.receiver()).put(body);
    bytes.put(keys.seal(bytes.array(), length));
    return bytes.array();
  }

  static Datagram read(byte[] bytes, KeyRing keys) throws Refused {
    if (bytes.length > MOST_BYTES) {
      throw new Refused(Refusal.SIZE);
    }
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      if (in.get() != VERSION) {
        throw new Refused(Refusal.VERSION);
      }
      byte[] key = new byte[in.get() & 0x7f];
      in.get(key);
      Stamp stamp = new Stamp(in.getLong(), in.getLong(), in.getLong());
      int length = bytes.length - KeyRing.SEAL_BYTES;
      if (in.position() > length) {
        throw new Refused(Refusal.SIZE);
      }
      if (!keys.sealed(new String(key, StandardCharsets.US_ASCII), bytes, length)) {
        throw new Refused(Refusal.SEAL);
      }
      byte[] body = new byte[length - in.position()];
      in.get(body);
      return parsed(stamp, JSON.std.listFrom(body));
    } catch (BufferUnderflowException e) {
      throw new Refused(Refusal.SIZE);
    } catch (IOException | IllegalArgumentException | ClassCastException e) {
      throw new Refused(Refusal.FORM);
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
      list.addAll(List.of("sync", sync.digest(), sync.wanted()));
    }
    List<Object> words = new ArrayList<>();
    for (PeerRecord word : message.news()) {
      PeerAttributes facts = word.attributes();
      words.add(
          List.of(
              word.name(),
              word.address(),
              word.process(),
              word.incarnation(),
              word.standing().ordinal(),
              facts.zone(),
              facts.tier(),
              Math.round(facts.load() * 1000) / 1000.0,
              facts.release()));
    }
    list.add(words);
    return list;
  }

  private static Datagram parsed(Stamp stamp, List<?> list) {
    Fields in = new Fields(list);
    String kind = in.text("[a-z]{1,8}");
    Message message =
        switch (kind) {
          case "ping" -> new Message.Ping(in.number(), in.text(NAME), words(in));
          case "ack" -> new Message.Ack(in.number(), words(in));
          case "relay" -> new Message.Relay(in.number(), in.text(NAME), in.address(), words(in));
          case "nack" -> new Message.Nack(in.number(), words(in));
          case "sync" -> new Message.Sync(in.any(), in.flag(), words(in));
          case "door" -> null;
          default -> throw new IllegalArgumentException(kind);
        };
    return new Datagram(stamp, message, message == null ? in.number() : 0);
  }

  private static List<PeerRecord> words(Fields in) {
    List<PeerRecord> words = new ArrayList<>();
    for (Object each : in.list()) {
      Fields word = new Fields((List<?>) each);
      words.add(
          new PeerRecord(
              word.text(NAME),
              word.address(),
              word.number(),
              word.number(),
              PeerStatus.values()[(int) word.upTo(PeerStatus.values().length - 1)],
              new PeerAttributes(
                  word.text(ZONE),
                  (int) word.upTo(Integer.MAX_VALUE),
                  word.decimal(),
                  (int) word.upTo(Integer.MAX_VALUE))));
    }
    return words;
  }

  /** A list read from its first field on. Fields behind those that are read say nothing here. */
  private static final class Fields {
    private final List<?> list;
    private int at;

    Fields(List<?> list) {
      this.list = list;
    }

    private Object next() {
      if (at >= list.size()) {
        throw new IllegalArgumentException("short");
      }
      return list.get(at++);
    }

    String text(String pattern) {
      String text = (String) next();
      if (!text.matches(pattern)) {
        throw new IllegalArgumentException("text");
      }
      return text;
    }

    /** Only one way of writing an address, or two words of one peer would differ. */
    String address() {
      String text = (String) next();
      if (text.length() > 64
          || Addresses.parse(text) == null
          || !Addresses.format(Addresses.parse(text)).equals(text)) {
        throw new IllegalArgumentException("address");
      }
      return text;
    }

    long any() {
      Object number = next();
      if (!(number instanceof Integer) && !(number instanceof Long)) {
        throw new IllegalArgumentException("number");
      }
      return ((Number) number).longValue();
    }

    long upTo(long most) {
      long number = any();
      if (number < 0 || number > most) {
        throw new IllegalArgumentException("number");
      }
      return number;
    }

    long number() {
      return upTo(MOST_NUMBER);
    }

    double decimal() {
      return ((Number) next()).doubleValue();
    }

    boolean flag() {
      return (Boolean) next();
    }

    List<?> list() {
      List<?> found = (List<?>) next();
      if (found.size() > MOST_WORDS) {
        throw new IllegalArgumentException("long");
      }
      return found;
    }
  }
}
