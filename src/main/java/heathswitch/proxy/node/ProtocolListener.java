package heathswitch.proxy.node;

import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.http1.UpstreamConnectionPool;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;

/** A listener for another protocol that runs on the node's event loop and uses its dispatcher. */
public interface ProtocolListener {
  /**
   * The parts of the node that a listener shares.
   *
   * @param pool the connections to upstreams over HTTP/1.1
   * @param evictIdle closes an idle connection to free its descriptor; false if there is none
   */
  record Context(
      EventLoop loop,
      Clock clock,
      ResourceBudget budget,
      Dispatcher dispatcher,
      UpstreamConnectionPool pool,
      BooleanSupplier evictIdle) {}

  /** Creates the listener while its node is being assembled. */
  interface Factory {
    ProtocolListener create(Context context);
  }

  /** Returns once clients can connect. Must not be called on the loop. */
  void start() throws InterruptedException;

  /** Reports the node as not ready for new clients; current clients are still served. */
  void startDraining();

  void stopListening();

  /** Whether clients can still connect; closing the listener takes a moment. */
  boolean isListening();

  /** The number of open connections. */
  int clientCount();

  /** Closes the connections that are not waiting for an answer. */
  void closeIdle();
}
