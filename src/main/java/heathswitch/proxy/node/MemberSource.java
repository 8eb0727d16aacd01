package heathswitch.proxy.node;

import heathswitch.proxy.dispatch.Dispatcher;
import io.netty.channel.EventLoop;

/** Where the list of upstreams comes from. All calls come on the loop. */
public interface MemberSource {
  /** Makes a source for a node that is being put together. */
  interface Factory {
    MemberSource create(EventLoop loop);
  }

  /** Starts the dispatcher with the list as it is known now, and from then on tells it of news. */
  void start(Dispatcher dispatcher);

  /**
   * Returns when the list is good enough to serve by, after a bounded time in any case. Called
   * after the start, not on the loop.
   */
  default void awaitList() throws InterruptedException {}

  /** How the list stands and what was done to get it, for the log; on the loop. */
  default String figures() {
    return "";
  }

  /** No news from now on. */
  void stop();
}
