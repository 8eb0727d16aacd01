package heathswitch.policy.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One instance's session with the replicated state: it joins, renews its lease, reports which
 * machines it sends nothing to any more, and decides whether the instance may send. The caller
 * invokes {@link #step} periodically and passes back the result of each command; a command or its
 * result may be lost, late or delivered twice. Times are nanoseconds of a monotonic clock of the
 * instance.
 */
public final class InstanceSession {
  /** The instance's own view of the replicated state and of its traffic. */
  public interface LocalView {
    /** The latest incarnation of this instance in the state applied here, 0 for none. */
    long latestIncarnation();

    /** Whether the entry with which an incarnation joined has been applied here. */
    boolean hasJoined(long incarnation);

    /** Index of the last log entry applied here. */
    long appliedIndex();

    /**
     * The capacity that this instance sees, with all that has been applied here taken into account;
     * null if there is no server list yet.
     */
    CapacityReport capacityReport();

    /** Whether nothing is in flight to any server. */
    boolean idle();

    /** Machines being emptied that get nothing new from here and have nothing in flight. */
    List<MaintenanceState.AwayMachine> drainedMachines();

    /** The lease by the rules in force. */
    long leaseMillis();

    /** Whether an order requires this balancer itself to leave or to stay away. */
    boolean mustLeave();

    /** Whether all clients of this balancer have gone and no new ones can come. */
    boolean clientsGone();

    /**
     * Whether this instance leads and a machine being emptied need not wait any longer for an
     * instance whose lease has expired. The machine goes out only with the next log entry.
     */
    boolean expiryDue();

    /** Whether this instance's log has stopped until its next start, so that it sees no grants. */
    boolean logStopped();

    /** An incarnation above 0 that has not been used before. */
    long newIncarnation();
  }

  private static final long MILLI = 1_000_000L;

  /** How long to wait for the result of a command. */
  static final long RESULT_TIMEOUT_NANOS = 3000 * MILLI;

  /** How long to wait after a failure, and the least time between renewals that are early. */
  static final long RETRY_NANOS = 100 * MILLI;

  /**
   * For how long a machine must have had nothing in flight before that is reported; the last bytes
   * of a cancelled attempt may still be on their way.
   */
  static final long QUIET_NANOS = 20 * MILLI;

  /** Renewals in one lease, so that three may be lost. */
  static final long RENEWALS = 4;

  /** Upper limit of the interval between renewals. */
  private static final long MAX_RENEWAL_INTERVAL_MILLIS = 1000;

  private enum State {
    /** Has not joined, was fenced, or its join failed. */
    NOT_JOINED,
    /** The join has been submitted. */
    JOINING,
    /** The join was accepted, but the local log has not applied it yet. */
    CATCHING_UP,
    /** Joined, with all entries before the join applied. */
    JOINED,
    /** Left as an order requires; stays away until the order is done. */
    LEFT
  }

  private final String name;
  private final boolean stopsWhenCutOff;
  private final long stopMarginNanos;
  private final MaintenanceRules rules;
  private final FormatSupport formats;

  private State state = State.NOT_JOINED;
  private boolean everJoined;
  private long incarnation;
  private long previousIncarnation;

  /** When the next join or renewal is due. */
  private long nextNanos = Long.MIN_VALUE;

  /** When the last join or renewal was submitted; its lease starts then. */
  private long sentNanos;

  private long leaseUntilNanos;
  private boolean renewing;

  /** Whether an order requires this balancer to leave. */
  private boolean leaving;

  private long leaveSentNanos;

  /** Whether a leave has been submitted; the instance sends nothing until it has joined again. */
  private boolean leaveSent;

  private Command lastRenewal;

  /**
   * Index of the entry of a renewal that was accepted but has not been applied here, or 0. An
   * instance whose own log makes no progress sees no grants, so it does not renew again and the
   * others count it as cut off.
   */
  private long awaitedIndex;

  /** Since when each machine has had nothing in flight. */
  private final Map<MaintenanceState.AwayMachine, Long> drainedSince = new HashMap<>();

  /** The machines for which a {@link Command.Free} has been submitted. */
  private final Set<MaintenanceState.AwayMachine> freed = new HashSet<>();

  /**
   * Creates a session that has not joined.
   *
   * @param stopsWhenCutOff whether the instance stops sending when it cannot renew its lease
   * @param stopMarginMillis how long before the end of its lease it accepts no more clients
   * @param rules as its configuration states them
   * @param formats what this program can read
   */
  public InstanceSession(
      String name,
      boolean stopsWhenCutOff,
      long stopMarginMillis,
      MaintenanceRules rules,
      FormatSupport formats) {
    this.name = name;
    this.stopsWhenCutOff = stopsWhenCutOff;
    this.stopMarginNanos = stopMarginMillis * MILLI;
    this.rules = rules;
    this.formats = formats;
  }

  /** Whether the first byte of an attempt may be written at this moment. */
  public boolean maySend(long nowNanos) {
    if (leaveSent) {
      return false; // Whether or not the leave was applied, nobody needs to wait for this instance.
    }
    return stopsWhenCutOff ? state == State.JOINED && leaseUntilNanos - nowNanos > 0 : everJoined;
  }

  /** Whether new clients are accepted: their requests can be answered within the lease. */
  public boolean acceptsClients(long nowNanos) {
    return maySend(nowNanos)
        && !leaving
        && (!stopsWhenCutOff || leaseUntilNanos - nowNanos > stopMarginNanos);
  }

  /** What is left of the lease, or -1 for an instance that sends without one. */
  public long leaseLeftNanos(long nowNanos) {
    return !stopsWhenCutOff
        ? -1
        : state == State.JOINED ? Math.max(0, leaseUntilNanos - nowNanos) : 0;
  }

  public boolean joined() {
    return state == State.JOINED;
  }

  public long incarnation() {
    return incarnation;
  }

  /** Returns the commands to submit now; to be called every few milliseconds. */
  public List<Command> step(long nowNanos, LocalView local) {
    List<Command> commands = new ArrayList<>();
    switch (state) {
      case NOT_JOINED -> join(nowNanos, local, commands);
      case JOINING -> {
        if (nowNanos - sentNanos > RESULT_TIMEOUT_NANOS) {
          reset(nowNanos);
        }
      }
      case CATCHING_UP -> {
        if (local.hasJoined(incarnation)) {
          state = State.JOINED;
          everJoined = true;
          leaseUntilNanos = sentNanos + local.leaseMillis() * MILLI;
          renewing = false;
          leaveSent = false;
          nextNanos = nowNanos;
          freed.clear();
        } else if (nowNanos - sentNanos > RESULT_TIMEOUT_NANOS) {
          reset(nowNanos);
        }
      }
      case JOINED -> {
        renew(nowNanos, local, commands);
        free(nowNanos, local, commands);
        leave(nowNanos, local, commands);
      }
      case LEFT -> {
        if (!local.mustLeave()) {
          reset(nowNanos);
        }
      }
    }
    return commands;
  }

  /** Ends the session; the next join follows after {@link #RETRY_NANOS}. */
  private void reset(long nowNanos) {
    state = State.NOT_JOINED;
    leaving = false;
    nextNanos = nowNanos + RETRY_NANOS;
    lastRenewal = null;
    awaitedIndex = 0;
  }

  private void join(long nowNanos, LocalView local, List<Command> commands) {
    if (nextNanos != Long.MIN_VALUE && nowNanos - nextNanos < 0) {
      return;
    }
    // An instance that stops when cut off sends nothing until it has joined again, and whatever it
    // sent before must have ended.
    boolean idle = !everJoined || stopsWhenCutOff && local.idle();
    if (stopsWhenCutOff && !idle) {
      return;
    }
    incarnation = local.newIncarnation();
    previousIncarnation =
        previousIncarnation == 0 ? local.latestIncarnation() : previousIncarnation;
    sentNanos = nowNanos;
    state = State.JOINING;
    commands.add(
        new Command.Join(
            name, incarnation, previousIncarnation, idle, stopsWhenCutOff, rules, formats));
  }

  private void renew(long nowNanos, LocalView local, List<Command> commands) {
    if (awaitedIndex > 0 && local.appliedIndex() >= awaitedIndex) {
      awaitedIndex = 0;
      renewed(local);
    }
    if (renewing && awaitedIndex == 0 && nowNanos - sentNanos > RESULT_TIMEOUT_NANOS) {
      renewing = false;
    }
    // Renews early where an entry is due, so that machines do not wait for the next renewal.
    boolean early = nowNanos - sentNanos >= RETRY_NANOS && local.expiryDue();
    // An instance that sees no grants must not make the others wait longer than they already do.
    if (!renewing && (early || nowNanos - nextNanos >= 0) && !local.logStopped()) {
      renewing = true;
      sentNanos = nowNanos;
      lastRenewal = new Command.Renew(name, incarnation, local.capacityReport());
      commands.add(lastRenewal);
    }
  }

  private void leave(long nowNanos, LocalView local, List<Command> commands) {
    boolean wasLeaving = leaving;
    leaving = local.mustLeave();
    if (leaveSent && !leaving) {
      reset(nowNanos); // The order is done, but the leave may still be on its way: joins again.
      return;
    }
    if (leaving && !wasLeaving) {
      leaveSentNanos = nowNanos - RESULT_TIMEOUT_NANOS;
    }
    if (leaving
        && local.clientsGone()
        && local.idle()
        && nowNanos - leaveSentNanos >= RESULT_TIMEOUT_NANOS) {
      leaveSentNanos = nowNanos;
      leaveSent = true;
      commands.add(new Command.Leave(name, incarnation));
    }
  }

  private void free(long nowNanos, LocalView local, List<Command> commands) {
    List<MaintenanceState.AwayMachine> drained = local.drainedMachines();
    drainedSince.keySet().retainAll(drained);
    freed.retainAll(drained);
    for (MaintenanceState.AwayMachine each : drained) {
      long since = drainedSince.computeIfAbsent(each, any -> nowNanos);
      if (nowNanos - since >= QUIET_NANOS && freed.add(each)) {
        commands.add(new Command.Free(name, incarnation, each.order(), each.machine()));
      }
    }
  }

  /**
   * Handles the result of a command.
   *
   * @param result null if it is unknown: the command may have been applied or not
   */
  public void onResult(Command command, CommandResult result, long nowNanos, LocalView local) {
    if (command instanceof Command.Join join) {
      if (state == State.JOINING && join.incarnation() == incarnation) {
        onJoinResult(result, nowNanos);
      }
    } else if (command instanceof Command.Renew renew) {
      if (state == State.JOINED && renew == lastRenewal) {
        lastRenewal = null; // A second result of this one must not count for the next renewal.
        onRenewResult(result, nowNanos, local);
      }
    } else if (command instanceof Command.Leave leave) {
      if (state == State.JOINED
          && leave.incarnation() == incarnation
          && result != null
          && result.ok()) {
        state = State.LEFT;
        leaving = false;
      }
    } else if (command instanceof Command.Free free
        && state == State.JOINED
        && free.incarnation() == incarnation
        && (result == null || !result.ok())) {
      freed.removeIf(each -> each.order() == free.order() && each.machine().equals(free.machine()));
    }
  }

  private void onJoinResult(CommandResult result, long nowNanos) {
    if (result != null && result.ok()) {
      state = State.CATCHING_UP;
      previousIncarnation = 0;
      return;
    }
    reset(nowNanos);
    if (result != null && result.message().equals(MaintenanceState.JOIN_SUPERSEDED)) {
      previousIncarnation = result.value();
      nextNanos = nowNanos;
    }
  }

  private void onRenewResult(CommandResult result, long nowNanos, LocalView local) {
    if (result == null) {
      renewing = false;
      nextNanos = nowNanos + RETRY_NANOS;
    } else if (!result.ok()) {
      reset(nowNanos); // Fenced.
    } else if (local.appliedIndex() < result.value()) {
      awaitedIndex = result.value();
    } else {
      renewed(local);
    }
  }

  /** The time between two renewals. */
  public static long renewalIntervalMillis(long leaseMillis) {
    return Math.min(MAX_RENEWAL_INTERVAL_MILLIS, leaseMillis / RENEWALS);
  }

  private void renewed(LocalView local) {
    renewing = false;
    long lease = local.leaseMillis() * MILLI;
    long until = sentNanos + lease;
    leaseUntilNanos = until - leaseUntilNanos > 0 ? until : leaseUntilNanos;
    nextNanos = sentNanos + renewalIntervalMillis(local.leaseMillis()) * MILLI;
  }

  /**
   * Whether the last renewal was accepted, but the instance's own log has not applied it for longer
   * than {@link #RESULT_TIMEOUT_NANOS}.
   */
  public boolean isLogStalled(long nowNanos) {
    return state == State.JOINED && awaitedIndex > 0 && nowNanos - sentNanos > RESULT_TIMEOUT_NANOS;
  }
}
