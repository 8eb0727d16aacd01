package heathswitch.proxy.node;

import heathswitch.proxy.dispatch.Dispatcher;
import io.netty.channel.EventLoop;

/** The source of the list of upstreams. All calls are made on the event loop. */
public interface MemberSource {
  /** Creates the source while its node is being assembled. */
  interface Factory {
    MemberSource create(EventLoop loop);
  }

  /** Starts the dispatcher with the currently known list, and passes it updates from then on. */
  void start(Dispatcher dispatcher);

  /**
   * Returns once the list is good enough to serve requests, or after a bounded time. Unlike the
   * other methods, called off the event loop, after the start.
   */
  default void awaitList() throws InterruptedException {}

  /** The state of the list and of the calls that fetch it, for the log. */
  default String figures() {
    return "";
  }

  /** Stops the updates. */
  void stop();
}
