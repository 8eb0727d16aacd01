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
 * Asks discovery for the list and for its changes, when the module wants it. Where lists are pushed
 * nobody asks, so the watch is kept up here.
 */
final class DiscoveryClient implements MemberSource, Dispatcher.Discovery, DiscoveryCall.Listener {
  /** A process that follows another is to serve within 6 s; most of them are kept in hand. */
  private static final long FIRST_NEWS_MILLIS = 2500;

  private static final int CONNECT_MILLIS = 1000;

  private final EventLoop loop;
  private InetSocketAddress address;
  private DiscoveryTimeouts clock;
  private final boolean keepWatch;
  private final Map<String, Object> known;
  private final Bootstrap bootstrap;
  private Dispatcher dispatcher;
  private long revision = -1;

  /** The watch that has spoken; it is heard until a newer one has. */
  private DiscoveryCall watch;

  /** The call for a watch that has not spoken yet: one at a time. */
  private DiscoveryCall pending;

  private DiscoveryCall fetch;
  private boolean stopped;

  /** Opened with the first news, for a process that follows another. */
  private final CountDownLatch firstNews = new CountDownLatch(1);

  private boolean atOnce;
  private final DiscoveryCallLog calls = new DiscoveryCallLog();

  /**
   * Asks at an address.
   *
   * @param clock when a call is given up; of pushed lists it keeps the watch up by itself
   * @param known the list as this balancer last had it, in discovery's form
   */
  public DiscoveryClient(
      EventLoop loop,
      InetSocketAddress address,
      DiscoveryTimeouts clock,
      Map<String, Object> known) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.keepWatch = clock.pushed();
    this.known = known;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
  }

  /**
   * Asks at the start and not when the module's turn comes, and has clients wait for the answer.
   * Guards against a process that takes over from another, which was told more than the list that
   * it is given at its start. Where all balancers start at once it would be a herd.
   */
  void askAtOnce() {
    atOnce = true;
  }

  @Override
  public void awaitList() throws InterruptedException {
    if (atOnce && !firstNews.await(FIRST_NEWS_MILLIS, MILLISECONDS)) {
      Log.warn("discovery", "no news yet; serving by the known list");
    }
  }

  /** Starts from the list that this balancer last had. */
  @Override
  public void start(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
    List<Member> entries = List.of();
    try {
      DiscoveryList list = DiscoveryList.parse(known);
      entries = list.entries();
      revision = list.revision();
    } catch (IllegalArgumentException e) {
      Log.warn("known list", "left out: " + e.getMessage());
    }
    dispatcher.start(this, entries);
    dispatcher.limitListAge(MILLISECONDS.toNanos(DiscoveryTimeouts.TOLD_MILLIS));
    if (keepWatch || atOnce) {
      watch(true);
    }
  }

  @Override
  public void stop() {
    stopped = true;
    close(watch, "the balancer ends");
    close(fetch, "the balancer ends");
    close(pending, "the balancer ends");
  }

  @Override
  public String figures() {
    return calls.figures(System.nanoTime());
  }

  /** Other settings; whether lists are pushed or asked for stays as it was at the start. */
  void reload(Settings settings) {
    clock = new DiscoveryTimeouts(clock.pushed(), DiscoveryTimeouts.of(settings).graceMillis());
  }

  /**
   * From now on asks at another address. The old watch is heard until the new one has spoken, so
   * that no news falls between the two. The versions of one discovery need not be those of another:
   * the new one is asked for the whole list, as a version that it has not reached yet would have it
   * stay silent.
   */
  public void moveTo(InetSocketAddress to) {
    if (stopped || to.equals(address)) {
      return;
    }
    Log.info("discovery", "asked at " + to + " from now on, before it at " + address);
    address = to;
    revision = -1;
    close(pending, "another address");
    pending = null;
    dispatcher.onDiscoveryMoved();
    if (keepWatch) {
      watch(true);
    }
  }

  @Override
  public DiscoveryTimeouts clock() {
    return clock;
  }

  @Override
  public long revision() {
    return revision;
  }

  @Override
  public void spoke(DiscoveryCall call) {
    if (call == pending) {
      pending = null;
      close(watch, "a newer one has spoken");
      watch = call;
    }
  }

  @Override
  public void watch(boolean enable) {
    if (!enable) {
      close(watch, "not wanted");
      watch = null;
      close(pending, "not wanted");
      pending = null;
      return;
    }
    if (pending != null && pending.uses(address)) {
      return; // It keeps its turn.
    }
    if (watch != null && watch.uses(address)) {
      // It goes on telling, and has said nothing just now that would confirm the list.
      dispatcher.onServers(ListUpdate.DELTA, List.of());
      return;
    }
    String cause = keepWatch ? "kept up" : "asked";
    pending = DiscoveryCall.watch(address, cause, loop, calls, this);
    pending.open(bootstrap);
  }

  @Override
  public void fetch() {
    close(fetch, "another call is made");
    fetch = DiscoveryCall.fetch(address, "asked", loop, calls, this);
    fetch.open(bootstrap);
  }

  private static void close(DiscoveryCall call, String why) {
    if (call != null) {
      call.giveUp(why);
    }
  }

  @Override
  public void ended(DiscoveryCall call, String why, ListUpdate how) {
    if (stopped || (call != watch && call != pending && call != fetch)) {
      return;
    }
    boolean fellSilent = call == watch && how == ListUpdate.SILENT;
    if (call == fetch) {
      fetch = null;
    } else if (call == watch) {
      watch = null;
      Log.warn("discovery", "watch broken: " + why);
      if (pending != null && !keepWatch) {
        return; // Its end is told instead.
      }
    } else {
      pending = null;
    }
    if (call.isWatch() && keepWatch) {
      loop.schedule(() -> watchAgain(), clock.againMillis(), MILLISECONDS);
      if (fellSilent) {
        return; // The list ages from its last line; the next call shows what it was.
      }
    }
    dispatcher.onDiscoveryFailed(how);
  }

  private void watchAgain() {
    if (!stopped) {
      boolean spoken = watch != null && watch.uses(address);
      if (!spoken) {
        watch(true);
      }
    }
  }

  @Override
  public void news(DiscoveryCall call, DiscoveryList list) {
    if (call == fetch) {
      fetch = null;
    }
    if (call.uses(address)) {
      revision = list.revision();
    }
    dispatcher.onServers(form(call, list), list.entries());
    confirmed(call);
    firstNews.countDown();
  }

  /** Changes that an address tells which is no longer asked answer no call. */
  private ListUpdate form(DiscoveryCall call, DiscoveryList list) {
    if (list.whole()) {
      return ListUpdate.FULL;
    }
    return call.uses(address) ? ListUpdate.DELTA : ListUpdate.UNSOLICITED_DELTA;
  }

  /** What an address that is no longer asked says does not confirm the list. */
  @Override
  public void confirmed(DiscoveryCall call) {
    if (call.uses(address)) {
      dispatcher.onListConfirmed();
    }
  }
}
