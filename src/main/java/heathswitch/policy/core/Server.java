package heathswitch.policy.core;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.SubsetRole;
import java.util.LinkedHashSet;
import java.util.Set;

/** What one balancer knows of one server. */
final class Server {
  /** First rest after a cut for cause; doubled with each further one. */
  static final long REST_NANOS = 500_000_000L;

  static final int MOST_DOUBLINGS = 4;

  /** Weight of one result in the server's share of errors. */
  static final double ERROR_WEIGHT = 0.2;

  final long id;
  String zone;
  long cell;
  boolean near;
  SubsetRole part = SubsetRole.ANY;
  Health health = Health.GONE;

  /** As discovery tells it, by its own clock; 0 for long ago. */
  long startedNanos;

  /** Since when it is cold, by this balancer's clock. */
  long coldSinceNanos;

  private long beforeStartedNanos = -1;
  private long beforeColdSinceNanos;
  double weight = 1;
  int speaks;

  /** Its next turn among servers of other weights, in the virtual time of its set. */
  double due;

  final DelayWindow window = new DelayWindow();
  int inFlight;

  /** Calls in flight whose answer has not begun, oldest first. */
  private final Set<Request.Attempt> owed = new LinkedHashSet<>();

  long heardNanos = Long.MIN_VALUE / 2;
  long usedNanos = Long.MIN_VALUE / 2;

  /** When the newest attempt was made that it took and served. */
  long tookNanos = Long.MIN_VALUE / 2;

  long restUntilNanos = Long.MIN_VALUE / 2;
  int failures;
  double errorShare;
  double coldTokens;
  long coldFilledNanos;
  int poolIndex = -1;
  int memberIndex = -1;

  Server(long id) {
    this.id = id;
  }

  void describe(ServerEntry entry, String ownZone) {
    zone = entry.zone();
    cell = entry.cell();
    part = entry.role();
    near = part == SubsetRole.OWN || zone == null || zone.equals(ownZone);
    health = entry.health();
    speaks = entry.protocols();
    weight = entry.weight() > 0 && entry.weight() < 1e9 ? entry.weight() : 1;
  }

  /**
   * Another time is told for its last start. One that stood before is no new start: it was only
   * presumed to have restarted meanwhile.
   *
   * @return whether it is a new start
   */
  boolean started(long toNanos, long sinceNanos) {
    boolean stoodBefore = toNanos == beforeStartedNanos;
    long coldSince = stoodBefore ? beforeColdSinceNanos : sinceNanos;
    beforeStartedNanos = startedNanos;
    beforeColdSinceNanos = coldSinceNanos;
    startedNanos = toNanos;
    coldSinceNanos = coldSince;
    return !stoodBefore;
  }

  boolean resting(long nowNanos) {
    return restUntilNanos > nowNanos;
  }

  /** Silent: nothing at all came back for as long as makes its oldest call overdue. */
  boolean silent(long nowNanos) {
    if (owed.isEmpty()) {
      return false;
    }
    Request.Attempt head = owed.iterator().next();
    long quiet = nowNanos - Math.max(heardNanos, head.sentNanos);
    return quiet > head.overdueNanos - head.sentNanos;
  }

  boolean hasRoom(long nowNanos) {
    return inFlight < window.size() && !resting(nowNanos) && !silent(nowNanos);
  }

  /** Leaves service for a while: longer each time, and never in step with other balancers. */
  void rest(long nowNanos, double jitter) {
    window.leaveRoom(inFlight - owed.size());
    long base = REST_NANOS << Math.min(failures, MOST_DOUBLINGS);
    failures++;
    restUntilNanos = nowNanos + (long) (base * (0.5 + jitter));
  }

  void onSend(Request.Attempt attempt) {
    inFlight++;
    usedNanos = attempt.sentNanos;
    owed.add(attempt);
  }

  /** It has answered; what still comes may take as long as the caller likes. */
  void onFirst(Request.Attempt attempt) {
    owed.remove(attempt);
    attempt.begun = true;
  }

  void onEnd(Request.Attempt attempt) {
    inFlight--;
    owed.remove(attempt);
  }
}
