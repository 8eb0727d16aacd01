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
  private final long clientWaitNanos;
  private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();

  /** What came before the request was taken, or null once more than that has gone on. */
  private ByteBuf prefix;

  private long prefixReservation;
  private UpstreamConnection target;
  private boolean complete;
  private boolean lastPieceWritten;
  private boolean released;

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
      long clientWaitNanos,
      ByteBuf prefix,
      long prefixReservation) {
    this.client = client;
    this.budget = budget;
    this.length = length;
    this.clientWaitNanos = clientWaitNanos;
    this.prefix = prefix;
    this.prefixReservation = prefixReservation;
  }

  /** The most that an upstream may be told: the body may take far longer than its client waits. */
  long clientWaitNanos() {
    return clientWaitNanos;
  }

  long length() {
    return length;
  }

  /** Whether another attempt could be given all of it. */
  boolean canBeResent() {
    return prefix != null && !released;
  }

  /** A piece has come, which it takes over. */
  void append(ByteBuf piece, boolean last) {
    if (released) {
      piece.release();
      return;
    }
    complete |= last;
    pending.add(piece);
    forward();
  }

  /** An attempt has its connection and gets all that there is. */
  void attach(UpstreamConnection connection) {
    target = connection;
    connection.writeBody(prefix.retainedDuplicate(), false);
    forward();
  }

  private void forward() {
    boolean writable = target != null;
    while (writable && !pending.isEmpty()) {
      ByteBuf piece = pending.poll();
      releasePrefix();
      lastPieceWritten = complete && pending.isEmpty();
      writable = target.writeBody(piece, lastPieceWritten);
    }
    if (writable && complete && !lastPieceWritten && pending.isEmpty()) {
      lastPieceWritten = true;
      target.writeBody(Unpooled.EMPTY_BUFFER, true);
    }
    client.setReadingPaused(!writable && !complete);
  }

  /** The connection takes more again. */
  void onWritable(UpstreamConnection connection) {
    if (connection == target) {
      forward();
    }
  }

  /** The attempt is over; the next one, if there can be one, gets it from the start. */
  void detach(UpstreamConnection connection) {
    if (connection == target) {
      target = null;
      lastPieceWritten = false;
      if (prefix == null) {
        release(); // Nobody can use the rest.
      }
    }
  }

  private void releasePrefix() {
    if (prefix != null) {
      prefix.release();
      prefix = null;
      budget.release(prefixReservation);
      prefixReservation = 0;
    }
  }

  /** Nothing more is sent. */
  void release() {
    if (!released) {
      released = true;
      releasePrefix();
      while (!pending.isEmpty()) {
        pending.poll().release();
      }
      client.setReadingPaused(false);
    }
  }
}
