package heathswitch.proxy.node;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.proxy.http1.ClientListener;
import heathswitch.proxy.runtime.Log;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

/**
 * A balancer that operators empty while it runs, and take into use again. The front hears of it at
 * {@code /up} and brings no more connections a moment later; the open ones go with their next
 * answer, and in the end without one. On the loop alone.
 */
public final class OperatorDrain {
  /** By then the front has asked several times and sends new connections elsewhere. */
  static final long CLOSE_DELAY_MILLIS = 500;

  /**
   * Most clients have had an answer by then, which told them. Those that have not lose their
   * connection between requests. Must leave room for what is then being read: 4 s after the call no
   * connection may be held that is idle or whose request is younger than 2 s.
   */
  static final long CLOSE_IDLE_DELAY_MILLIS = 1500;

  private static final long CLOSE_IDLE_PERIOD_MILLIS = 50;

  private final EventLoop loop;
  private final ClientListener server;
  private boolean draining;
  private Future<?> nextStep;

  OperatorDrain(EventLoop loop, ClientListener server) {
    this.loop = loop;
    this.server = server;
  }

  /** Whether the balancer is empty or on its way to be. */
  public boolean isDraining() {
    return draining;
  }

  /** No new clients; those that are here leave with their next answer. Twice is once. */
  public void begin() {
    if (!draining) {
      draining = true;
      Log.info("emptying", "begun with " + server.clientCount() + " connections");
      server.startDraining();
      nextStep = loop.schedule(this::stopAccepting, CLOSE_DELAY_MILLIS, MILLISECONDS);
    }
  }

  private void stopAccepting() {
    server.disableKeepAlive();
    nextStep =
        loop.schedule(this::closeIdle, CLOSE_IDLE_DELAY_MILLIS - CLOSE_DELAY_MILLIS, MILLISECONDS);
  }

  /** Again and again: a stray connection that comes later must not stay either. */
  private void closeIdle() {
    server.closeIdle();
    nextStep = loop.schedule(this::closeIdle, CLOSE_IDLE_PERIOD_MILLIS, MILLISECONDS);
  }

  /** Takes clients again, from now on. */
  public void end() {
    if (draining) {
      draining = false;
      nextStep.cancel(false);
      server.endDraining();
      Log.info("emptying", "ended");
    }
  }
}
