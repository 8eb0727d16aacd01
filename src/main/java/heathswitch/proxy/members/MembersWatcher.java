package heathswitch.proxy.members;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.members.Departures;
import heathswitch.policy.members.Verdict;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import heathswitch.proxy.node.MemberSource;
import heathswitch.proxy.runtime.Addresses;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

/**
 * The members of a node from watched files: one thread looks at them, and hands what is to be told
 * to the event loop in slices, so that a list of ten thousand servers holds up no request.
 */
public final class MembersWatcher implements MemberSource, Dispatcher.Discovery, AutoCloseable {
  /** A start that finds no list that it could serve with; the message says why. */
  public static final class CannotStart extends Exception {
    private static final long serialVersionUID = 1L;

    CannotStart(String message) {
      super(message);
    }
  }

  /** Servers told in one turn of the loop. */
  static final int SLICE = 512;

  private final Clock clock = new Clock();
  private final MembersKeeper keeper;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread made = new Thread(task, "members");
            made.setDaemon(true);
            return made;
          });
  private List<Member> first;
  private long pollMillis;

  /** Opens when the loop has been told all that it was handed. */
  private volatile CountDownLatch told = new CountDownLatch(0);

  private volatile MembersStatus status;
  private long stated;

  // On the loop only.
  private final ArrayDeque<Member> queue = new ArrayDeque<>();
  private EventLoop loop;
  private Dispatcher dispatcher;
  private boolean telling;
  private boolean stopped;

  private MembersWatcher(MembersKeeper keeper, long pollMillis) {
    this.keeper = keeper;
    this.pollMillis = pollMillis;
  }

  /** Reads and judges what is there now; {@link #on} must follow. */
  public static MembersWatcher open(MembersTable table) throws CannotStart {
    MembersWatcher watcher = new MembersWatcher(new MembersKeeper(table), table.pollMillis());
    try {
      watcher.first = members(watcher.keeper.start(watcher.nowMillis()));
    } catch (MembersKeeper.NoList e) {
      watcher.close();
      throw new CannotStart(e.getMessage());
    }
    watcher.status = watcher.keeper.status(true);
    return watcher;
  }

  private long nowMillis() {
    return clock.nowNanos() / 1_000_000;
  }

  private static List<Member> members(List<Departures.News> news) {
    List<Member> members = new ArrayList<>(news.size());
    for (Departures.News each : news) {
      Health health =
          switch (each.state()) {
            case READY -> Health.READY;
            case DRAINING -> Health.DRAINING;
            case GONE -> Health.GONE;
          };
      InetSocketAddress at =
          health == Health.GONE ? null : Addresses.parse(each.server().endpoint());
      boolean alone = each.server().grpcAlone();
      int port = each.server().grpcPort();
      InetSocketAddress beside =
          at == null || port == 0 ? null : new InetSocketAddress(at.getAddress(), port);
      members.add(
          new Member(
              each.server().id(),
              alone ? null : at,
              alone ? at : beside,
              health,
              each.server().zone(),
              each.server().kind(),
              each.server().cell(),
              each.server().weight(),
              each.startedMillis()));
    }
    return members;
  }

  /** Ties the watcher to the loop of a node; to be used as its source. */
  public MemberSource on(EventLoop loop) {
    this.loop = loop;
    return this;
  }

  /** What can be said now; from any thread. */
  public MembersStatus status() {
    return told.getCount() == 0 ? status : status.unapplied();
  }

  // ---- on the loop ----

  @Override
  public void start(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
    dispatcher.start(this, first);
    first = null;
    schedule();
  }

  @Override
  public void stop() {
    stopped = true;
    queue.clear();
    told.countDown();
    close();
  }

  /** Nobody is asked: the files are watched all the time. */
  @Override
  public void watch(boolean enable) {}

  @Override
  public void fetch() {}

  private void take(List<Member> members) {
    if (!stopped) {
      queue.addAll(members);
      if (!telling) {
        telling = true;
        tell();
      }
    }
  }

  /** One slice; requests are served before the next. */
  private void tell() {
    if (queue.isEmpty()) {
      telling = false;
      told.countDown();
      return;
    }
    List<Member> slice = new ArrayList<>(Math.min(SLICE, queue.size()));
    while (slice.size() < SLICE && !queue.isEmpty()) {
      slice.add(queue.poll());
    }
    try {
      dispatcher.onListUpdate(ListUpdate.DELTA, slice);
    } catch (RuntimeException e) {
      Log.error("members", "a slice could not be told", e);
    }
    if (queue.isEmpty()) {
      tell();
    } else {
      loop.schedule(this::tell, 1, MILLISECONDS);
    }
  }

  // ---- on the watcher's thread ----

  private void schedule() {
    if (!thread.isShutdown()) {
      try {
        thread.schedule(this::look, pollMillis, MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // It was shut down meanwhile.
      }
    }
  }

  private void look() {
    try {
      pass(keeper.look(nowMillis()));
    } catch (RuntimeException e) {
      Log.error("members", "look failed", e); // The next one may do better.
    } finally {
      schedule();
    }
  }

  /**
   * Hands news to the loop, unless it is still busy with earlier news: the files are looked at
   * again only when it has taken all, so what waits for it is never more than one list.
   */
  private void pass(List<Departures.News> news) {
    if (!news.isEmpty()) {
      List<Member> members = members(news);
      told = new CountDownLatch(1);
      state();
      loop.execute(() -> take(members));
      try {
        told.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt(); // Closed.
        return;
      }
    }
    keeper.keep(nowMillis());
    state();
  }

  /** A list of ten thousand is not counted anew at each look. */
  private void state() {
    if (stated != keeper.changes()) {
      stated = keeper.changes();
      status = keeper.status(true);
    }
  }

  // ---- from any thread ----

  /** Takes the list that is held back under this version; the verdict comes on the own thread. */
  public void confirm(long version, Consumer<Verdict> done) {
    thread.execute(
        () -> {
          List<Departures.News> news = new ArrayList<>();
          Verdict verdict = keeper.confirm(nowMillis(), version, news);
          pass(news);
          done.accept(verdict);
        });
  }

  /** Watches other files or follows other rules from now on. */
  public Future<?> reconfigure(MembersTable next) {
    return thread.submit(
        () -> {
          keeper.reconfigure(next);
          pollMillis = next.pollMillis();
        });
  }

  @Override
  public void close() {
    thread.shutdownNow();
    try {
      keeper.close();
    } catch (IOException e) {
      Log.warn("members", "state folder: " + e.getMessage());
    }
  }
}
