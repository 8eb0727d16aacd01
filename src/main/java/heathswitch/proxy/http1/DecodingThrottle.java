package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.runtime.Clock;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import java.util.PriorityQueue;

/**
 * Limits the share of the event loop's time that goes into decoding input of very many small parts,
 * such as chunks of one byte, on all connections together. Without it one peer that sends at full
 * speed could take all of the time. After a costly read a connection waits for its turn. The next
 * turn goes to the connection whose input has cost the least so far, so that a message of some
 * hundred small parts does not wait behind others of many thousands.
 */
final class DecodingThrottle {
  /** Decoding a piece of a body of this length costs little for its length. */
  private static final int LARGE_BYTES = 512;

  /**
   * Usual messages have fewer small parts in one read, headers included; they are never delayed.
   */
  private static final int USUAL_PARTS = 64;

  /** The share of time that costly reads may take in the long run: one part in this many. */
  private static final int TIME_DIVISOR = 3;

  /** Time that may be saved up for costly reads while there are none. */
  private static final long MAX_CREDIT_NANOS = 20_000_000L;

  /**
   * Time that costly reads may have taken ahead of their share. A connection that is new makes its
   * first costly read without a turn; many of them must not keep the others from their turns for
   * long.
   */
  private static final long MAX_DEBT_NANOS = 7_000_000L;

  /** Longest series of turns without any other work of the event loop. */
  private static final long MAX_SERIES_NANOS = 1_000_000L;

  /** The time in which half of what the input of a connection has cost is forgotten. */
  private static final double COST_HALF_LIFE_NANOS = 1e9;

  /** A connection that can wait for its turn to read. */
  abstract static class Reader implements Comparable<Reader> {
    private double costNanos;
    private long costAsOfNanos;
    private boolean waiting;

    /** Orders readers of the same cost by the time since when they wait. */
    private long waitingNumber;

    /** Called when it is this connection's turn. */
    abstract void takeTurn();

    @Override
    public final int compareTo(Reader other) {
      int byCost = Double.compare(costNanos, other.costNanos);
      return byCost != 0 ? byCost : Long.compare(waitingNumber, other.waitingNumber);
    }
  }

  private final EventLoop loop;
  private final Clock clock;

  /** The connections that wait for a turn, until it comes or they are closed. */
  private final PriorityQueue<Reader> waiting = new PriorityQueue<>();

  /** Time left for costly reads; turns are given while it is above zero. */
  private long creditNanos = MAX_CREDIT_NANOS;

  private long creditAsOfNanos;
  private boolean turnsScheduled;
  private long lastWaitingNumber;

  DecodingThrottle(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
    this.creditAsOfNanos = clock.nowNanos();
  }

  /** How many small parts a decoded object consists of. */
  static int smallPartsOf(HttpObject part) {
    if (part instanceof HttpMessage message) {
      return 1 + message.headers().size();
    }
    boolean large =
        part instanceof HttpContent content && content.content().readableBytes() >= LARGE_BYTES;
    return large ? 0 : 1;
  }

  /** Whether a read that was decoded into so many parts falls under the limit. */
  static boolean isCostly(int parts) {
    return parts > USUAL_PARTS;
  }

  /** Lets a connection wait for its turn, after a costly read that has just ended. */
  void awaitTurn(Reader reader, long readStartNanos) {
    long now = clock.nowNanos();
    long readNanos = now - readStartNanos;
    stopWaiting(reader);
    charge(reader, readNanos, now);
    earnCredit(now);
    creditNanos = Math.max(-MAX_DEBT_NANOS, creditNanos - readNanos);
    reader.waiting = true;
    reader.waitingNumber = ++lastWaitingNumber;
    waiting.add(reader);
    scheduleTurns();
  }

  /** Removes a connection that is closed, or reads on without a turn. */
  void stopWaiting(Reader reader) {
    if (reader.waiting) {
      reader.waiting = false;
      waiting.remove(reader);
    }
  }

  private static void charge(Reader reader, long readNanos, long now) {
    double halfLives = (now - reader.costAsOfNanos) / COST_HALF_LIFE_NANOS;
    reader.costNanos = reader.costNanos * Math.pow(2, -halfLives) + readNanos;
    reader.costAsOfNanos = now;
  }

  private void earnCredit(long now) {
    long earnedNanos = (now - creditAsOfNanos) / TIME_DIVISOR;
    creditNanos = Math.min(MAX_CREDIT_NANOS, creditNanos + earnedNanos);
    creditAsOfNanos = now;
  }

  private void scheduleTurns() {
    if (!turnsScheduled && !waiting.isEmpty()) {
      turnsScheduled = true;
      long pauseNanos = TIME_DIVISOR * Math.max(0, -creditNanos);
      loop.schedule(this::giveTurns, pauseNanos, NANOSECONDS);
    }
  }

  private void giveTurns() {
    turnsScheduled = false;
    long startNanos = clock.nowNanos();
    long now = startNanos;
    earnCredit(now);
    while (creditNanos >= 0 && now - startNanos < MAX_SERIES_NANOS && !waiting.isEmpty()) {
      Reader next = waiting.poll();
      next.waiting = false;
      next.takeTurn();
      now = clock.nowNanos();
    }
    scheduleTurns();
  }
}
