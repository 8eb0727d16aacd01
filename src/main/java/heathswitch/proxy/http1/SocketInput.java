package heathswitch.proxy.http1;

import heathswitch.proxy.runtime.Clock;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpObject;
import java.util.EnumSet;
import java.util.Set;

/**
 * Decides when the socket of a connection is read, and keeps track of whether everything that had
 * arrived has been read.
 */
final class SocketInput extends DecodingThrottle.Reader {
  /** A reason not to read. */
  enum Pause {
    /** Whoever gets the body does not accept more of it. */
    BACKPRESSURE,
    /** Too much was sent behind the request that is being processed. */
    OVERFLOW,
    /** Decoding has taken more than its share of the event loop's time. */
    DECODING
  }

  /**
   * How often the socket is read to find out whether the peer has closed the connection: enough for
   * all that the sockets of both sides may hold. A peer that has sent more is still there.
   */
  private static final int MAX_PENDING_READS = 512;

  /** Longest read at once after a costly one, so that no single turn takes long. */
  private static final int COSTLY_READ_BYTES = 4 << 10;

  /** What had arrived before is read within this time, unless reading is paused. */
  private static final long BACKLOG_READ_NANOS = 100_000_000L;

  private final Channel channel;
  private final Clock clock;
  private final DecodingThrottle throttle;
  private final Set<Pause> pauses = EnumSet.noneOf(Pause.class);

  /** Whether a read is in progress, in which the socket must not be read again. */
  private boolean reading;

  private long readStartNanos;
  private int parts;

  /** Whether reading has ever been paused because of its cost. */
  private boolean throttled;

  /** When the last read ended, or reading was resumed after that. */
  private long readableSinceNanos;

  /** Since when input may have arrived that has not been read; 0 if all of it has been read. */
  private long unreadSinceNanos;

  SocketInput(Channel channel, Clock clock, DecodingThrottle throttle) {
    this.channel = channel;
    this.clock = clock;
    this.throttle = throttle;
    channel.closeFuture().addListener(closed -> throttle.stopWaiting(this));
  }

  /** How much may be read at once, of at most the given length. */
  int maxReadBytes(int bytes) {
    return DecodingThrottle.isCostly(parts) ? Math.min(bytes, COSTLY_READ_BYTES) : bytes;
  }

  void pause(Pause reason) {
    if (pauses.add(reason)) {
      channel.config().setAutoRead(false);
      mayHaveUnread();
    }
  }

  void resume(Pause reason) {
    if (pauses.remove(reason) && pauses.isEmpty()) {
      readableSinceNanos = clock.nowNanos();
      channel.config().setAutoRead(true);
    }
  }

  /** Resumes reading for all reasons, at the end of the last request. */
  void resumeAll() {
    throttle.stopWaiting(this);
    pauses.clear();
    channel.config().setAutoRead(true);
  }

  boolean isPaused() {
    return !pauses.isEmpty();
  }

  /** Whether the peer may have been kept from sending by the cost of its input. */
  boolean wasThrottled() {
    return throttled;
  }

  /** Called with each part that is read. A read that turns out to be costly is cut short. */
  void partRead(HttpObject part) {
    if (!reading) {
      reading = true;
      readStartNanos = clock.nowNanos();
      noteSilence(readStartNanos);
      parts = 0;
    }
    parts += DecodingThrottle.smallPartsOf(part);
    if (DecodingThrottle.isCostly(parts)) {
      pause(Pause.DECODING);
    }
  }

  /** Called at the end of each read. */
  void readCompleted() {
    if (reading) {
      reading = false;
      if (DecodingThrottle.isCostly(parts) && channel.isActive()) {
        throttled = true;
        pause(Pause.DECODING);
        throttle.awaitTurn(this, readStartNanos);
      }
    }
    readableSinceNanos = clock.nowNanos();
    if (isDrained()) {
      unreadSinceNanos = pauses.isEmpty() ? 0 : readableSinceNanos;
    } else {
      mayHaveUnread();
    }
  }

  @Override
  void takeTurn() {
    resume(Pause.DECODING);
    if (pauses.isEmpty()) {
      readOnce(); // At once, as the next turn depends on what this read costs.
    }
  }

  private void mayHaveUnread() {
    if (unreadSinceNanos == 0) {
      unreadSinceNanos = clock.nowNanos();
    }
  }

  /** Whether the last read got less than there was room for. */
  private boolean isDrained() {
    RecvByteBufAllocator.Handle reads = channel.unsafe().recvBufAllocHandle();
    return reads.lastBytesRead() < reads.attemptedBytesRead();
  }

  /** Since when input may have arrived that has not been read; 0 if all of it has been read. */
  long unreadSinceNanos() {
    return unreadSinceNanos;
  }

  /** Called now and then: if nothing has been read for long, nothing can be unread. */
  void noteSilence(long now) {
    if (pauses.isEmpty() && now - readableSinceNanos > BACKLOG_READ_NANOS) {
      unreadSinceNanos = 0;
    }
  }

  /** Reads the socket once, even while reading is paused, unless a read is in progress. */
  void readOnce() {
    if (!reading && channel.isActive()) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
  }

  /** Reads everything that has arrived, even while reading is paused. */
  void readPending() {
    for (int reads = 0; reads < MAX_PENDING_READS && !reading && channel.isActive(); reads++) {
      readOnce();
      if (isDrained()) {
        return;
      }
    }
  }
}
