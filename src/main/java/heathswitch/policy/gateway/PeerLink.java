package heathswitch.policy.gateway;

import heathswitch.policy.core.DelayWindow;

/**
 * The state of the link to one gateway of a peer site: whether it can be used, its round-trip time,
 * the delay window that limits its calls in flight, and the backoff after it broke.
 */
public final class PeerLink {
  /** Backoff after the first break; doubled with each further break. */
  static final long BASE_BACKOFF_NANOS = 250_000_000L;

  /**
   * Longest backoff before jitter, which adds up to a quarter. However often a link broke, it is
   * not kept out of use for longer, because its calls would be refused locally meanwhile.
   */
  static final long MAX_BACKOFF_NANOS = 4_000_000_000L;

  /** For each such period that the link stays up, one break is no longer counted. */
  static final long FORGIVE_NANOS = 10_000_000_000L;

  private static final int MAX_BREAKS = 6;

  /** A report of the peer site's room is ignored when it is older than this. */
  static final long ROOM_REPORT_NANOS = 1_000_000_000L;

  static final int MAX_ROOM = 10_000;

  final String site;
  final DelayWindow window = new DelayWindow();
  final RoundTripEstimator roundTrip = new RoundTripEstimator();

  /** Mean time that the peer site itself takes, by class index; 0 if not known. */
  final double[] remoteDelay;

  boolean up;
  boolean drained;
  int inFlight;
  private long upSinceNanos;
  private int breaks;
  private int reportedRoom;
  private int sentSinceReport;
  private long reportedNanos;
  private boolean roomReported;

  PeerLink(String site, int classes) {
    this.site = site;
    this.remoteDelay = new double[classes];
  }

  void onUp(long nowNanos) {
    up = true;
    upSinceNanos = nowNanos;
  }

  /** The link accepts no more calls, without having broken. */
  void onLeaving() {
    up = false;
    roundTrip.reset();
    roomReported = false;
  }

  /**
   * The link broke or could not be established.
   *
   * @param jitter from 0 to 1
   * @return the backoff in nanoseconds before the next attempt to connect
   */
  long onBroken(long nowNanos, double jitter) {
    long forgiven = up ? (nowNanos - upSinceNanos) / FORGIVE_NANOS : 0;
    breaks = (int) Math.min(MAX_BREAKS, Math.max(0, breaks - forgiven) + 1);
    onLeaving();
    window.cut(nowNanos); // The link returns with slow start.
    long backoff = Math.min(MAX_BACKOFF_NANOS, BASE_BACKOFF_NANOS << breaks - 1);
    return (long) (backoff * (0.75 + 0.5 * jitter));
  }

  /** The peer site has reported how many more calls it would admit. */
  void onRoomReport(long nowNanos, int reported) {
    reportedRoom = Math.max(0, Math.min(MAX_ROOM, reported));
    reportedNanos = nowNanos;
    sentSinceReport = 0;
    roomReported = true;
  }

  void onSent() {
    inFlight++;
    sentSinceReport++;
  }

  /**
   * Returns the room left at the peer site: the last report less the calls sent since then, or null
   * if there is no recent report.
   */
  Integer remoteRoom(long nowNanos) {
    boolean fresh = roomReported && nowNanos - reportedNanos < ROOM_REPORT_NANOS;
    return fresh ? Math.max(0, reportedRoom - sentSinceReport) : null;
  }

  /**
   * Returns the number of calls that may be sent now.
   *
   * @param windowShare the share of the window that a call of this worth may use
   */
  int room(long nowNanos, double windowShare) {
    // Rounded up, because a window grows only if at least half of it is in use: half of a window of
    // three, rounded down, is one, which is less than that.
    int windowRoom = (int) Math.ceil(window.size() * windowShare) - inFlight;
    Integer remoteRoom = remoteRoom(nowNanos);
    return remoteRoom == null ? windowRoom : Math.min(windowRoom, remoteRoom);
  }

  public String site() {
    return site;
  }

  /** Returns a snapshot for operators. */
  public View view(long nowNanos) {
    return new View(
        up,
        drained,
        inFlight,
        window.size(),
        remoteRoom(nowNanos),
        roundTrip.smoothedNanos(),
        breaks);
  }

  /**
   * A snapshot of a link.
   *
   * @param remoteRoom the room at the peer site, or null if there is no recent report
   * @param breaks the breaks that still count for the backoff
   */
  public record View(
      boolean up,
      boolean drained,
      int inFlight,
      int window,
      Integer remoteRoom,
      long roundTripNanos,
      int breaks) {}
}
