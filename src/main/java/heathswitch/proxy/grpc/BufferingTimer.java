package heathswitch.proxy.grpc;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.runtime.Clock;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Tells all who wait that the same short time is over for them, by one timer in the order in which
 * they came: a timer for each call would cost more than the rest of its bookkeeping. Those whose
 * matter is settled sooner are told all the same, and stay here no longer than that time. On the
 * loop only.
 */
final class BufferingTimer {
  /** Told once. */
  interface Listener {
    void onBufferingTimeout();
  }

  private record Due(Listener listener, long nanos) {}

  private final EventLoop loop;
  private final Clock clock;
  private final long nanos;
  private final ArrayDeque<Due> due = new ArrayDeque<>();
  private boolean planned;

  BufferingTimer(EventLoop loop, Clock clock, long nanos) {
    this.loop = loop;
    this.clock = clock;
    this.nanos = nanos;
  }

  void watch(Listener listener) {
    long at = clock.nowNanos() + nanos;
    due.add(new Due(listener, at));
    plan(nanos);
  }

  private void plan(long delay) {
    if (!planned) {
      planned = true;
      loop.schedule(this::tell, delay, NANOSECONDS);
    }
  }

  private void tell() {
    planned = false;
    long now = clock.nowNanos();
    while (!due.isEmpty() && due.peek().nanos() <= now) {
      due.poll().listener().onBufferingTimeout();
    }
    if (!due.isEmpty()) {
      plan(Math.max(1, due.peek().nanos() - now));
    }
  }
}
