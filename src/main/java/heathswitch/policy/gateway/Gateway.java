package heathswitch.policy.gateway;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One gateway of one site: to which other site a call goes that its own cannot carry, or that it is
 * kept; and which calls of other sites are taken. Single-threaded; the same events and seed give
 * the same decisions. Times are readings of one clock that never steps, and nothing compares the
 * clocks of two sites.
 */
public final class Gateway {
  /** Tries elsewhere of one call, each at another link than the last where there is one. */
  static final int MOST_TRIES = 2;

  /** Of a link's window, what a call that is worth nothing may use; the rest goes by worth. */
  static final double LEAST_SHARE = 0.5;

  /** Weight of one result in what a class takes at present. */
  private static final double WEIGHT = 0.05;

  private static final double LEVEL_WEIGHT = 0.1;

  /** As in the decision module: one heavy call must not look like a slow link. */
  private static final double SAMPLE_BOUND = 2;

  /** Why a call was kept. */
  public enum NotForwardedReason {
    /** No link is up that may be used. */
    NO_LINK,
    /** The way and the far site's present delay would take longer than is left. */
    NO_TIME,
    /** Windows are full, or the far sites say that they are. */
    NO_ROOM,
    /** It was sent away as often as may be. */
    TRIED
  }

  /** What becomes of a call that a peer brings, before anything is done for it. */
  public enum TrailVerdict {
    GOOD,
    /** Its trail cannot be read. */
    GARBLED,
    /** Its trail does not end with the peer that brings it. */
    FORGED,
    /** It has been here, or was sent on by another site. */
    BOUNCED
  }

  private final String site;
  private final List<RequestClass> classes;
  private final Map<String, Integer> index = new HashMap<>();
  private final SplittableRandom random;
  private final List<PeerLink> links = new ArrayList<>();
  private final double[] classDelay;
  private final CongestionDetector strain;
  private final PeerAdmission lending;
  private final long[] kept = new long[NotForwardedReason.values().length];
  private double level = 1;

  public Gateway(String site, List<RequestClass> classes, long seed) {
    this.site = site;
    this.classes = List.copyOf(classes);
    this.random = new SplittableRandom(seed);
    this.classDelay = new double[classes.size()];
    for (int i = 0; i < classDelay.length; i++) {
      index.put(classes.get(i).name(), i);
      classDelay[i] = classes.get(i).aimNanos() / 4.0;
    }
    this.strain = new CongestionDetector(classDelay.length);
    this.lending = new PeerAdmission(strain);
  }

  /** One gateway of another site; to be added before the start. */
  public PeerLink add(String farSite) {
    PeerLink link = new PeerLink(farSite, classDelay.length);
    links.add(link);
    return link;
  }

  // ---- away ----

  /**
   * The link for a call that has no room at home, or null.
   *
   * @param tries how often it was sent away before
   */
  public PeerLink choose(long nowNanos, RequestClass type, long leftNanos, int tries) {
    if (tries >= MOST_TRIES) {
      return kept(NotForwardedReason.TRIED);
    }
    int of = index.get(type.name());
    double share = share(of);
    int[] rooms = new int[links.size()];
    int all = 0;
    boolean usable = false;
    boolean inTime = false;
    for (int i = 0; i < rooms.length; i++) {
      PeerLink link = links.get(i);
      if (!link.up || link.drained || !link.trip.known()) {
        continue;
      }
      usable = true;
      if (link.trip.bound() + link.remoteDelay[of] >= leftNanos) {
        continue;
      }
      inTime = true;
      rooms[i] = Math.max(0, link.room(nowNanos, share));
      all += rooms[i];
    }
    if (all == 0) {
      return kept(
          !usable
              ? NotForwardedReason.NO_LINK
              : !inTime ? NotForwardedReason.NO_TIME : NotForwardedReason.NO_ROOM);
    }
    // Drawn by room and not the one with most of it: all gateways here would take the same one.
    int at = random.nextInt(all);
    for (int i = 0; i < rooms.length; i++) {
      at -= rooms[i];
      if (at < 0) {
        links.get(i).onSent();
        return links.get(i);
      }
    }
    throw new IllegalStateException("no link drawn");
  }

  private PeerLink kept(NotForwardedReason why) {
    kept[why.ordinal()]++;
    return null;
  }

  /** Of a link's window, what a class may use. */
  private double share(int of) {
    return LEAST_SHARE + (1 - LEAST_SHARE) * relativeWorth(of);
  }

  /** From 0 to 1, where 1 is the class that is worth most for the work that it takes. */
  private double relativeWorth(int of) {
    double best = 0;
    for (int i = 0; i < classDelay.length; i++) {
      best = Math.max(best, classes.get(i).worth() / classDelay[i]);
    }
    return best > 0 ? classes.get(of).worth() / classDelay[of] / best : 1;
  }

  /** Of the caller's time, what the far site may use: the way there and back is taken off. */
  public long remoteTimeLeft(PeerLink link, long leftNanos) {
    return leftNanos - link.trip.nanos();
  }

