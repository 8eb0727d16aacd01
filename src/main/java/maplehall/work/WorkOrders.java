package maplehall.work;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeoutException;
import maplehall.admin.AdminServer;
import maplehall.agreement.Agreement;
import maplehall.node.Node;
import maplehall.runtime.Log;
import meadowtrack.work.Command;
import meadowtrack.work.Machine;
import meadowtrack.work.Reply;
import meadowtrack.work.Report;
import meadowtrack.work.Settled;

/**
 * This balancer among those that settle which machine goes out when. It sends nothing to any server
 * before it has joined, lets go of machines as they are granted, and says when it has.
 */
public final class WorkOrders implements AutoCloseable {
  /** A log that cannot be opened; the message says why. */
  public static final class CannotStart extends Exception {
    private static final long serialVersionUID = 1L;

    CannotStart(String message) {
      super(message);
    }
  }

  /** How soon an instance sees that its last call to a machine has ended. */
  private static final long CONFIRM_MILLIS = 5;

  /** Renewals in one lease: three may be lost. */
  private static final long RENEWALS = 4;

  private static final long LEAST_BEAT_MILLIS = 50;
  private static final long MOST_BEAT_MILLIS = 1000;
  private static final long JOIN_MILLIS = 3000;
  private static final long LEAVE_MILLIS = 1500;
  private static final long AGAIN_MILLIS = 100;

  private final Node node;
  private final WorkTable table;
  private final Ledger ledger;
  private final Agreement agreement;
  private final Lease lease = new Lease();
  private final Holdings holdings = new Holdings();
  private final SecureRandom random = new SecureRandom();
  private final ScheduledThreadPoolExecutor thread;
  private volatile long incarnation;
  private volatile boolean closed;

  /** Grants that this process has said to have let go of; on the loop, as long as they stand. */
  private final Set<Settled.Away> told = new HashSet<>();

  /** Whether what was owed at the end of the lease has been given up; on the loop. */
  private boolean cut;

  private boolean emptied;

