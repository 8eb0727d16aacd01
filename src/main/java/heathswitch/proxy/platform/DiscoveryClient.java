package heathswitch.proxy.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Settings;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import heathswitch.proxy.node.MemberSource;
import heathswitch.proxy.runtime.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * Gets the list of upstreams and its changes from discovery. Calls are made when the policy module
 * asks for them. Where lists are pushed the module never asks, so this client keeps a watch open by
 * itself.
 */
final class DiscoveryClient implements MemberSource, Dispatcher.Discovery, DiscoveryCall.Listener {
  /**
   * A process that replaces another has to serve within 6 s; this wait leaves most of that unused.
   */
  private static final long FIRST_LIST_WAIT_MILLIS = 2500;

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  private final EventLoop loop;
  private InetSocketAddress address;
  private DiscoveryTimeouts timeouts;

  /** Whether this client reopens its watch without being asked, because lists are pushed. */
  private final boolean keepsWatch;

  private final Map<String, Object> knownList;
  private final Bootstrap bootstrap;
  private Dispatcher dispatcher;
  private long revision = -1;

  /** The watch that has received its first line; used until a newer watch receives one. */
  private DiscoveryCall watch;

  /** The watch that has not received a line yet; at most one exists at a time. */
  private DiscoveryCall pendingWatch;

  private DiscoveryCall fetch;
  private boolean stopped;

  /** Released by the first list; a process that replaces another waits for it. */
  private final CountDownLatch firstList = new CountDownLatch(1);

  private boolean queryAtStartup;
  private final DiscoveryCallLog callLog = new DiscoveryCallLog();