  /** A call that was chosen a link is over. */
  public void onEnded(
      long nowNanos, PeerLink link, RequestClass type, Outcome outcome, long tookNanos) {
    long sentNanos = nowNanos - tookNanos;
    int flight = link.inFlight--;
    switch (outcome) {
      case OK -> served(nowNanos, link, index.get(type.name()), sentNanos, flight);
      case REFUSED, TIMEOUT, RESET, CONNECT_FAILED -> {
        if (!link.window.cutSince(sentNanos)) {
          link.window.cut(nowNanos);
        }
      }
      default -> {}
    }
  }

  private void served(long nowNanos, PeerLink link, int of, long sentNanos, int flight) {
    long tookNanos = nowNanos - sentNanos;
    double bare = tookNanos / classDelay[of];
    // A class that may use a part of the window has used it when it has filled that part.
    link.window.onCompletion(nowNanos, sentNanos, bare / level, (int) (flight / share(of)));
    level += LEVEL_WEIGHT * (Math.min(bare, SAMPLE_BOUND) - level);
    classDelay[of] += WEIGHT * (tookNanos - classDelay[of]);
  }

  /**
   * An answer has come over a link.
   *
   * @param tookNanos from the call to its answer
   * @param farNanos of it in the far site, as that says
   * @param served whether it was served; how long a refusal takes says nothing of the next call
   * @param room that the far site says to have
   */
  public void onAnswer(
      long nowNanos,
      PeerLink link,
      RequestClass type,
      long tookNanos,
      long farNanos,
      boolean served,
      int room) {
    long far = Math.max(0, Math.min(tookNanos, farNanos));
    link.trip.sample(tookNanos - far);
    link.onRoomReport(nowNanos, room);
    if (!served) {
      return;
    }
    int of = index.get(type.name());
    double before = link.remoteDelay[of];
    link.remoteDelay[of] = before == 0 ? far : before + WEIGHT * (far - before);
  }

  /** Something has come back over a link that the far site only returned. */
  public void onRoundTrip(PeerLink link, long nanos) {
    link.trip.sample(nanos);
  }

  /** The link can be used. */
  public void onUp(long nowNanos, PeerLink link) {
    link.onUp(nowNanos);
  }

  /** The link takes no more calls, though it did not break: another connection takes its place. */
  public void onLeaving(PeerLink link) {
    link.onLeaving();
  }

  /** The link broke or could not be had; nanoseconds until it may be tried again. */
  public long onBroken(long nowNanos, PeerLink link) {
    return link.onBroken(nowNanos, random.nextDouble());
  }

  /** An operator takes a link out, or puts it back: calls that are out finish. */
  public void drain(PeerLink link, boolean out) {
    link.drained = out;
  }

  // ---- from other sites ----

  /** Judges the trail of a call that an authenticated peer brings. */
  public TrailVerdict checkTrail(String peer, CharSequence trailText) {
    Trail trail = Trail.parse(trailText);
    if (trail == null) {
      return TrailVerdict.GARBLED;
    }
    if (!trail.lastSite().equals(peer)) {
      return TrailVerdict.FORGED;
    }
    // Nobody sends on what came from another site, so a longer trail has gone astray.
    return trail.sites().contains(site) || trail.sites().size() > 1
        ? TrailVerdict.BOUNCED
        : TrailVerdict.GOOD;
  }

  /** Whether another site's call is taken; then {@link #onAdmittedEnd} has to follow. */
  public boolean tryAdmit(long nowNanos) {
    return lending.take(nowNanos);
  }

  /** A call that was taken of another site is over. */
  public void onAdmittedEnd(long nowNanos, long takenNanos, RequestClass type, boolean served) {
    int of = index.get(type.name());
    long took = nowNanos - takenNanos;
    double ratio = served ? Math.max(1e-3, took / Math.max(1, strain.delay(of, took))) : 0;
    lending.ended(nowNanos, takenNanos, ratio);
  }

  /** Calls of other sites that would be taken now. */
  public int room(long nowNanos) {
    return lending.room(nowNanos);
  }

  /** This site's servers had no room for a call, of its own or of another site. */
  public void onLocalRefusal(long nowNanos, boolean own) {
    lending.refused(nowNanos, own);
  }

  /** This site's servers have served a call. */
  public void onLocalAnswer(long nowNanos, RequestClass type, long tookNanos) {
    strain.served(nowNanos, index.get(type.name()), tookNanos);
  }

  // ---- for operators ----

  public String site() {
    return site;
  }

  /** Calls that were kept, by why, since the start. */
  public long notForwarded(int ordinal) {
    return kept[ordinal];
  }

  public boolean isCongested(long nowNanos) {
    return strain.isCongested(nowNanos);
  }

  /** Calls of other sites that are being served. */
  public int admittedCalls() {
    return lending.lent();
  }

  /** How many of them there may be at a time, while nothing else forbids it. */
  public int admissionWindow() {
    return lending.size();
  }
}
