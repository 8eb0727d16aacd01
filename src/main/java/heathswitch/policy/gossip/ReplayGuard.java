package heathswitch.policy.gossip;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Tells a datagram that is new from one that somebody has recorded and sends again. Every process
 * has a door, a number that it draws; whoever sends to it names that number, which it is told when
 * it first knocks, and counts what it sends. So nothing that was made for another process, or
 * before this one began, is taken, and nothing twice; no clock is read, and nothing of it has to be
 * kept on disk.
 *
 * <p>The window behind the highest count is that of RFC 4303, appendix A2.
 */
public final class ReplayGuard {
  /** Senders that are remembered; with one more the door is drawn anew, and all knock again. */
  static final int MOST_SENDERS = 8192;

  /** Addresses whose doors are remembered; the one that was told first gives way. */
  static final int MOST_DOORS = 8192;

  /** How far behind the latest one a datagram may come. */
  static final int WINDOW = 64;

  /** An answer to a knock counts if so many have not been sent since. */
  static final long MOST_SINCE = 1 << 16;

  /**
   * What stands on a datagram.
   *
   * @param sender the door of whoever sent it
   * @param count of that sender's datagrams, from 1
   * @param receiver the door that it is meant for, 0 where the sender does not know it
   */
  public record Stamp(long sender, long count, long receiver) {}

  /** What is to be done with a datagram. */
  public enum Verdict {
    /** It is taken. */
    NEW,
    /** Its sender does not know this door; it is to be told. */
    STRANGER,
    /** It came before, or too long after the ones behind it. */
    OLD
  }

  private static final class Window {
    long highest;
    long seen;
  }

  /** Where somebody was told to be, and by an answer to which datagram. */
  private record Door(long number, long answered) {}

  private final LongSupplier draw;
  private final Map<Long, Window> senders = new LinkedHashMap<>();
  private final Map<String, Door> doors = new LinkedHashMap<>();
  private long own;
  private long count;

  /**
   * One that knows nobody.
   *
   * @param draw a number that nobody can foresee, not 0
   */
  public ReplayGuard(LongSupplier draw) {
    this.draw = draw;
    own = draw.getAsLong();
  }

  /** The stamp of the next datagram to an address. */
  public Stamp next(String address) {
    Door door = doors.get(address);
    return new Stamp(own, ++count, door == null ? 0 : door.number());
  }

  /** The stamp of an answer to one that did not know this door; it goes by that one's own. */
  public Stamp answer(Stamp knock) {
    return new Stamp(own, ++count, knock.sender());
  }

  /** Whether an address's door is known. */
  public boolean knows(String address) {
    return doors.containsKey(address);
  }

  /** What becomes of a datagram that came; the same one is taken once. */
  public Verdict take(Stamp stamp) {
    if (stamp.receiver() != own) {
      return Verdict.STRANGER;
    }
    if (stamp.count() <= 0) {
      return Verdict.OLD;
    }
    Window window = senders.get(stamp.sender());
    if (window == null) {
      if (senders.size() >= MOST_SENDERS) {
        // Were one forgotten, what it sent could come again: so all that was sent is forgotten.
        senders.clear();
        own = draw.getAsLong();
        return Verdict.STRANGER;
      }
      window = new Window();
      senders.put(stamp.sender(), window);
    }
    long ahead = stamp.count() - window.highest;
    if (ahead > 0) {
      window.seen = ahead >= WINDOW ? 1 : window.seen << ahead | 1;
      window.highest = stamp.count();
      return Verdict.NEW;
    }
    long bit = -ahead < WINDOW ? 1L << -ahead : 0;
    if (bit == 0 || (window.seen & bit) != 0) {
      return Verdict.OLD;
    }
    window.seen |= bit;
    return Verdict.NEW;
  }

  /**
   * Somebody answers that its door is another one; true if that is news.
   *
   * @param answered the count of the datagram that it answers: one that was recorded earlier
   *     answers an earlier one
   */
  public boolean told(String address, Stamp stamp, long answered) {
    Door door = doors.get(address);
    if (stamp.receiver() != own
        || answered <= 0
        || answered > count
        || count - answered > MOST_SINCE
        || door != null && answered <= door.answered()) {
      return false;
    }
    if (door == null && doors.size() >= MOST_DOORS) {
      Iterator<String> first = doors.keySet().iterator();
      first.next();
      first.remove();
    }
    doors.put(address, new Door(stamp.sender(), answered));
    return true;
  }
}
