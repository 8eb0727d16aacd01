package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

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
final class SocketInput {
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

  private final Channel channel;
  private final Clock clock;
  private final DecodingThrottle throttle;
  private final Set<Pause> pauses = EnumSet.noneOf(Pause.class);

  /** Whether a read is in progress, in which the socket must not be read again. */
  private boolean reading;

  private long readStartNanos;
  private int parts;

  /** Since when input may have arrived that has not been read; 0 if all of it has been read. */
  private long unreadSinceNanos;

  SocketInput(Channel channel, Clock clock, DecodingThrottle throttle) {
    this.channel = channel;
    this.clock = clock;
    this.throttle = throttle;
  }

  void pause(Pause reason) {
    if (pauses.add(reason)) {
      channel.config().setAutoRead(false);
      mayHaveUnread();
    }
  }

  void resume(Pause reason) {
    if (pauses.remove(reason) && pauses.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  /** Resumes reading for all reasons, at the end of the last request. */
  void resumeAll() {
    pauses.clear();
    channel.config().setAutoRead(true);
  }

  boolean isPaused() {
    return !pauses.isEmpty();
  }

  /** Called with each part that is read. A read that turns out to be costly is cut short. */
  void partRead(HttpObject part) {
    if (!reading) {
      reading = true;
      readStartNanos = clock.nowNanos();
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
      resumeAfterCostlyRead();
    }
    if (isDrained()) {
      unreadSinceNanos = pauses.isEmpty() ? 0 : clock.nowNanos();
    } else {
      mayHaveUnread();
    }
  }

  private void resumeAfterCostlyRead() {
    if (DecodingThrottle.isCostly(parts)) {
      pause(Pause.DECODING);
      long pauseNanos = throttle.pauseNanos(readStartNanos, clock.nowNanos());
      channel.eventLoop().schedule(() -> resume(Pause.DECODING), pauseNanos, NANOSECONDS);
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

  /** Nothing has arrived for so long, while reading, that nothing can be unread. */
  void noteSilence() {
    if (pauses.isEmpty()) {
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
