package heathswitch.proxy.grpc;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.runtime.Clock;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Notifies each registered listener after the same short delay. One timer serves the listeners in
 * order of registration, because a timer for each call would cost more than the rest of its
 * bookkeeping. A listener cannot be removed: it is also notified if its call has ended, and is
 * referenced for no longer than the delay. Must only be used on the event loop.
 */
final class BufferingTimer {
  /** Notified once, after the delay. */
  interface Listener {
    void onBufferingTimeout();
  }

  private record Entry(Listener listener, long dueNanos) {}

  private final EventLoop loop;
  private final Clock clock;
  private final long delayNanos;
  private final ArrayDeque<Entry> queue = new ArrayDeque<>();
  private boolean scheduled;

  BufferingTimer(EventLoop loop, Clock clock, long delayNanos) {
    this.loop = loop;
    this.clock = clock;
    this.delayNanos = delayNanos;
  }

  void register(Listener listener) {
    long dueNanos = clock.nowNanos() + delayNanos;
    queue.add(new Entry(listener, dueNanos));
    schedule(delayNanos);
  }

  private void schedule(long inNanos) {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::notifyDue, inNanos, NANOSECONDS);
    }
  }

  private void notifyDue() {
    scheduled = false;
    long nowNanos = clock.nowNanos();
    while (!queue.isEmpty() && queue.peek().dueNanos() <= nowNanos) {
      queue.poll().listener().onBufferingTimeout();
    }
    if (!queue.isEmpty()) {
      schedule(Math.max(1, queue.peek().dueNanos() - nowNanos));
    }
  }
}
