package heathswitch.proxy.http1;

import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;

/**
 * A long request body that is streamed from the client to a single attempt. The prefix is kept
 * until more than the prefix has been sent, so that an attempt that never got a connection can be
 * replaced by another one. The client is read only as fast as the upstream accepts the data; at
 * most the data of one read from the client is held.
 */
final class StreamedRequestBody {
  private final ClientConnection client;
  private final ResourceBudget budget;
  private final long length;
  private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();
  private final PieceCollector collector;

  /** Received before the request was accepted; null once more than the prefix has been sent. */
  private ByteBuf prefix;

  private long prefixReservation;
  private UpstreamConnection target;
  private boolean complete;
  private boolean lastPieceWritten;
  private boolean released;

  /**
   * Takes ownership of the prefix and of its reservation in the budget.
   *
   * @param length length of the whole body, or -1 if the client did not declare it
   */
  StreamedRequestBody(
      ClientConnection client,
      ResourceBudget budget,
      long length,
      ByteBuf prefix,
      long prefixReservation) {
    this.collector = new PieceCollector(prefix.alloc());
    this.client = client;
    this.budget = budget;
    this.length = length;
    this.prefix = prefix;
    this.prefixReservation = prefixReservation;
  }

  /** Upper bound of the time announced to an upstream; sending the body may take far longer. */
  long clientWaitNanos() {
    return client.remainingClientNanos();
  }

  long length() {
    return length;
  }

  /** Whether the whole body is still available for another attempt. */
  boolean canBeResent() {
    return prefix != null && !released;
  }

  /** Adds a received piece; the caller keeps its ownership. */
  void append(ByteBuf piece) {
    if (!released) {
      collector.add(piece, pending::add);
    }
  }

  /** Sends what has been received, at the end of each read. */
  void forwardReceived() {
    if (!released) {
      collector.flush(pending::add);
      forward();
    }
  }

  /** Adds the last piece and takes ownership of it; sends what has been received. */
  void appendLast(ByteBuf piece) {
    if (released) {
      piece.release();
      return;
    }
    collector.flush(pending::add);
    complete = true;
    pending.add(piece);
    forward();
  }

  /** An attempt has got its connection; sends everything received so far. */
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

  /** The connection accepts data again. */
  void onWritable(UpstreamConnection connection) {
    if (connection == target) {
      forward();
    }
  }

  /** The attempt is over. If another one is possible, it gets the body from the beginning. */
  void detach(UpstreamConnection connection) {
    if (connection == target) {
      target = null;
      lastPieceWritten = false;
      if (prefix == null) {
        release(); // Part of the body is gone, so no other attempt can use the rest.
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

  /** Releases everything that is held; later pieces are discarded. */
  void release() {
    if (!released) {
      released = true;
      releasePrefix();
      collector.release();
      while (!pending.isEmpty()) {
        pending.poll().release();
      }
      client.setReadingPaused(false);
    }
  }
}
