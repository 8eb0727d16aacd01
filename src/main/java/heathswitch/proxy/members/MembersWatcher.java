package heathswitch.proxy.members;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.members.ListDecision;
import heathswitch.policy.members.ServerStateTracker;
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
 * Provides the server list of a node from watched files. A separate thread polls the files and
 * passes updates to the event loop, which applies them in slices, so that a list of ten thousand
 * servers does not delay requests.
 */
public final class MembersWatcher implements MemberSource, Dispatcher.Discovery, AutoCloseable {
  /** There is no list of servers that can be used at startup; the message states the reasons. */
  public static final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    StartException(String message) {
      super(message);
    }
  }

  /** Maximum number of servers updated in one task on the event loop. */
  static final int SLICE_SIZE = 512;

  private final Clock clock = new Clock();
  private final MembersReloader reloader;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "members");
            thread.setDaemon(true);
            return thread;
          });
  private List<Member> initialMembers;
  private long pollMillis;

  /** Zero once the event loop has applied all updates passed to it. */
  private volatile CountDownLatch applied = new CountDownLatch(0);

  private volatile MembersStatus status;

  /** The change count of the reloader for which the status was last created. */
  private long statusChangeCount;

  // Used only on the event loop.
  private final ArrayDeque<Member> queue = new ArrayDeque<>();
  private EventLoop loop;
  private Dispatcher dispatcher;
  private boolean applying;
  private boolean stopped;

  private MembersWatcher(MembersReloader reloader, long pollMillis) {
    this.reloader = reloader;
    this.pollMillis = pollMillis;
  }

  /** Reads and validates the files; {@link #bindTo} must be called next. */
  public static MembersWatcher open(MembersConfig config) throws StartException {
    MembersWatcher watcher = new MembersWatcher(new MembersReloader(config), config.pollMillis());
    try {
      watcher.initialMembers = members(watcher.reloader.start(watcher.nowMillis()));
    } catch (MembersReloader.NoUsableListException e) {
      watcher.close();
      throw new StartException(e.getMessage());
    }
    watcher.status = watcher.reloader.status(true);
    return watcher;
  }

  private long nowMillis() {
    return clock.nowNanos() / 1_000_000;
  }

  private static List<Member> members(List<ServerStateTracker.Update> updates) {
    List<Member> members = new ArrayList<>(updates.size());
    for (ServerStateTracker.Update update : updates) {
      Health health =
          switch (update.state()) {
            case READY -> Health.READY;
            case DRAINING -> Health.DRAINING;
            case GONE -> Health.GONE;
          };
      InetSocketAddress endpoint =
          health == Health.GONE ? null : Addresses.parse(update.server().endpoint());
      boolean grpcOnly = update.server().grpcOnly();
      int grpcPort = update.server().grpcPort();
      InetSocketAddress grpcEndpoint =
          endpoint == null || grpcPort == 0
              ? null
              : new InetSocketAddress(endpoint.getAddress(), grpcPort);
      members.add(
          new Member(
              update.server().id(),
              grpcOnly ? null : endpoint,
              grpcOnly ? endpoint : grpcEndpoint,
              health,
              update.server().zone(),
              update.server().kind(),
              update.server().cell(),
              update.server().weight(),
              update.startedMillis()));
    }
    return members;
  }

  /** Binds the watcher to the event loop of the node that uses it as its source. */
  public MemberSource bindTo(EventLoop loop) {
    this.loop = loop;
    return this;
  }

  /** The current status; may be called on any thread. */
  public MembersStatus status() {
    return applied.getCount() == 0 ? status : status.unapplied();
  }

  // ---- on the event loop ----

  @Override
  public void start(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
    dispatcher.start(this, initialMembers);
    initialMembers = null;
    schedulePoll();
  }

  @Override
  public void stop() {
    stopped = true;
    queue.clear();
    applied.countDown();
    close();
  }

  /** Does nothing, since the files are polled all the time. */
  @Override
  public void watch(boolean enable) {}

  /** Does nothing, since the files are polled all the time. */
  @Override
  public void fetch() {}

  private void enqueue(List<Member> members) {
    if (!stopped) {
      queue.addAll(members);
      if (!applying) {
        applying = true;
        applySlice();
      }
    }
  }

  /** Applies one slice; requests are served before the next. */
  private void applySlice() {
    if (queue.isEmpty()) {
      applying = false;
      applied.countDown();
      return;
    }
    List<Member> slice = new ArrayList<>(Math.min(SLICE_SIZE, queue.size()));
    while (slice.size() < SLICE_SIZE && !queue.isEmpty()) {
      slice.add(queue.poll());
    }
    try {
      dispatcher.onListUpdate(ListUpdate.DELTA, slice);
    } catch (RuntimeException e) {
      Log.error("members", "a slice of server updates could not be applied", e);
    }
    if (queue.isEmpty()) {
      applySlice();
    } else {
      loop.schedule(this::applySlice, 1, MILLISECONDS);
    }
  }

  // ---- on the polling thread ----

  private void schedulePoll() {
    if (!executor.isShutdown()) {
      try {
        executor.schedule(this::poll, pollMillis, MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // Shut down since the check.
      }
    }
  }

  private void poll() {
    try {
      apply(reloader.poll(nowMillis()));
    } catch (RuntimeException e) {
      Log.error("members", "polling the files failed", e); // The next poll may succeed.
    } finally {
      schedulePoll();
    }
  }

  /**
   * Passes updates to the event loop and waits until it has applied them. The files are polled
   * again only after that, so that the queue never holds more than the updates of one list.
   */
  private void apply(List<ServerStateTracker.Update> updates) {
    if (!updates.isEmpty()) {
      List<Member> members = members(updates);
      applied = new CountDownLatch(1);
      updateStatus();
      loop.execute(() -> enqueue(members));
      try {
        applied.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt(); // The watcher was closed.
        return;
      }
    }
    reloader.saveIfNeeded(nowMillis());
    updateStatus();
  }

  /**
   * Updates the status only after a change, since counting ten thousand servers at each poll would
   * be wasteful.
   */
  private void updateStatus() {
    if (statusChangeCount != reloader.changeCount()) {
      statusChangeCount = reloader.changeCount();
      status = reloader.status(true);
    }
  }

  // ---- on any thread ----

  /**
   * Accepts the list that is held back, if it has the given version.
   *
   * @param callback called with the decision on the polling thread
   */
  public void confirm(long version, Consumer<ListDecision> callback) {
    executor.execute(
        () -> {
          List<ServerStateTracker.Update> updates = new ArrayList<>();
          ListDecision decision = reloader.confirm(nowMillis(), version, updates);
          apply(updates);
          callback.accept(decision);
        });
  }

  /** Applies a new configuration, except for the state folder, which stays the same. */
  public Future<?> reconfigure(MembersConfig next) {
    return executor.submit(
        () -> {
          reloader.reconfigure(next);
          pollMillis = next.pollMillis();
        });
  }

  @Override
  public void close() {
    executor.shutdownNow();
    try {
      reloader.close();
    } catch (IOException e) {
      Log.warn("members", "state folder: " + e.getMessage());
    }
  }
}
