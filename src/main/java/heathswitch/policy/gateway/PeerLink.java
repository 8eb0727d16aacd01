package heathswitch.policy.gateway;

import heathswitch.policy.core.DelayWindow;

/** What a gateway knows of one gateway of another site. Its calls go through a delay window. */
public final class PeerLink {
  /** First rest after a break; doubled with each further one. */
  static final long BASE_BACKOFF_NANOS = 250_000_000L;

  /**
   * A link is kept out for no longer than this and a quarter of it, however often it broke: its
   * calls would be refused at home meanwhile.
   */
  static final long MAX_BACKOFF_NANOS = 4_000_000_000L;

  /** One break is forgiven for each such time that the link stays up. */
  static final long FORGIVE_NANOS = 10_000_000_000L;

  private static final int MOST_BREAKS = 6;

  /** News of the far site's room that is older counts as none. */
  static final long ROOM_REPORT_NANOS = 1_000_000_000L;

  static final int MOST_ROOM = 10_000;

  final String site;
  final DelayWindow window = new DelayWindow();
  final RoundTripEstimator trip = new RoundTripEstimator();

  /** What the far site itself takes at present, by class; 0 for not known. */
  final double[] remoteDelay;

  boolean up;
  boolean drained;
  int inFlight;
  private long upSinceNanos;
  private int breaks;
  private int room;
  private int sentSinceNews;
  private long newsNanos;
  private boolean news;

  PeerLink(String site, int classes) {
    this.site = site;
    this.remoteDelay = new double[classes];
  }

  void onUp(long nowNanos) {
    up = true;
    upSinceNanos = nowNanos;
  }

  /** Nothing more may be sent, though it did not break. */
  void onLeaving() {
    up = false;
    trip.forget();
    news = false;
  }

  /**
   * It broke, or could not be had.
   *
   * @param jitter from 0 to 1
   * @return nanoseconds until it may be tried again
   */
  long onBroken(long nowNanos, double jitter) {
    long forgiven = up ? (nowNanos - upSinceNanos) / FORGIVE_NANOS : 0;
    breaks = (int) Math.min(MOST_BREAKS, Math.max(0, breaks - forgiven) + 1);
    onLeaving();
    window.cut(nowNanos); // It returns by slow start.
    long rest = Math.min(MAX_BACKOFF_NANOS, BASE_BACKOFF_NANOS << breaks - 1);
    return (long) (rest * (0.75 + 0.5 * jitter));
  }

  void onRoomReport(long nowNanos, int said) {
    room = Math.max(0, Math.min(MOST_ROOM, said));
    newsNanos = nowNanos;
    sentSinceNews = 0;
    news = true;
  }

  void onSent() {
    inFlight++;
    sentSinceNews++;
  }

  /** What the far site is believed to have room for, or null where there is no news. */
  Integer believed(long nowNanos) {
    boolean fresh = news && nowNanos - newsNanos < ROOM_REPORT_NANOS;
    return fresh ? Math.max(0, room - sentSinceNews) : null;
  }

  /**
   * Calls that may be sent now.
   *
   * @param share of the window that a call of this worth may use
   */
  int room(long nowNanos, double share) {
    // Rounded up: a window that is never used by half does not grow, and of three one is less.
    int own = (int) Math.ceil(window.size() * share) - inFlight;
    Integer believed = believed(nowNanos);
    return believed == null ? own : Math.min(own, believed);
  }

  public String site() {
    return site;
  }

  /** What operators are shown. */
  public View view(long nowNanos) {
    return new View(up, drained, inFlight, window.size(), believed(nowNanos), trip.nanos(), breaks);
  }

  /**
   * A look at a link.
   *
   * @param room null where there is no news that counts
   * @param tripNanos there and back
   * @param breaks that are not forgiven yet
   */
  public record View(
      boolean up,
      boolean drained,
      int inFlight,
      int window,
      Integer room,
      long tripNanos,
      int breaks) {}
}
