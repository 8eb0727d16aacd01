package heathswitch.proxy.maintenance;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;

import heathswitch.policy.maintenance.CapacityReport;
import heathswitch.policy.maintenance.Command;
import heathswitch.policy.maintenance.CommandResult;
import heathswitch.policy.maintenance.FormatSupport;
import heathswitch.policy.maintenance.InstanceSession;
import heathswitch.policy.maintenance.Machine;
import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.proxy.admin.AdminServer;
import heathswitch.proxy.consensus.ReplicatedLog;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Takes part in the maintenance orders of the fleet: submits the commands of its {@link
 * InstanceSession} to the log, applies the orders to the server list, and lets the first byte of an
 * attempt be written only within the lease.
 */
public final class MaintenanceService implements AutoCloseable, InstanceSession.LocalView {
  /** The log cannot be opened; the message says why. */
  public static final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    StartException(String message) {
      super(message);
    }
  }

  /** Interval of steps, and so the delay until the end of the last call to a machine is noticed. */
  private static final long STEP_MILLIS = 5;

  /**
   * How long the drain takes to send clients away: it closes idle connections 1.5 s after its begin
   * and, from then on, any that become idle or are opened.
   */
  private static final long DRAIN_MILLIS = 2000;

  /** Interval between attempts to transfer leadership. */
  private static final long TRANSFER_INTERVAL_MILLIS = 2000;

  /** Interval at which a warning is repeated while its cause lasts. */
  private static final long LOG_INTERVAL_MILLIS = 2000;

  private static final long WATCH_INTERVAL_MILLIS = 100;
  private static final long LEAVE_TIMEOUT_MILLIS = 1500;

  /** How long a reply to an operator waits until the entry has been applied here, too. */
  private static final long APPLIED_TIMEOUT_MILLIS = 1000;

  /**
   * The latest format version that this program reads. A system property lowers it to test how an
   * earlier release behaves among later ones.
   */
  private static final int LATEST_FORMAT =
      Math.min(
          FormatSupport.LATEST, Integer.getInteger("heathswitch.work.knows", FormatSupport.LATEST));

  /** Maximum number of queued queries from operators; further ones are rejected. */
  private static final int MAX_QUERIES = 64;

  private final Node node;
  private final MaintenanceConfig config;
  private final MaintenanceReplica replica;
  private final ReplicatedLog replicatedLog;
  private final InstanceSession session;
  private final MaintenanceOverlay overlay = new MaintenanceOverlay();
  private final OrderProgressLogger progress = new OrderProgressLogger();
  private final SecureRandom random = new SecureRandom();
  private final ThreadPoolExecutor queries;

  /** Whether the lease has ended and the requests in progress have failed. */
  private boolean leaseEnded;

  /** Whether clients are being sent away. */
  private boolean draining;

  /** Since when clients are being sent away, and when a transfer of leadership was last tried. */
  private long drainingNanos;

  private long transferNanos;

  private long watchedNanos = System.nanoTime();

  /** When it was last logged that this instance's log is stalled. */
  private long stallLoggedNanos;

  /** Whether this instance has joined at least once. */
  private boolean everJoined;

  /** Installs the overlay and the gate in the node, which must not have been started. */
  public MaintenanceService(Node node, MaintenanceConfig config) throws StartException {
    this.node = node;
    this.config = config;
    String obstacle = VoterFolder.startObstacle(config);
    if (obstacle != null) {
      throw new StartException(obstacle);
    }
    replica = new MaintenanceReplica(config.instance(), LATEST_FORMAT, this::onChange);
    session =
        new InstanceSession(
            config.instance(),
            config.stopsWhenCutOff(),
            config.stopMarginMillis(),
            config.rules(),
            new FormatSupport(LATEST_FORMAT, config.peers().size()));
    try {
      replicatedLog =
          new ReplicatedLog(
              config.instance(), config.listen(), config.peers(), config.folder(), replica);
    } catch (IOException | RuntimeException e) {
      throw new StartException("the log of work orders cannot be opened: " + e);
    }
    queries =
        new ThreadPoolExecutor(
            1,
            1,
            1,
            SECONDS,
            new LinkedBlockingQueue<>(MAX_QUERIES),
            task -> {
              Thread worker = new Thread(task, "work");
              worker.setDaemon(true);
              return worker;
            });
    node.dispatcher().addOverlay(overlay);
    node.dispatcher().setSendGate(() -> session.maySend(System.nanoTime()));
    node.shutdown().addFinalTask(this::leave);
  }

  /** Blocks until this balancer has joined, which takes a majority of the voters. */
  public void start() throws IOException, InterruptedException {
    replicatedLog.start();
    node.loop().scheduleAtFixedRate(this::step, 0, STEP_MILLIS, MILLISECONDS);
    long loggedNanos = System.nanoTime();
    while (!node.loop().submit(session::joined).syncUninterruptibly().getNow()) {
      if (System.nanoTime() - loggedNanos > MILLISECONDS.toNanos(LOG_INTERVAL_MILLIS)) {
        loggedNanos = System.nanoTime();
        Log.warn(
            "work",
            "not joined yet, so no clients are accepted; leader: " + replicatedLog.leader());
      }
      Thread.sleep(STEP_MILLIS);
    }
    Log.info("work", config.instance() + " has joined; " + replicatedLog.leader() + " leads");
  }

  // ---- on the log's thread ----

  private void onChange() {
    try {
      // Reads the view when the task runs, so that an older list never follows a newer one.
      node.loop().execute(() -> update(replica.view().away()));
    } catch (RejectedExecutionException e) {
      // The node has shut down and sends nothing any more.
    }
  }

  // ---- on the event loop ----

  private void update(List<MaintenanceState.AwayMachine> away) {
    progress.update(away);
    overlay.update(away, node.dispatcher(), node.nowMillis());
  }

  private void step() {
    try {
      boolean wasJoined = session.joined();
      for (Command command : session.step(System.nanoTime(), this)) {
        submitForSession(command);
      }
      if (wasJoined != session.joined()) {
        everJoined |= session.joined();
        Log.info("work", config.instance() + (wasJoined ? " is not joined" : " is joined"));
      }
      watchClients();
      transferLeadership();
      watchLog();
    } catch (RuntimeException e) {
      Log.error("work", "a step failed", e); // Rethrown, it would cancel the periodic task.
    }
  }

  private void submitForSession(Command command) {
    submit(command)
        .whenComplete(
            (result, failure) -> {
              try {
                node.loop().execute(() -> onResult(command, result, failure));
              } catch (RejectedExecutionException e) {
                // The node has shut down.
              }
            });
  }

  private void onResult(Command command, CommandResult result, Throwable failure) {
    String kind = command.getClass().getSimpleName();
    if (failure != null) {
      Log.warn("work", kind + " may not have been applied: " + failure.getMessage());
    } else if (!result.message().isEmpty()) {
      Log.warn("work", kind + ": " + result.message());
    }
    boolean wasJoined = session.joined();
    session.onResult(command, result, System.nanoTime(), this);
    if (wasJoined && !session.joined()) {
      Log.warn("work", config.instance() + " was fenced and joins again");
    }
  }

  /**
   * Sends clients away shortly before the lease ends or when an order takes this balancer out, and
   * fails all requests in progress once the lease has ended.
   */
  private void watchClients() {
    if (!everJoined) {
      return; // Clients are not accepted before the first join.
    }
    long now = System.nanoTime();
    if (session.acceptsClients(now)) {
      leaseEnded = false;
      if (draining) {
        draining = false;
        node.operatorDrain().end();
      }
      return;
    }
    if (!draining) {
      Log.warn(
          "work",
          mustLeave()
              ? "taken out by an order: no more clients are accepted"
              : "the lease cannot be renewed: no more clients are accepted");
      draining = true;
      drainingNanos = now;
      node.operatorDrain().begin();
    }
    if (!session.maySend(now) && node.dispatcher().liveRequestCount() > 0) {
      if (!leaseEnded) {
        leaseEnded = true;
        Log.warn(
            "work",
            "the lease has ended: " + node.dispatcher().liveRequestCount() + " requests fail");
      }
      node.dispatcher().failAll();
    }
  }

  /** Checks the log's own health and logs when this instance does not follow it. */
  private void watchLog() {
    long now = System.nanoTime();
    if (now - watchedNanos > MILLISECONDS.toNanos(WATCH_INTERVAL_MILLIS)) {
      watchedNanos = now;
      replicatedLog.reopenIfStuck(now);
    }
    if (session.isLogStalled(now)
        && now - stallLoggedNanos > MILLISECONDS.toNanos(LOG_INTERVAL_MILLIS)) {
      stallLoggedNanos = now;
      String reason = trouble();
      Log.warn("log stands still", reason, "reason", reason);
    }
  }

  /** Why this instance does not follow the log; empty if it does. On the event loop. */
  String trouble() {
    String failed = replicatedLog.failure();
    return !failed.isEmpty()
        ? failed
        : session.isLogStalled(System.nanoTime())
            ? "the log advances, but this instance has applied nothing since entry "
                + replica.view().index()
            : "";
  }

  /** Transfers leadership before leaving; else the others would first have to notice its end. */
  private void transferLeadership() {
    long now = System.nanoTime();
    if (draining
        && mustLeave()
        && now - transferNanos > MILLISECONDS.toNanos(TRANSFER_INTERVAL_MILLIS)
        && replicatedLog.leader().equals(config.instance())) {
      transferNanos = now;
      replicatedLog
          .transferLeadership()
          .whenComplete(
              (to, failure) ->
                  Log.info(
                      "work",
                      failure == null
                          ? to + " leads now"
                          : "leadership not transferred: " + failure));
    }
  }

  // ---- local view of the session, on the event loop ----

  @Override
  public boolean mustLeave() {
    return replica.view().mustLeave();
  }

  /** After {@link #DRAIN_MILLIS} the drain has closed all idle connections. */
  @Override
  public boolean clientsGone() {
    return draining
        && System.nanoTime() - drainingNanos > MILLISECONDS.toNanos(DRAIN_MILLIS)
        && node.dispatcher().liveRequestCount() == 0
        && !replicatedLog.leader().equals(config.instance());
  }

  @Override
  public long latestIncarnation() {
    return replica.view().incarnation();
  }

  @Override
  public boolean hasJoined(long incarnation) {
    MaintenanceReplica.View view = replica.view();
    boolean joined = view.joined() && view.incarnation() == incarnation;
    if (joined) {
      applyOrders();
    }
    return joined;
  }

  /** Applies the latest view to the server list; returns the index of its last log entry. */
  private long applyOrders() {
    MaintenanceReplica.View view = replica.view();
    update(view.away());
    return view.index();
  }

  @Override
  public long appliedIndex() {
    return replica.view().index();
  }

  @Override
  public CapacityReport capacityReport() {
    long appliedIndex = applyOrders();
    return overlay.isListEmpty()
        ? null // The list is not read yet; a report would state that nothing is in service.
        : overlay.report(appliedIndex, node.dispatcher(), config, node.nowMillis());
  }

  @Override
  public boolean idle() {
    return node.dispatcher().inFlight(any -> true) == 0;
  }

  @Override
  public List<MaintenanceState.AwayMachine> drainedMachines() {
    return overlay.drained(node.dispatcher());
  }

  @Override
  public long leaseMillis() {
    return replica.view().leaseMillis();
  }

  @Override
  public boolean expiryDue() {
    return replica.view().expiryDue(System.nanoTime())
        && replicatedLog.leader().equals(config.instance());
  }

  @Override
  public boolean logStopped() {
    return !replicatedLog.failure().isEmpty();
  }

  @Override
  public long newIncarnation() {
    return random.nextLong() >>> 11 | 1;
  }

  // ---- for operators ----

  /** Registers the pages of maintenance orders with the admin listener. */
  public void addPages(AdminServer admin) {
    new MaintenancePages(this, config, replica, queries).add(admin);
  }

  /** Submits a command of the session, ahead of those that operators submit here. */
  private CompletableFuture<CommandResult> submit(Command command) {
    return replicatedLog
        .submitPriority(() -> replica.encode(command))
        .thenApply(answer -> MaintenanceReplica.decodeResult(answer).result());
  }

  /**
   * Completes once the command is applied here, too, so that the next query here sees its effect.
   */
  CompletableFuture<CommandResult> submitAndApply(Command command) {
    return replicatedLog
        .submit(() -> replica.encode(command))
        .thenApply(MaintenanceReplica::decodeResult)
        .thenCompose(
            applied ->
                replica
                    .whenApplied(applied.index())
                    .completeOnTimeout(null, APPLIED_TIMEOUT_MILLIS, MILLISECONDS)
                    .thenApply(done -> applied.result()));
  }

  /**
   * Whether this instance has joined at least once, so that it has the lists; on the event loop.
   */
  boolean hasEverJoined() {
    return everJoined;
  }

  /**
   * Makes a peer a voter or removes it from the voters.
   *
   * @return the voters after the change
   */
  CompletableFuture<List<String>> setVoter(String peer, boolean votes) {
    // Set by the first check: reading the state may wait for the log's thread.
    AtomicLong sinceMillis = new AtomicLong(-1);
    return replicatedLog.changeVoter(
        peer,
        votes,
        (voters, joins) ->
            replica.query(
                state -> {
                  sinceMillis.compareAndSet(-1, state.nowMillis());
                  return state.voteObstacle(voters, joins, sinceMillis.get());
                }));
  }

  /** The voters, as far as this instance knows. */
  List<String> voters() {
    try {
      return replicatedLog.voters();
    } catch (IOException e) {
      return List.of();
    }
  }

  String leader() {
    return replicatedLog.leader();
  }

  /** Milliseconds left of the lease, or -1 if the instance sends without one; on the event loop. */
  long leaseLeftMillis() {
    long left = session.leaseLeftNanos(System.nanoTime());
    return left < 0 ? -1 : left / 1_000_000;
  }

  /** See {@link MaintenanceOverlay#choose}; on the event loop, which owns the server list. */
  List<Machine> choose(Set<String> ids, String kind, String zone, String cell) {
    return overlay.choose(ids, kind, zone, cell);
  }

  /** Leaves at shutdown, after the last request, so that no machine waits for this instance. */
  private void leave() {
    try {
      submit(new Command.Leave(config.instance(), session.incarnation()))
          .get(LEAVE_TIMEOUT_MILLIS, MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Log.warn("work", "ended without leaving: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    queries.shutdownNow();
    replicatedLog.close();
  }
}
