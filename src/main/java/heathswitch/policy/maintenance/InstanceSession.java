package heathswitch.policy.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One instance's part in what is settled: it joins, renews its lease, says which machines it has
 * let go of, and knows whether it may send. It is stepped again and again and told what became of
 * what it said; anything may be lost, late or told twice. Times are nanoseconds of a monotonic
 * clock of its own.
 */
public final class InstanceSession {
  /** What the participant can see where it is. */
  public interface LocalView {
    /** The latest process of this instance by what has been taken here, 0 for none. */
    long latestIncarnation();

    /** Whether the entry with which such a process joined has been taken here. */
    boolean hasJoined(long incarnation);

    /** The last entry that has been taken here. */
    long appliedIndex();

    /**
     * What is in service, with all laid over the lists that has been taken here; null for no list.
     */
    CapacityReport capacityReport();

    /** Whether nothing is in flight to any server. */
    boolean idle();

    /** Machines that are being emptied, get nothing new from here and have nothing in flight. */
    List<MaintenanceState.AwayMachine> drainedMachines();

    /** The lease by the rules in force. */
    long leaseMillis();

    /** Whether an order has this balancer itself leave, or stay away. */
    boolean mustLeave();

    /** Whether its clients have gone, and none can come. */
    boolean clientsGone();

    /**
     * Whether this instance leads and a machine has waited long enough for one that is not heard:
     * what only an entry lets go of.
     */
    boolean expiryDue();

    /** Whether its log has stopped until its next start, so that it hears of no order any more. */
    boolean logStopped();

    /** A number that nobody has drawn before, above 0. */
    long newIncarnation();
  }

  private static final long MILLI = 1_000_000L;

  /** An answer that is not there by then is not waited for any more. */
  static final long PATIENCE_NANOS = 3000 * MILLI;

  static final long AGAIN_NANOS = 100 * MILLI;

  /**
   * A machine must have had nothing in flight for so long before that is said: of an attempt that
   * was called off the last bytes may still be on their way.
   */
  static final long QUIET_NANOS = 20 * MILLI;

  /** Renewals in one lease, so that three may be lost; and how far apart they are at most. */
  static final long RENEWALS = 4;

  private static final long MOST_BETWEEN_MILLIS = 1000;

  private enum State {
    /** It is not among the instances. */
    OUTSIDE,
    /** It has asked to be. */
    JOINING,
    /** It is, and has not yet taken all that was settled before. */
    TAKING,
    INSIDE,
    /** It has left, as an order has it; it stays away until it is let back. */
    LEFT
  }

  private final String name;
  private final boolean stops;
  private final long stoppingNanos;
  private final MaintenanceRules rules;
  private final FormatSupport release;

  private State state = State.OUTSIDE;
  private boolean everInside;
  private long incarnation;
  private long before;
  private long nextNanos = Long.MIN_VALUE;
  private long sentNanos;
  private long leaseUntilNanos;
  private boolean renewing;
  private boolean leaving;
  private long leftNanos;

  /** Since it has said so it sends nothing until it has joined anew. */
  private boolean saidLeave;

  private Command lastRenewal;

  /**
   * The entry of a renewal that was taken by the others and not here yet, or 0. One whose own log
   * stands still hears of no grant: it renews no further, so that others count it as cut off.
   */
  private long awaited;

  /** Since when a machine has been empty, and what has been said to be. */
  private final Map<MaintenanceState.AwayMachine, Long> emptySince = new HashMap<>();

  private final Set<MaintenanceState.AwayMachine> told = new HashSet<>();

  /**
   * One that is outside.
   *
   * @param stops whether it stops by itself when it cannot renew its lease
   * @param stoppingMillis before the end of its lease it takes no more clients
   * @param rules as its configuration states them
   * @param release what this program can take
   */
  public InstanceSession(
      String name,
      boolean stops,
      long stoppingMillis,
      MaintenanceRules rules,
      FormatSupport release) {
    this.name = name;
    this.stops = stops;
    this.stoppingNanos = stoppingMillis * MILLI;
    this.rules = rules;
    this.release = release;
  }