  /** Lays itself over the node's lists; before its start. */
  public WorkOrders(Node node, WorkTable table) throws CannotStart {
    this.node = node;
    this.table = table;
    ledger = new Ledger(this::news);
    try {
      agreement =
          new Agreement(table.instance(), table.listen(), table.peers(), table.folder(), ledger);
    } catch (IOException | RuntimeException e) {
      throw new CannotStart("the log of work orders cannot be opened: " + e);
    }
    thread =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread made = new Thread(task, "work");
              made.setDaemon(true);
              return made;
            });
    node.dispatcher().overlay(holdings);
    if (table.stops()) {
      lease.end();
    }
    node.dispatcher().gate(lease);
    node.shutdown().lastly(this::leave);
  }

  /** Returns when this balancer has joined, which takes a majority of those that vote. */
  public void start() throws IOException, InterruptedException {
    agreement.start();
    for (int tries = 0; !join(true); tries++) {
      if (tries % 5 == 0) {
        Log.warn("work", "not joined yet, so no clients are taken; leader: " + agreement.leader());
      }
      Thread.sleep(AGAIN_MILLIS);
    }
    Log.info("work", table.instance() + " has joined; " + agreement.leader() + " leads");
    node.loop().scheduleAtFixedRate(this::confirm, 0, CONFIRM_MILLIS, MILLISECONDS);
    if (table.stops()) {
      node.loop().scheduleAtFixedRate(this::watchLease, 0, CONFIRM_MILLIS, MILLISECONDS);
    }
    schedule(0);
  }

  private void schedule(long millis) {
    try {
      thread.schedule(this::beat, millis, MILLISECONDS);
    } catch (RejectedExecutionException e) {
      Log.info("work", "ended");
    }
  }

  // ---- on the log's thread ----

  private void news(List<Settled.Away> away) {
    try {
      node.loop().execute(() -> holdings.update(away, node.dispatcher()));
    } catch (RejectedExecutionException e) {
      // The node has ended: it sends nothing any more.
    }
  }

  // ---- on the thread of work ----

  /**
   * Joins, or joins again.
   *
   * @param idle whether nothing that this process sent can be in flight
   */
  private boolean join(boolean idle) throws InterruptedException {
    long before = ledger.ask(settled -> settled.incarnation(table.instance()));
    long next = random.nextLong() >>> 11 | 1;
    for (int tries = 0; tries < 3; tries++) {
      long sent = System.nanoTime();
      Command.Join command =
          new Command.Join(table.instance(), next, before, idle, table.stops(), table.rules());
      Reply reply;
      try {
        reply = submit(command).get(JOIN_MILLIS, MILLISECONDS);
      } catch (ExecutionException | TimeoutException e) {
        return false;
      }
      if (reply.ok()) {
        if (!reply.message().isEmpty()) {
          Log.warn("work", reply.message());
        }
        return joined(next, sent);
      }
      if (!reply.message().equals(Settled.LATE)) {
        Log.warn("work", "not joined: " + reply.message());
        return false;
      }
      before = reply.order();
    }
    return false;
  }

  /** Waits until this instance has taken its own entry, and all that was granted before it. */
  private boolean joined(long as, long sentNanos) throws InterruptedException {
    long until = System.nanoTime() + MILLISECONDS.toNanos(JOIN_MILLIS);
    while (!ledger.ask(settled -> settled.joined(table.instance(), as))) {
      if (System.nanoTime() - until > 0) {
        return false;
      }
      Thread.sleep(2);
    }
    // News before this entry has been handed to the loop; this comes after it.
    node.loop().submit(told::clear).awaitUninterruptibly();
    incarnation = as;
    renewed(sentNanos);
    return true;
  }

  private void renewed(long sentNanos) {
    if (table.stops()) {
      lease.until(sentNanos + MILLISECONDS.toNanos(leaseMillis()));
    } else {
      lease.endless();
    }
  }

  private long leaseMillis() {
    return ledger.ask(settled -> settled.rules().leaseMillis());
  }

  private CompletableFuture<Reply> submit(Command command) {
    return agreement.submit(Ledger.bytes(command)).thenApply(Ledger::reply);
  }

  private long beatMillis() {
    return Math.max(LEAST_BEAT_MILLIS, Math.min(MOST_BEAT_MILLIS, leaseMillis() / RENEWALS));
  }

  /** Renews the lease and says what is in service. */
  private void beat() {
    long sent = System.nanoTime();
    try {
      Report report = look();
      submit(new Command.Renew(table.instance(), incarnation, report))
          .whenComplete(
              (reply, failure) -> {
                long took = (System.nanoTime() - sent) / 1_000_000;
                if (reply != null && reply.ok()) {
                  renewed(sent);
                } else if (reply != null) {
                  Log.warn("work", "this instance is " + reply.message());
                  rejoin();
                  return;
                } else if (!closed) {
                  Log.warn("work", "not renewed: " + failure.getMessage());
                }
                schedule(Math.max(0, beatMillis() - took));
              });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt(); // Closed.
    } catch (ExecutionException | RuntimeException e) {
      Log.error("work", "no renewal", e);
      schedule(AGAIN_MILLIS);
    }
  }

  private Report look() throws InterruptedException, ExecutionException {
    return node.loop()
        .submit(
            () -> {
              // Both at one moment: what is reported as in service knows of every grant up to it.
              long[] upTo = new long[1];
              List<Settled.Away> away =
                  ledger.ask(
                      settled -> {
                        upTo[0] = settled.index();
                        return settled.away();
                      });
              holdings.update(away, node.dispatcher());
              return holdings.report(upTo[0], node.dispatcher(), table, System.currentTimeMillis());
            })
        .get();
  }

  private void rejoin() {
    try {
      thread.execute(
          () -> {
            try {
              if (table.stops()) {
                lease.end();
              }
              boolean idle = node.loop().submit(this::idle).get();
              if (!idle && table.stops() || !join(idle)) {
                Thread.sleep(AGAIN_MILLIS);
                rejoin();
              } else {
                Log.info("work", "joined again");
                schedule(0);
              }
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt(); // Closed.
            } catch (ExecutionException | RuntimeException e) {
              Log.error("work", "not joined again", e);
              schedule(AGAIN_MILLIS);
            }
          });
    } catch (RejectedExecutionException e) {
      Log.info("work", "ended");
    }
  }

  private boolean idle() {
    return node.dispatcher().inFlight(any -> true) == 0;
  }

  // ---- on the loop ----

  private void confirm() {
    told.removeIf(each -> !holdings.holds(each));
    for (Settled.Away each : holdings.free(node.dispatcher())) {
      if (told.add(each)) {
        Command free =
            new Command.Free(table.instance(), incarnation, each.order(), each.machine());
        submit(free)
            .whenComplete(
                (reply, failure) -> {
                  if (reply == null || !reply.ok()) {
                    node.loop().schedule(() -> told.remove(each), AGAIN_MILLIS, MILLISECONDS);
                  }
                });
      }
    }
  }

  /** Takes no more clients before the lease ends, and owes nobody an answer when it has ended. */
  private void watchLease() {
    long left = lease.leftNanos();
    if (left <= MILLISECONDS.toNanos(table.stoppingMillis())) {
      if (!emptied) {
        Log.warn("work", "the lease cannot be renewed: no more clients are taken");
        emptied = true;
        node.emptying().begin();
      }
      if (left <= 0 && !cut) {
        cut = true;
        Log.warn("work", "the lease has ended: " + node.dispatcher().live() + " requests fail");
        node.dispatcher().failAll();
      }
    } else {
      cut = false;
      if (emptied) {
        emptied = false;
        node.emptying().end();
      }
    }
  }

  // ---- for operators ----

  /** Adds the pages of orders to the admin listener. */
  public void addPages(AdminServer admin) {
    new WorkPages(this, table, ledger, thread).add(admin);
  }

  CompletableFuture<Reply> command(Command command) {
    return submit(command);
  }

  String leader() {
    return agreement.leader();
  }

  /** Milliseconds of its lease that are left, or -1 where it has none to end. */
  long leaseLeftMillis() {
    return table.stops() ? Math.max(0, lease.leftNanos() / 1_000_000) : -1;
  }

  /** Answered on the loop, where the lists are. */
  CompletableFuture<List<Machine>> choose(Set<String> ids, String kind, String zone, String cell) {
    CompletableFuture<List<Machine>> chosen = new CompletableFuture<>();
    node.loop().execute(() -> chosen.complete(holdings.choose(ids, kind, zone, cell)));
    return chosen;
  }

  /** All requests have been answered and none will come: others need not wait for this one. */
  private void leave() {
    try {
      submit(new Command.Leave(table.instance(), incarnation)).get(LEAVE_MILLIS, MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Log.warn("work", "ended without a word to the others: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.shutdownNow();
    try {
      thread.awaitTermination(1, SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    agreement.close();
  }
}
