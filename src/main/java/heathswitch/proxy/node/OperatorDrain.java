package heathswitch.proxy.node;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.proxy.http1.ClientListener;
import heathswitch.proxy.runtime.Log;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

/**
 * Drains a running balancer on an operator's request, and puts it back into service. The load
 * balancer in front notices at {@code /up} and stops sending new connections a moment later; open
 * connections are closed with their next answer, and finally when they are idle. Used on the event
 * loop only.
 */
public final class OperatorDrain {
  /** By then the load balancer in front has polled several times and connects elsewhere. */
  static final long CLOSE_DELAY_MILLIS = 500;

  /**
   * By then most clients have had an answer that told them to disconnect. The others are
   * disconnected between requests. Must leave time for requests that are being read: 4 s after the
   * drain call there may be no connection that is idle or whose request is younger than 2 s.
   */
  static final long CLOSE_IDLE_DELAY_MILLIS = 1500;

  private static final long CLOSE_IDLE_PERIOD_MILLIS = 50;

  private final EventLoop loop;
  private final ClientListener clientListener;
  private boolean draining;
  private Future<?> nextStep;

  OperatorDrain(EventLoop loop, ClientListener clientListener) {
    this.loop = loop;
    this.clientListener = clientListener;
  }

  /** Whether the balancer is draining or drained. */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Starts the drain: no new clients, and current ones leave with their next answer. Idempotent.
   */
  public void begin() {
    if (!draining) {
      draining = true;
      Log.info("emptying", "started with " + clientListener.clientCount() + " connections");
      clientListener.startDraining();
      nextStep = loop.schedule(this::disableKeepAlive, CLOSE_DELAY_MILLIS, MILLISECONDS);
    }
  }

  private void disableKeepAlive() {
    clientListener.disableKeepAlive();
    nextStep =
        loop.schedule(this::closeIdle, CLOSE_IDLE_DELAY_MILLIS - CLOSE_DELAY_MILLIS, MILLISECONDS);
  }

  /** Repeated, since a connection that arrives late must not stay open either. */
  private void closeIdle() {
    clientListener.closeIdle();
    nextStep = loop.schedule(this::closeIdle, CLOSE_IDLE_PERIOD_MILLIS, MILLISECONDS);
  }

  /** Ends the drain: clients are accepted again. */
  public void end() {
    if (draining) {
      draining = false;
      nextStep.cancel(false);
      clientListener.endDraining();
      Log.info("emptying", "ended");
    }
  }
}