  /** Whether the first byte of an attempt may be written at this moment. */
  public boolean maySend(long nowNanos) {
    if (saidLeave) {
      return false; // Whether that was taken or not: nobody need wait for it any more.
    }
    return stops ? state == State.INSIDE && leaseUntilNanos - nowNanos > 0 : everInside;
  }

  /** Whether new clients may come: what they ask for can be answered within the lease. */
  public boolean acceptsClients(long nowNanos) {
    return maySend(nowNanos) && !leaving && (!stops || leaseUntilNanos - nowNanos > stoppingNanos);
  }

  /** What is left of the lease, or -1 where there is none to end. */
  public long leaseLeftNanos(long nowNanos) {
    return !stops ? -1 : state == State.INSIDE ? Math.max(0, leaseUntilNanos - nowNanos) : 0;
  }

  public boolean joined() {
    return state == State.INSIDE;
  }

  public long incarnation() {
    return incarnation;
  }

  /** What is to be said now; to be called every few milliseconds. */
  public List<Command> step(long nowNanos, LocalView here) {
    List<Command> say = new ArrayList<>();
    switch (state) {
      case OUTSIDE -> join(nowNanos, here, say);
      case JOINING -> {
        if (nowNanos - sentNanos > PATIENCE_NANOS) {
          outside(nowNanos);
        }
      }
      case TAKING -> {
        if (here.hasJoined(incarnation)) {
          state = State.INSIDE;
          everInside = true;
          leaseUntilNanos = sentNanos + here.leaseMillis() * MILLI;
          renewing = false;
          saidLeave = false;
          nextNanos = nowNanos;
          told.clear();
        } else if (nowNanos - sentNanos > PATIENCE_NANOS) {
          outside(nowNanos);
        }
      }
      case INSIDE -> {
        renew(nowNanos, here, say);
        free(nowNanos, here, say);
        leave(nowNanos, here, say);
      }
      case LEFT -> {
        if (!here.mustLeave()) {
          outside(nowNanos);
        }
      }
    }
    return say;
  }

  private void outside(long nowNanos) {
    state = State.OUTSIDE;
    leaving = false;
    nextNanos = nowNanos + AGAIN_NANOS;
    lastRenewal = null;
    awaited = 0;
  }

  private void join(long nowNanos, LocalView here, List<Command> say) {
    if (nextNanos != Long.MIN_VALUE && nowNanos - nextNanos < 0) {
      return;
    }
    // One that stops sends nothing until it is inside again; what it sent must have ended.
    boolean idle = !everInside || stops && here.idle();
    if (stops && !idle) {
      return;
    }
    incarnation = here.newIncarnation();
    before = before == 0 ? here.latestIncarnation() : before;
    sentNanos = nowNanos;
    state = State.JOINING;
    say.add(new Command.Join(name, incarnation, before, idle, stops, rules, release));
  }

  private void renew(long nowNanos, LocalView here, List<Command> say) {
    if (awaited > 0 && here.appliedIndex() >= awaited) {
      awaited = 0;
      renewed(here);
    }
    if (renewing && awaited == 0 && nowNanos - sentNanos > PATIENCE_NANOS) {
      renewing = false;
    }
    // What others need not wait for any more is let go of now, not when the next one is to renew.
    boolean early = nowNanos - sentNanos >= AGAIN_NANOS && here.expiryDue();
    // Who hears of no grant must not have the others wait for longer than it does already.
    if (!renewing && (early || nowNanos - nextNanos >= 0) && !here.logStopped()) {
      renewing = true;
      sentNanos = nowNanos;
      lastRenewal = new Command.Renew(name, incarnation, here.capacityReport());
      say.add(lastRenewal);
    }
  }