  /**
   * Creates a client of the discovery at {@code address}.
   *
   * @param timeouts when calls time out, and whether lists are pushed
   * @param knownList the last list that this balancer had, in discovery's JSON form
   */
  public DiscoveryClient(
      EventLoop loop,
      InetSocketAddress address,
      DiscoveryTimeouts timeouts,
      Map<String, Object> knownList) {
    this.loop = loop;
    this.address = address;
    this.timeouts = timeouts;
    this.keepsWatch = timeouts.pushed();
    this.knownList = knownList;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  /**
   * Opens a watch at startup instead of waiting until the module asks, and delays serving until the
   * answer is received. Meant for a process that replaces another: the old process may have
   * received newer lists than the one that the new process was started with. When all balancers
   * start at once this would be a thundering herd on discovery.
   */
  void queryAtStartup() {
    queryAtStartup = true;
  }

  @Override
  public void awaitList() throws InterruptedException {
    if (queryAtStartup && !firstList.await(FIRST_LIST_WAIT_MILLIS, MILLISECONDS)) {
      Log.warn("discovery", "no news yet; serving by the known list");
    }
  }

  /** Starts the dispatcher with the last list that this balancer had. */
  @Override
  public void start(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
    List<Member> entries = List.of();
    try {
      DiscoveryList list = DiscoveryList.parse(knownList);
      entries = list.entries();
      revision = list.revision();
    } catch (IllegalArgumentException e) {
      Log.warn("known list", "ignored: " + e.getMessage());
    }
    dispatcher.start(this, entries);
    dispatcher.limitListAge(MILLISECONDS.toNanos(DiscoveryTimeouts.PROPAGATION_MILLIS));
    if (keepsWatch || queryAtStartup) {
      watch(true);
    }
  }

  @Override
  public void stop() {
    stopped = true;
    cancel(watch, "the balancer is stopping");
    cancel(fetch, "the balancer is stopping");
    cancel(pendingWatch, "the balancer is stopping");
  }

  @Override
  public String figures() {
    return callLog.figures(System.nanoTime());
  }

  /** Applies new settings, except whether lists are pushed, which is fixed at startup. */
  void reload(Settings settings) {
    timeouts =
        new DiscoveryTimeouts(timeouts.pushed(), DiscoveryTimeouts.of(settings).graceMillis());
  }

  /**
   * Uses the discovery at another address. The old watch stays in use until the new one has
   * received its first line, so that no change is lost in between. Revisions of one discovery are
   * not comparable with those of another, so the new one is asked for the whole list: asked for
   * changes since a revision that it has not reached yet, it would send nothing.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (stopped || newAddress.equals(address)) {
      return;
    }
    Log.info("discovery", "address changed from " + address + " to " + newAddress);
    address = newAddress;
    revision = -1;
    cancel(pendingWatch, "the address has changed");
    pendingWatch = null;
    dispatcher.onDiscoveryMoved();
    if (keepsWatch) {
      watch(true);
    }
  }

  @Override
  public DiscoveryTimeouts timeouts() {
    return timeouts;
  }

  @Override
  public long revision() {
    return revision;
  }

  @Override
  public void onFirstLine(DiscoveryCall call) {
    if (call == pendingWatch) {
      pendingWatch = null;
      cancel(watch, "replaced by a newer watch");
      watch = call;
    }
  }

  @Override
  public void watch(boolean enable) {
    if (!enable) {
      cancel(watch, "no longer wanted");
      watch = null;
      cancel(pendingWatch, "no longer wanted");
      pendingWatch = null;
      return;
    }
    if (pendingWatch != null && pendingWatch.isTo(address)) {
      return; // A second call would lose the pending one's place in discovery's queue.
    }
    if (watch != null && watch.isTo(address)) {
      // The open watch goes on. It has received nothing just now that would confirm the list.
      dispatcher.onListUpdate(ListUpdate.DELTA, List.of());
      return;
    }
    String cause = keepsWatch ? "kept up" : "asked";
    pendingWatch = DiscoveryCall.watch(address, cause, loop, callLog, this);
    pendingWatch.start(bootstrap);
  }

  @Override
  public void fetch() {
    cancel(fetch, "replaced by another fetch");
    fetch = DiscoveryCall.fetch(address, "asked", loop, callLog, this);
    fetch.start(bootstrap);
  }

  private static void cancel(DiscoveryCall call, String reason) {
    if (call != null) {
      call.cancel(reason);
    }
  }

  @Override
  public void onEnd(DiscoveryCall call, String reason, ListUpdate outcome) {
    if (stopped || (call != watch && call != pendingWatch && call != fetch)) {
      return;
    }
    boolean watchTimedOut = call == watch && outcome == ListUpdate.SILENT;
    if (call == fetch) {
      fetch = null;
    } else if (call == watch) {
      watch = null;
      Log.warn("discovery", "watch broken: " + reason);
      if (pendingWatch != null && !keepsWatch) {
        return; // The end of the pending watch is reported instead.
      }
    } else {
      pendingWatch = null;
    }
    if (call.isWatch() && keepsWatch) {
      loop.schedule(() -> reopenWatch(), timeouts.reopenDelayMillis(), MILLISECONDS);
      if (watchTimedOut) {
        return; // The list ages from its last line; the next call shows why the watch was silent.
      }
    }
    dispatcher.onDiscoveryFailed(outcome);
  }

  private void reopenWatch() {
    if (!stopped) {
      boolean open = watch != null && watch.isTo(address);
      if (!open) {
        watch(true);
      }
    }
  }

  @Override
  public void onList(DiscoveryCall call, DiscoveryList list) {
    if (call == fetch) {
      fetch = null;
    }
    if (call.isTo(address)) {
      revision = list.revision();
    }
    dispatcher.onListUpdate(updateType(call, list), list.entries());
    onConfirmed(call);
    firstList.countDown();
  }

  /** Changes from an address that is no longer in use answer no call of the module. */
  private ListUpdate updateType(DiscoveryCall call, DiscoveryList list) {
    if (list.whole()) {
      return ListUpdate.FULL;
    }
    return call.isTo(address) ? ListUpdate.DELTA : ListUpdate.UNSOLICITED_DELTA;
  }

  /** A line from an address that is no longer in use does not confirm the list. */
  @Override
  public void onConfirmed(DiscoveryCall call) {
    if (call.isTo(address)) {
      dispatcher.onListConfirmed();
    }
  }
}
