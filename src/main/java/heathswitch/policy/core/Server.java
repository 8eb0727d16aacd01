package heathswitch.policy.core;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.SubsetRole;
import java.util.LinkedHashSet;
import java.util.Set;

/** What one balancer knows of one server. */
final class Server {
  /** First rest after a cut for cause; doubled with each further one. */
  static final long EJECTION_NANOS = 500_000_000L;

  static final int MAX_DOUBLINGS = 4;

  /** Weight of one result in the server's share of errors. */
  static final double ERROR_SAMPLE_WEIGHT = 0.2;

  final long id;
  String zone;
  long cell;
  boolean near;
  SubsetRole role = SubsetRole.ANY;
  Health health = Health.GONE;

  /** As discovery tells it, by its own clock; 0 for long ago. */
  long startedNanos;

  /** Since when it is cold, by this balancer's clock. */
  long coldSinceNanos;

  private long previousStartedNanos = -1;
  private long previousColdSinceNanos;
  double weight = 1;
  int protocols;

  /** Its next turn among servers of other weights, in the virtual time of its set. */
  double virtualTurn;

  final DelayWindow window = new DelayWindow();
  int inFlight;

  /** Calls in flight whose answer has not begun, oldest first. */
  private final Set<Request.Attempt> unanswered = new LinkedHashSet<>();

  long lastResponseNanos = Long.MIN_VALUE / 2;
  long lastUsedNanos = Long.MIN_VALUE / 2;

  /** When the newest attempt was made that it took and served. */
  long lastServedSentNanos = Long.MIN_VALUE / 2;

  long ejectedUntilNanos = Long.MIN_VALUE / 2;
  int consecutiveEjections;
  double errorRate;
  double coldTokens;
  long coldFilledNanos;
  int poolIndex = -1;
  int memberIndex = -1;

  Server(long id) {
    this.id = id;
  }

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
   * Another time is told for its last start. One that stood before is no new start: it was only
   * presumed to have restarted meanwhile.
   *
   * @return whether it is a new start
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

  boolean ejected(long nowNanos) {
    return ejectedUntilNanos > nowNanos;
  }

  /** Silent: nothing at all came back for as long as makes its oldest call overdue. */
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

  /** Leaves service for a while: longer each time, and never in step with other balancers. */
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

  /** It has answered; what still comes may take as long as the caller likes. */
  void onAnswerBegun(Request.Attempt attempt) {
    unanswered.remove(attempt);
    attempt.answerBegun = true;
  }

  void onEnd(Request.Attempt attempt) {
    inFlight--;
    unanswered.remove(attempt);
  }
}
