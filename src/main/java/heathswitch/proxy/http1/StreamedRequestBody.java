package heathswitch.proxy.http1;

import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;

/**
 * A long body on its way from its client to the one attempt that gets it. What came first is kept
 * until more than that has gone on, so that an attempt that never got a connection is no loss. The
 * client is read only as fast as the upstream takes it; what is held is what one read of the client
 * brings, at most.
 */
final class StreamedRequestBody {
  private final ClientConnection client;
  private final ResourceBudget budget;
  private final long length;
  private final long callerNanos;
  private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();

  /** What came before the request was taken, or null once more than that has gone on. */
  private ByteBuf first;

  private long reserved;
  private UpstreamConnection to;
  private boolean ended;
  private boolean endPassed;
  private boolean over;

  /**
   * Takes over the first part and its place in the budget.
   *
   * @param length of the whole body, or -1 where its client did not say
   * @param callerNanos how long the client waits once all of it has come
   */
  StreamedRequestBody(
      ClientConnection client,
      ResourceBudget budget,
      long length,
      long callerNanos,
      ByteBuf first,
      long reserved) {
    this.client = client;
    this.budget = budget;
    this.length = length;
    this.callerNanos = callerNanos;
    this.first = first;
    this.reserved = reserved;
  }

  /** The most that an upstream may be told: the body may take far longer than its client waits. */
  long callerNanos() {
    return callerNanos;
  }

  long length() {
    return length;
  }

  /** Whether another attempt could be given all of it. */
  boolean repeatable() {
    return first != null && !over;
  }

  /** A piece has come, which it takes over. */
  void add(ByteBuf piece, boolean last) {
    if (over) {
      piece.release();
      return;
    }
    ended |= last;
    pending.add(piece);
    passOn();
  }

  /** An attempt has its connection and gets all that there is. */
  void attach(UpstreamConnection connection) {
    to = connection;
    connection.more(first.retainedDuplicate(), false);
    passOn();
  }

  private void passOn() {
    boolean room = to != null;
    while (room && !pending.isEmpty()) {
      ByteBuf piece = pending.poll();
      forgetFirst();
      endPassed = ended && pending.isEmpty();
      room = to.more(piece, endPassed);
    }
    if (room && ended && !endPassed && pending.isEmpty()) {
      endPassed = true;
      to.more(Unpooled.EMPTY_BUFFER, true);
    }
    client.pauseReading(!room && !ended);
  }

  /** The connection takes more again. */
  void writable(UpstreamConnection connection) {
    if (connection == to) {
      passOn();
    }
  }

  /** The attempt is over; the next one, if there can be one, gets it from the start. */
  void detach(UpstreamConnection connection) {
    if (connection == to) {
      to = null;
      endPassed = false;
      if (first == null) {
        release(); // Nobody can use the rest.
      }
    }
  }

  private void forgetFirst() {
    if (first != null) {
      first.release();
      first = null;
      budget.release(reserved);
      reserved = 0;
    }
  }

  /** Nothing more is sent. */
  void release() {
    if (!over) {
      over = true;
      forgetFirst();
      while (!pending.isEmpty()) {
        pending.poll().release();
      }
      client.pauseReading(false);
    }
  }
}
