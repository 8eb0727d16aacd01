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
import heathswitch.proxy.consensus.Agreement;
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
 * This balancer among those that settle which machine goes out when: carries out what its {@link
 * InstanceSession} says, lays what is settled over the lists, and keeps the first byte of every
 * attempt within the lease.
 */
public final class MaintenanceService implements AutoCloseable, InstanceSession.LocalView {
  /** A log that cannot be opened; the message says why. */
  public static final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    StartException(String message) {
      super(message);
    }
  }

  /** How soon an instance sees that its last call to a machine has ended. */
  private static final long STEP_MILLIS = 5;

  /** Connections that wait for nothing are closed 1.5 s after the begin, and whenever they come. */
  private static final long EMPTY_MILLIS = 2000;

  private static final long HAND_ON_MILLIS = 2000;
  private static final long TELL_MILLIS = 2000;
  private static final long LOOK_MILLIS = 100;
  private static final long LEAVE_MILLIS = 1500;

  /** An answer waits so long at most until what it tells of is known here, too. */
  private static final long KNOWN_MILLIS = 1000;

  /**
   * The latest form of entries that this program takes; less where somebody tries beforehand how an
   * earlier release fares among later ones.
   */
  private static final int KNOWS =
      Math.min(
          FormatSupport.LATEST, Integer.getInteger("heathswitch.work.knows", FormatSupport.LATEST));

  /** Questions of operators that may wait; one more is told so. */
  private static final int MOST_QUESTIONS = 64;

  private final Node node;
  private final MaintenanceConfig table;
  private final MaintenanceReplica ledger;
  private final Agreement agreement;
  private final InstanceSession participant;
  private final MaintenanceOverlay holdings = new MaintenanceOverlay();
  private final OrderProgressLogger steps = new OrderProgressLogger();
  private final SecureRandom random = new SecureRandom();
  private final ThreadPoolExecutor thread;

  /** Whether what was owed at the end of the lease has been given up, and clients sent away. */
  private boolean cut;

  private boolean emptied;

  /** Since when its clients have been sent away, and when leadership was handed on last. */
  private long emptiedNanos;

  private long handedNanos;

  private long lookedNanos = System.nanoTime();

  /** When it was said last that this instance's log stands still. */
  private long stillToldNanos;

  /** Whether it has been inside. */
  private boolean begun;

  /** Lays itself over the node's lists; before its start. */
  public MaintenanceService(Node node, MaintenanceConfig table) throws StartException {
    this.node = node;
    this.table = table;
    String lost = VoterFolder.startObstacle(table);
    if (lost != null) {
      throw new StartException(lost);
    }
    ledger = new MaintenanceReplica(table.instance(), KNOWS, this::news);
    participant =
        new InstanceSession(
            table.instance(),
            table.stops(),
            table.stoppingMillis(),
            table.rules(),
            new FormatSupport(KNOWS, table.peers().size()));
    try {
      agreement =
          new Agreement(table.instance(), table.listen(), table.peers(), table.folder(), ledger);
    } catch (IOException | RuntimeException e) {
      throw new StartException("the log of work orders cannot be opened: " + e);
    }
    thread =
        new ThreadPoolExecutor(
            1,
            1,
            1,
            SECONDS,
            new LinkedBlockingQueue<>(MOST_QUESTIONS),
            task -> {
              Thread made = new Thread(task, "work");
              made.setDaemon(true);
              return made;
            });
    node.dispatcher().addOverlay(holdings);
    node.dispatcher().setSendGate(() -> participant.maySend(System.nanoTime()));
    node.shutdown().addFinalTask(this::leave);
  }

  /** Returns when this balancer has joined, which takes a majority of those that vote. */
  public void start() throws IOException, InterruptedException {
    agreement.start();
    node.loop().scheduleAtFixedRate(this::step, 0, STEP_MILLIS, MILLISECONDS);
    long told = System.nanoTime();
    while (!node.loop().submit(participant::joined).syncUninterruptibly().getNow()) {
      if (System.nanoTime() - told > MILLISECONDS.toNanos(TELL_MILLIS)) {
        told = System.nanoTime();
        Log.warn("work", "not joined yet, so no clients are taken; leader: " + agreement.leader());
      }
      Thread.sleep(STEP_MILLIS);
    }
    Log.info("work", table.instance() + " has joined; " + agreement.leader() + " leads");
  }

  // ---- on the log's thread ----

  private void news() {
    try {
      // What is known when its turn comes: an older list must not follow a newer one.
      node.loop().execute(() -> update(ledger.known().away()));
    } catch (RejectedExecutionException e) {
      // The node has ended: it sends nothing any more.
    }
  }

  // ---- on the loop ----

  private void update(List<MaintenanceState.AwayMachine> away) {
    steps.tell(away);
    holdings.update(away, node.dispatcher(), node.nowMillis());
  }

  private void step() {
    try {
      boolean inside = participant.joined();
      for (Command command : participant.step(System.nanoTime(), this)) {
        say(command);
      }
      if (inside != participant.joined()) {
        begun |= participant.joined();
        Log.info("work", table.instance() + (inside ? " is outside" : " is inside"));
      }
      watchClients();
      handOn();
      watchLog();
    } catch (RuntimeException e) {
      Log.error("work", "a step failed", e); // Thrown on, it would be the last.
    }
  }

  private void say(Command command) {
    submit(command)
        .whenComplete(
            (reply, failure) -> {
              try {
                node.loop().execute(() -> answered(command, reply, failure));
              } catch (RejectedExecutionException e) {
                // The node has ended.
              }
            });
  }

  private void answered(Command command, CommandResult reply, Throwable failure) {
    String what = command.getClass().getSimpleName();
    if (failure != null) {
      Log.warn("work", what + " is not known to be taken: " + failure.getMessage());
    } else if (!reply.message().isEmpty()) {
      Log.warn("work", what + ": " + reply.message());
    }
    boolean inside = participant.joined();
    participant.onResult(command, reply, System.nanoTime(), this);
    if (inside && !participant.joined()) {
      Log.warn("work", table.instance() + " was fenced by the others and joins again");
    }
  }

  /**
   * Takes no more clients before the lease ends, or when an order takes this balancer out; owes
   * nobody an answer when the lease has ended.
   */
  private void watchClients() {
    if (!begun) {
      return; // Before it is inside for the first time it takes nobody.
    }
    long now = System.nanoTime();
    if (participant.acceptsClients(now)) {
      cut = false;
      if (emptied) {
        emptied = false;
        node.operatorDrain().end();
      }
      return;
    }
    if (!emptied) {
      Log.warn(
          "work",
          mustLeave()
              ? "taken out: no more clients are taken"
              : "the lease cannot be renewed: no more clients are taken");
      emptied = true;
      emptiedNanos = now;
      node.operatorDrain().begin();
    }
    if (!participant.maySend(now) && node.dispatcher().liveRequestCount() > 0) {
      if (!cut) {
        cut = true;
        Log.warn(
            "work",
            "the lease has ended: " + node.dispatcher().liveRequestCount() + " requests fail");
      }
      node.dispatcher().failAll();
    }
  }

  private void watchLog() {
    long now = System.nanoTime();
    if (now - lookedNanos > MILLISECONDS.toNanos(LOOK_MILLIS)) {
      lookedNanos = now;
      agreement.watch(now);
    }
    if (participant.isLogStalled(now) && now - stillToldNanos > MILLISECONDS.toNanos(TELL_MILLIS)) {
      stillToldNanos = now;
      String reason = trouble();
      Log.warn("log stands still", reason, "reason", reason);
    }
  }

  /** Why this instance does not hear what is settled; empty where it does. On the loop. */
  String trouble() {
    String failed = agreement.trouble();
    return !failed.isEmpty()
        ? failed
        : participant.isLogStalled(System.nanoTime())
            ? "others settle more, and this instance has taken nothing since entry "
                + ledger.known().index()
            : "";
  }

  /** One that leaves does not lead: the others would have to find out. */
  private void handOn() {
    long now = System.nanoTime();
    if (emptied
        && mustLeave()
        && now - handedNanos > MILLISECONDS.toNanos(HAND_ON_MILLIS)
        && agreement.leader().equals(table.instance())) {
      handedNanos = now;
      agreement
          .handOn()
          .whenComplete(
              (to, failure) ->
                  Log.info(
                      "work", failure == null ? to + " leads now" : "not handed on: " + failure));
    }
  }

  // ---- what the participant sees, on the loop ----

  @Override
  public boolean mustLeave() {
    return ledger.known().leaves();
  }

  /** After that time the drain has sent away whoever had nothing to wait for. */
  @Override
  public boolean clientsGone() {
    return emptied
        && System.nanoTime() - emptiedNanos > MILLISECONDS.toNanos(EMPTY_MILLIS)
        && node.dispatcher().liveRequestCount() == 0
        && !agreement.leader().equals(table.instance());
  }

  @Override
  public long latestIncarnation() {
    return ledger.known().incarnation();
  }

  @Override
  public boolean hasJoined(long as) {
    MaintenanceReplica.Known known = ledger.known();
    boolean joined = known.speaks() && known.incarnation() == as;
    if (joined) {
      current();
    }
    return joined;
  }

  /** Lays all that has been taken over the lists; the entry up to which that is. */
  private long current() {
    MaintenanceReplica.Known known = ledger.known();
    update(known.away());
    return known.index();
  }

  @Override
  public long appliedIndex() {
    return ledger.known().index();
  }

  @Override
  public CapacityReport capacityReport() {
    long upTo = current();
    return holdings.listsNothing()
        ? null // Not read yet: it would say that nothing is in service.
        : holdings.report(upTo, node.dispatcher(), table, node.nowMillis());
  }

  @Override
  public boolean idle() {
    return node.dispatcher().inFlight(any -> true) == 0;
  }

  @Override
  public List<MaintenanceState.AwayMachine> drainedMachines() {
    return holdings.free(node.dispatcher());
  }

  @Override
  public long leaseMillis() {
    return ledger.known().leaseMillis();
  }

  @Override
  public boolean expiryDue() {
    return ledger.known().due(System.nanoTime()) && agreement.leader().equals(table.instance());
  }

  @Override
  public boolean logStopped() {
    return !agreement.trouble().isEmpty();
  }

  @Override
  public long newIncarnation() {
    return random.nextLong() >>> 11 | 1;
  }

  // ---- for operators ----

  /** Adds the pages of orders to the admin listener. */
  public void addPages(AdminServer admin) {
    new MaintenancePages(this, table, ledger, thread).add(admin);
  }

  /** What the participant says: before whatever people ask for here. */
  private CompletableFuture<CommandResult> submit(Command command) {
    return agreement
        .submitFirst(() -> ledger.bytes(command))
        .thenApply(answer -> MaintenanceReplica.reply(answer).reply());
  }

  /** Answers when this instance knows of it, too: who asks here next is told what came of it. */
  CompletableFuture<CommandResult> submitAndKnow(Command command) {
    return agreement
        .submit(() -> ledger.bytes(command))
        .thenApply(MaintenanceReplica::reply)
        .thenCompose(
            taken ->
                ledger
                    .taken(taken.index())
                    .completeOnTimeout(null, KNOWN_MILLIS, MILLISECONDS)
                    .thenApply(known -> taken.reply()));
  }

  /** Whether it has been inside, so that it knows the lists; on the loop. */
  boolean begun() {
    return begun;
  }

  CompletableFuture<List<String>> vote(String peer, boolean votes) {
    AtomicLong since = new AtomicLong(-1); // Read where it may wait for the log's thread.
    return agreement.vote(
        peer,
        votes,
        (voters, joins) ->
            ledger.ask(
                now -> {
                  since.compareAndSet(-1, now.nowMillis());
                  return now.voteObstacle(voters, joins, since.get());
                }));
  }

  /** Those that vote, as far as this instance knows. */
  List<String> voters() {
    try {
      return agreement.voters();
    } catch (IOException e) {
      return List.of();
    }
  }

  String leader() {
    return agreement.leader();
  }

  /** Milliseconds of its lease that are left, or -1 where it has none to end; on the loop. */
  long leaseLeftMillis() {
    long left = participant.leaseLeftNanos(System.nanoTime());
    return left < 0 ? -1 : left / 1_000_000;
  }

  /** The servers that a choice names; on the loop, where the lists are. */
  List<Machine> choose(Set<String> ids, String kind, String zone, String cell) {
    return holdings.choose(ids, kind, zone, cell);
  }

  /** All requests have been answered and none will come: others need not wait for this one. */
  private void leave() {
    try {
      submit(new Command.Leave(table.instance(), participant.incarnation()))
          .get(LEAVE_MILLIS, MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Log.warn("work", "ended without a word to the others: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    thread.shutdownNow();
    agreement.close();
  }
}
