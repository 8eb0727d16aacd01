package heathswitch.policy.core;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.SubsetRole;
import java.util.LinkedHashSet;
import java.util.Set;

/** The state that one balancer keeps about one server. */
final class Server {
  /** Mean duration of the first ejection; doubled with each further one. */
  static final long EJECTION_NANOS = 500_000_000L;

  /** The duration of an ejection is doubled at most this often. */
  static final int MAX_DOUBLINGS = 4;

  /** Weight of one result in the server's error rate. */
  static final double ERROR_SAMPLE_WEIGHT = 0.2;

  final long id;
  String zone;
  long cell;

  /** Whether it is in the balancer's zone or subset. */
  boolean near;

  SubsetRole role = SubsetRole.ANY;
  Health health = Health.GONE;

  /** Start time that discovery reports, by discovery's clock; 0 for long ago. */
  long startedNanos;

  /** Estimated start time by this balancer's clock; warm-up counts from here. */
  long coldSinceNanos;

  private long previousStartedNanos = -1;
  private long previousColdSinceNanos;
  double weight = 1;
  int protocols;

  /** Its next turn in the virtual time of its set, for fair queueing by weight. */
  double virtualTurn;

  final DelayWindow window = new DelayWindow();
  int inFlight;

  /** Attempts in flight whose answer has not begun, oldest first. */
  private final Set<Request.Attempt> unanswered = new LinkedHashSet<>();

  long lastResponseNanos = Long.MIN_VALUE / 2;
  long lastUsedNanos = Long.MIN_VALUE / 2;

  /** Send time of the newest attempt that the server has served. */
  long lastServedSentNanos = Long.MIN_VALUE / 2;

  long ejectedUntilNanos = Long.MIN_VALUE / 2;

  /** Ejections since the last success. */
  int consecutiveEjections;

  double errorRate;

  /** Token bucket of the calls that the server may take while it is cold. */
  double coldTokens;

  long coldFilledNanos;

  /** Index in its pool of the working set; -1 for none. */
  int poolIndex = -1;

  /** Index among the members of the working set; -1 for none. */
  int memberIndex = -1;

  Server(long id) {
    this.id = id;
  }

  /** Takes over what discovery lists; a weight that is not usable counts as 1. */
  void update(ServerEntry entry, String ownZone) {
    zone = entry.zone();
    cell = entry.cell();
    role = entry.role();
    near = role == SubsetRole.OWN || zone == null || zone.equals(ownZone);
    health = entry.health();
    protocols = entry.protocols();
    weight = entry.weight() > 0 && entry.weight() < 1e9 ? entry.weight() : 1;
  }

  /**
   * Handles a change of the reported start time. A return to the previous one is not a restart: the
   * server had only been presumed to have restarted.
   *
   * @return whether the server has restarted
   */
  boolean startTimeChanged(long newStartedNanos, long newColdSinceNanos) {
    boolean restoresPrevious = newStartedNanos == previousStartedNanos;
    long coldSince = restoresPrevious ? previousColdSinceNanos : newColdSinceNanos;
    previousStartedNanos = startedNanos;
    previousColdSinceNanos = coldSinceNanos;
    startedNanos = newStartedNanos;
    coldSinceNanos = coldSince;
    return !restoresPrevious;
  }

  /** Whether the server is out of use after a cut of its window. */
  boolean ejected(long nowNanos) {
    return ejectedUntilNanos > nowNanos;
  }

  /**
   * Whether nothing has come back from the server for longer than it takes its oldest unanswered
   * attempt to become overdue.
   */
  boolean unresponsive(long nowNanos) {
    if (unanswered.isEmpty()) {
      return false;
    }
    Request.Attempt oldest = unanswered.iterator().next();
    long quietNanos = nowNanos - Math.max(lastResponseNanos, oldest.sentNanos);
    return quietNanos > oldest.overdueNanos - oldest.sentNanos;
  }

  boolean hasRoom(long nowNanos) {
    return inFlight < window.size() && !ejected(nowNanos) && !unresponsive(nowNanos);
  }

  /**
   * Ejects the server, for twice as long with each consecutive ejection.
   *
   * @param jitter from 0 to 1, so that balancers do not return to the server all at once
   */
  void eject(long nowNanos, double jitter) {
    window.reserveFor(inFlight - unanswered.size());
    long baseNanos = EJECTION_NANOS << Math.min(consecutiveEjections, MAX_DOUBLINGS);
    consecutiveEjections++;
    ejectedUntilNanos = nowNanos + (long) (baseNanos * (0.5 + jitter));
  }

  void onSend(Request.Attempt attempt) {
    inFlight++;
    lastUsedNanos = attempt.sentNanos;
    unanswered.add(attempt);
  }

  /** An answer has begun; from now on the reading client sets its pace. */
  void onAnswerBegun(Request.Attempt attempt) {
    unanswered.remove(attempt);
    attempt.answerBegun = true;
  }

  /** The answer has begun to arrive and then paused; the server's own work is done by then. */
  void onAnswerStalled(Request.Attempt attempt) {
    attempt.stalled = true;
    releaseSlot(attempt);
  }

  void onEnd(Request.Attempt attempt) {
    if (!attempt.stalled) {
      releaseSlot(attempt);
    }
  }

  private void releaseSlot(Request.Attempt attempt) {
    inFlight--;
    unanswered.remove(attempt);
  }
}
