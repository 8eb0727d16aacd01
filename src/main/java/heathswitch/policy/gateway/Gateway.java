package heathswitch.policy.gateway;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decisions of one gateway of a site: to which peer site a call overflows if the site's own servers
 * have no room for it, if to any, and which calls of peer sites are admitted. Single-threaded; the
 * same events and seed give the same decisions. Times are readings of one monotonic clock; clocks
 * of different sites are never compared.
 */
public final class Gateway {
  /** Attempts of one call at peer sites. */
  static final int MAX_REMOTE_ATTEMPTS = 2;

  /** Share of a link's window that a call of no worth may use; the rest is scaled by worth. */
  static final double MIN_WINDOW_SHARE = 0.5;

  /** Weight of one sample in the mean delay of a class. */
  private static final double DELAY_WEIGHT = 0.05;

  private static final double LEVEL_WEIGHT = 0.1;

  /**
   * Upper bound of one sample, as in the decision module, so that one expensive call does not look
   * like a slow link.
   */
  private static final double MAX_SAMPLE = 2;

  /** Why a call was not forwarded to a peer site. */
  public enum NotForwardedReason {
    /** No usable link is up. */
    NO_LINK,
    /** The round trip and the delay at the peer site would exceed the time left. */
    NO_TIME,
    /** The windows are full, or the peer sites report that they have no room. */
    NO_ROOM,
    /** The call has already been forwarded as often as permitted. */
    TRIED
  }

  /** Result of checking the trail of a call from a peer, before the call is processed. */
  public enum TrailVerdict {
    GOOD,
    /** The trail cannot be parsed. */
    GARBLED,
    /** The trail does not end with the peer that sent the call. */
    FORGED,
    /** The call has already passed through this site, or was forwarded by more than one site. */
    BOUNCED
  }

  private final String site;
  private final List<RequestClass> classes;
  private final Map<String, Integer> classIndex = new HashMap<>();
  private final SplittableRandom random;
  private final List<PeerLink> links = new ArrayList<>();
  private final double[] classDelay;
  private final CongestionDetector congestion;
  private final PeerAdmission admission;
  private final long[] notForwarded = new long[NotForwardedReason.values().length];

  /** Mean delay over all links, in multiples of the mean delay of each call's class. */
  private double delayLevel = 1;

  public Gateway(String site, List<RequestClass> classes, long seed) {
    this.site = site;
    this.classes = List.copyOf(classes);
    this.random = new SplittableRandom(seed);
    this.classDelay = new double[classes.size()];
    for (int i = 0; i < classDelay.length; i++) {
      classIndex.put(classes.get(i).name(), i);
      classDelay[i] = classes.get(i).aimNanos() / 4.0;
    }
    this.congestion = new CongestionDetector(classDelay.length);
    this.admission = new PeerAdmission(congestion);
  }

  /** Adds the link to one gateway of a peer site; must be called before the start. */
  public PeerLink add(String peerSite) {
    PeerLink link = new PeerLink(peerSite, classDelay.length);
    links.add(link);
    return link;
  }

  // ---- calls to peer sites ----

  /**
   * Chooses a link for a call that has no room at this site, or returns null for none.
   *
   * @param earlierAttempts how often the call has been forwarded before
   */
  public PeerLink choose(
      long nowNanos, RequestClass requestClass, long leftNanos, int earlierAttempts) {
    if (earlierAttempts >= MAX_REMOTE_ATTEMPTS) {
      return notForwarded(NotForwardedReason.TRIED);
    }
    int index = classIndex.get(requestClass.name());
    double share = windowShare(index);
    int[] rooms = new int[links.size()];
    int totalRoom = 0;
    boolean usable = false;
    boolean inTime = false;
    for (int i = 0; i < rooms.length; i++) {
      PeerLink link = links.get(i);
      if (!link.up || link.drained || !link.roundTrip.isKnown()) {
        continue;
      }
      usable = true;
      if (link.roundTrip.upperBoundNanos() + link.remoteDelay[index] >= leftNanos) {
        continue;
      }
      inTime = true;
      rooms[i] = Math.max(0, link.room(nowNanos, share));
      totalRoom += rooms[i];
    }
    if (totalRoom == 0) {
      return notForwarded(
          !usable
              ? NotForwardedReason.NO_LINK
              : !inTime ? NotForwardedReason.NO_TIME : NotForwardedReason.NO_ROOM);
    }
    // Weighted random choice. If the link with the most room were taken, all gateways of this site
    // would choose the same one.
    int drawn = random.nextInt(totalRoom);
    for (int i = 0; i < rooms.length; i++) {
      drawn -= rooms[i];
      if (drawn < 0) {
        links.get(i).onSent();
        return links.get(i);
      }
    }
    throw new IllegalStateException("weighted choice selected no link");
  }

  private PeerLink notForwarded(NotForwardedReason reason) {
    notForwarded[reason.ordinal()]++;
    return null;
  }

  /** Share of a link's window that a class may use. */
  private double windowShare(int index) {
    return MIN_WINDOW_SHARE + (1 - MIN_WINDOW_SHARE) * relativeWorth(index);
  }

  /** From 0 to 1, where 1 is the class with the highest worth for the time that it takes. */
  private double relativeWorth(int index) {
    double best = 0;
    for (int i = 0; i < classDelay.length; i++) {
      best = Math.max(best, classes.get(i).worth() / classDelay[i]);
    }
    return best > 0 ? classes.get(index).worth() / classDelay[index] / best : 1;
  }

  /** Returns the part of the caller's time that the peer site may use: less the round trip. */
  public long remoteTimeLeft(PeerLink link, long leftNanos) {
    return leftNanos - link.roundTrip.smoothedNanos();
  }