  private void leave(long nowNanos, LocalView here, List<Command> say) {
    boolean before = leaving;
    leaving = here.mustLeave();
    if (saidLeave && !leaving) {
      outside(nowNanos); // Let back; what it said may still be on its way, so it joins anew.
      return;
    }
    if (leaving && !before) {
      leftNanos = nowNanos - PATIENCE_NANOS;
    }
    if (leaving && here.clientsGone() && here.idle() && nowNanos - leftNanos >= PATIENCE_NANOS) {
      leftNanos = nowNanos;
      saidLeave = true;
      say.add(new Command.Leave(name, incarnation));
    }
  }

  private void free(long nowNanos, LocalView here, List<Command> say) {
    List<MaintenanceState.AwayMachine> empty = here.drainedMachines();
    emptySince.keySet().retainAll(empty);
    told.retainAll(empty);
    for (MaintenanceState.AwayMachine each : empty) {
      long since = emptySince.computeIfAbsent(each, any -> nowNanos);
      if (nowNanos - since >= QUIET_NANOS && told.add(each)) {
        say.add(new Command.Free(name, incarnation, each.order(), each.machine()));
      }
    }
  }

  /**
   * What became of something that was said.
   *
   * @param reply null where that is not known: it may have been taken or not
   */
  public void onResult(Command command, CommandResult reply, long nowNanos, LocalView here) {
    if (command instanceof Command.Join join) {
      if (state == State.JOINING && join.incarnation() == incarnation) {
        joinAnswered(reply, nowNanos);
      }
    } else if (command instanceof Command.Renew renew) {
      if (state == State.INSIDE && renew == lastRenewal) {
        lastRenewal = null; // Told a second time it says nothing of the next one's time.
        renewAnswered(reply, nowNanos, here);
      }
    } else if (command instanceof Command.Leave leave) {
      if (state == State.INSIDE
          && leave.incarnation() == incarnation
          && reply != null
          && reply.ok()) {
        state = State.LEFT;
        leaving = false;
      }
    } else if (command instanceof Command.Free free
        && state == State.INSIDE
        && free.incarnation() == incarnation
        && (reply == null || !reply.ok())) {
      told.removeIf(each -> each.order() == free.order() && each.machine().equals(free.machine()));
    }
  }

  private void joinAnswered(CommandResult reply, long nowNanos) {
    if (reply != null && reply.ok()) {
      state = State.TAKING;
      before = 0;
      return;
    }
    outside(nowNanos);
    if (reply != null && reply.message().equals(MaintenanceState.LATE)) {
      before = reply.value();
      nextNanos = nowNanos;
    }
  }

  private void renewAnswered(CommandResult reply, long nowNanos, LocalView here) {
    if (reply == null) {
      renewing = false;
      nextNanos = nowNanos + AGAIN_NANOS;
    } else if (!reply.ok()) {
      outside(nowNanos); // Fenced.
    } else if (here.appliedIndex() < reply.value()) {
      awaited = reply.value();
    } else {
      renewed(here);
    }
  }

  /** From one renewal to the next. */
  public static long renewalIntervalMillis(long leaseMillis) {
    return Math.min(MOST_BETWEEN_MILLIS, leaseMillis / RENEWALS);
  }

  private void renewed(LocalView here) {
    renewing = false;
    long lease = here.leaseMillis() * MILLI;
    long until = sentNanos + lease;
    leaseUntilNanos = until - leaseUntilNanos > 0 ? until : leaseUntilNanos;
    nextNanos = sentNanos + renewalIntervalMillis(here.leaseMillis()) * MILLI;
  }

  /** Whether the others have taken its last renewal for so long, and its own log has not. */
  public boolean isLogStalled(long nowNanos) {
    return state == State.INSIDE && awaited > 0 && nowNanos - sentNanos > PATIENCE_NANOS;
  }
}
