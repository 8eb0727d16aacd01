package heathswitch.proxy.node;

import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.http1.UpstreamConnectionPool;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;

/** A listener in another protocol, on the same loop and before the same dispatcher. */
public interface ProtocolListener {
  /**
   * What a front shares with the rest of its node.
   *
   * @param pool the connections to upstreams over HTTP/1.1
   * @param evict frees a descriptor of an idle connection; false if there is none
   */
  record Context(
      EventLoop loop,
      Clock clock,
      ResourceBudget budget,
      Dispatcher dispatcher,
      UpstreamConnectionPool pool,
      BooleanSupplier evict) {}

  /** Makes a front for a node that is being put together. */
  interface Factory {
    ProtocolListener create(Context context);
  }

  /** Returns once clients can connect. Must not be called on the loop. */
  void start() throws InterruptedException;

  /** Not ready for new clients any more; those that are here are served. */
  void drain();

  void stopListening();

  /** Whether clients may still connect: a listener takes a moment to end. */
  boolean isListening();

  /** Connections that are still there. */
  int clients();

  /** Closes those that have nothing to wait for. */
  void closeIdle();
}
