package heathswitch.policy.gossip;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Replay protection for datagrams. Every process draws a random session id. A sender puts the
 * receiver's session id and a sequence number on each datagram; it learns the receiver's id from
 * the answer to its first datagram. So a datagram that was recorded is not accepted by another
 * process, by a later process at the same address, or a second time. This needs neither a clock nor
 * state on disk.
 *
 * <p>The window behind the highest sequence number follows RFC 4303, appendix A2.
 */
public final class ReplayGuard {
  /**
   * Maximum number of senders that are tracked. One more makes this process draw a new session id,
   * and all senders have to learn it again.
   */
  static final int MAX_SENDERS = 8192;

  /** Maximum number of addresses whose session id is stored; the oldest entry is evicted. */
  static final int MAX_SESSIONS = 8192;

  /** How far behind the highest sequence number a datagram may arrive. */
  static final int WINDOW = 64;

  /** An answer is valid only if no more than this many datagrams were sent after its request. */
  static final long MAX_ANSWER_AGE = 1 << 16;

  /**
   * The replay protection fields of a datagram.
   *
   * @param senderSession session id of the sender
   * @param sequence sequence number among all datagrams of that sender, from 1
   * @param receiverSession session id of the intended receiver, 0 where the sender does not know it
   */
  public record Stamp(long senderSession, long sequence, long receiverSession) {}

  /** The result of checking a received datagram. */
  public enum Verdict {
    /** Accepted: seen for the first time. */
    FRESH,
    /** The sender does not know the session id of this process and has to be told it. */
    WRONG_SESSION,
    /** Received before, or too far behind the highest sequence number. */
    REPLAYED
  }

  private static final class Window {
    long highest;
    long seen;
  }

  /** Session id of another process, and the sequence number of the datagram that it answered. */
  private record RemoteSession(long id, long answeredSequence) {}

  private final LongSupplier idSource;
  private final Map<Long, Window> windows = new LinkedHashMap<>();
  private final Map<String, RemoteSession> sessions = new LinkedHashMap<>();
  private long ownSession;
  private long sentCount;

  /**
   * Creates a guard that knows no other process.
   *
   * @param idSource supplies unpredictable numbers other than 0
   */
  public ReplayGuard(LongSupplier idSource) {
    this.idSource = idSource;
    ownSession = idSource.getAsLong();
  }

  /** The stamp of the next datagram to an address. */
  public Stamp nextStamp(String address) {
    RemoteSession session = sessions.get(address);
    return new Stamp(ownSession, ++sentCount, session == null ? 0 : session.id());
  }

  /**
   * The stamp of the answer that tells a sender the session id of this process. It is addressed to
   * the session id in the request, as none may be stored for that sender.
   */
  public Stamp answerStamp(Stamp request) {
    return new Stamp(ownSession, ++sentCount, request.senderSession());
  }

  /** Whether the session id of the process at an address is known. */
  public boolean knowsSession(String address) {
    return sessions.containsKey(address);
  }

  /** Checks the stamp of a received datagram; the same stamp is accepted only once. */
  public Verdict check(Stamp stamp) {
    if (stamp.receiverSession() != ownSession) {
      return Verdict.WRONG_SESSION;
    }
    if (stamp.sequence() <= 0) {
      return Verdict.REPLAYED;
    }
    Window window = windows.get(stamp.senderSession());
    if (window == null) {
      if (windows.size() >= MAX_SENDERS) {
        // Evicting a single sender would allow replays of its datagrams. A new session id
        // invalidates everything that was sent to this process before.
        windows.clear();
        ownSession = idSource.getAsLong();
        return Verdict.WRONG_SESSION;
      }
      window = new Window();
      windows.put(stamp.senderSession(), window);
    }
    long ahead = stamp.sequence() - window.highest;
    if (ahead > 0) {
      window.seen = ahead >= WINDOW ? 1 : window.seen << ahead | 1;
      window.highest = stamp.sequence();
      return Verdict.FRESH;
    }
    long bit = -ahead < WINDOW ? 1L << -ahead : 0;
    if (bit == 0 || (window.seen & bit) != 0) {
      return Verdict.REPLAYED;
    }
    window.seen |= bit;
    return Verdict.FRESH;
  }

  /**
   * Stores the session id that the process at an address answered with; false if the answer is not
   * valid or not newer than the one stored.
   *
   * @param answeredSequence sequence number of the datagram that is answered; an answer that was
   *     recorded earlier names an earlier one
   */
  public boolean learnSession(String address, Stamp stamp, long answeredSequence) {
    RemoteSession session = sessions.get(address);
    if (stamp.receiverSession() != ownSession
        || answeredSequence <= 0
        || answeredSequence > sentCount
        || sentCount - answeredSequence > MAX_ANSWER_AGE
        || session != null && answeredSequence <= session.answeredSequence()) {
      return false;
    }
    if (session == null && sessions.size() >= MAX_SESSIONS) {
      Iterator<String> first = sessions.keySet().iterator();
      first.next();
      first.remove();
    }
    sessions.put(address, new RemoteSession(stamp.senderSession(), answeredSequence));
    return true;
  }
}