  /** A call has ended for which a link was chosen. */
  public void onEnded(
      long nowNanos, PeerLink link, RequestClass requestClass, Outcome outcome, long tookNanos) {
    long sentNanos = nowNanos - tookNanos;
    int inFlight = link.inFlight--;
    switch (outcome) {
      case OK ->
          onServedRemotely(
              nowNanos, link, classIndex.get(requestClass.name()), sentNanos, inFlight);
      case REFUSED, TIMEOUT, RESET, CONNECT_FAILED -> {
        if (!link.window.cutSince(sentNanos)) {
          link.window.cut(nowNanos);
        }
      }
      default -> {}
    }
  }

  private void onServedRemotely(
      long nowNanos, PeerLink link, int index, long sentNanos, int inFlight) {
    long tookNanos = nowNanos - sentNanos;
    double delayRatio = tookNanos / classDelay[index];
    // A class that may use only a part of the window counts as using all of it once that part is
    // full.
    link.window.onCompletion(
        nowNanos, sentNanos, delayRatio / delayLevel, (int) (inFlight / windowShare(index)));
    delayLevel += LEVEL_WEIGHT * (Math.min(delayRatio, MAX_SAMPLE) - delayLevel);
    classDelay[index] += DELAY_WEIGHT * (tookNanos - classDelay[index]);
  }

  /**
   * An answer has arrived over a link.
   *
   * @param tookNanos the time from the call to its answer
   * @param remoteNanos the part of it spent at the peer site, as reported by that site
   * @param served whether the call was served; the time of a refusal is not added to the remote
   *     delay, because it does not predict how long the next call takes
   * @param room the room that the peer site reports
   */
  public void onAnswer(
      long nowNanos,
      PeerLink link,
      RequestClass requestClass,
      long tookNanos,
      long remoteNanos,
      boolean served,
      int room) {
    long remote = Math.max(0, Math.min(tookNanos, remoteNanos));
    link.roundTrip.addSample(tookNanos - remote);
    link.onRoomReport(nowNanos, room);
    if (!served) {
      return;
    }
    int index = classIndex.get(requestClass.name());
    double previous = link.remoteDelay[index];
    link.remoteDelay[index] =
        previous == 0 ? remote : previous + DELAY_WEIGHT * (remote - previous);
  }

  /** A PING has been answered over a link. */
  public void onRoundTrip(PeerLink link, long nanos) {
    link.roundTrip.addSample(nanos);
  }

  /** The link can be used. */
  public void onUp(long nowNanos, PeerLink link) {
    link.onUp(nowNanos);
  }

  /** The link accepts no more calls, without having broken: another connection replaces it. */
  public void onLeaving(PeerLink link) {
    link.onLeaving();
  }

  /**
   * The link broke or could not be established. Returns the backoff in nanoseconds before the next
   * attempt to connect.
   */
  public long onBroken(long nowNanos, PeerLink link) {
    return link.onBroken(nowNanos, random.nextDouble());
  }

  /** Takes a link out of use for an operator, or returns it; its calls in flight finish. */
  public void drain(PeerLink link, boolean drained) {
    link.drained = drained;
  }

  // ---- calls from peer sites ----

  /** Checks the trail of a call that an authenticated peer sent. */
  public TrailVerdict checkTrail(String peer, CharSequence trailText) {
    Trail trail = Trail.parse(trailText);
    if (trail == null) {
      return TrailVerdict.GARBLED;
    }
    if (!trail.lastSite().equals(peer)) {
      return TrailVerdict.FORGED;
    }
    // A gateway never forwards a call that came from another site, so a longer trail shows a
    // routing error.
    return trail.sites().contains(site) || trail.sites().size() > 1
        ? TrailVerdict.BOUNCED
        : TrailVerdict.GOOD;
  }

  /** Admits a call of a peer site if there is room; then {@link #onAdmittedEnd} must follow. */
  public boolean tryAdmit(long nowNanos) {
    return admission.tryAdmit(nowNanos);
  }

  /** An admitted call of a peer site has ended. */
  public void onAdmittedEnd(
      long nowNanos, long admittedNanos, RequestClass requestClass, boolean served) {
    int index = classIndex.get(requestClass.name());
    long took = nowNanos - admittedNanos;
    double delayRatio =
        served ? Math.max(1e-3, took / Math.max(1, congestion.meanDelay(index, took))) : 0;
    admission.onEnd(nowNanos, admittedNanos, delayRatio);
  }

  /** Returns the number of calls of peer sites that would be admitted now. */
  public int room(long nowNanos) {
    return admission.room(nowNanos);
  }

  /**
   * This site's servers had no room for a call.
   *
   * @param own whether the call came from a client of this site, not from a peer site
   */
  public void onLocalRefusal(long nowNanos, boolean own) {
    admission.onRefusal(nowNanos, own);
  }

  /** This site's servers have served a call. */
  public void onLocalAnswer(long nowNanos, RequestClass requestClass, long tookNanos) {
    congestion.addSample(nowNanos, classIndex.get(requestClass.name()), tookNanos);
  }

  // ---- for operators ----

  public String site() {
    return site;
  }

  /** Returns the calls since the start that were not forwarded, by the ordinal of the reason. */
  public long notForwarded(int reasonOrdinal) {
    return notForwarded[reasonOrdinal];
  }

  public boolean isCongested(long nowNanos) {
    return congestion.isCongested(nowNanos);
  }

  /** Returns the number of admitted calls of peer sites that have not ended. */
  public int admittedCalls() {
    return admission.admitted();
  }

  /** Returns the current limit of admitted calls, disregarding congestion and recent refusals. */
  public int admissionWindow() {
    return admission.windowSize();
  }
}
