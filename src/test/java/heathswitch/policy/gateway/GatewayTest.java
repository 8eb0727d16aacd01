package heathswitch.policy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.gateway.Gateway.NotForwardedReason;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which calls are forwarded over which link, in virtual time. */
class GatewayTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  static final RequestClass VIEW = requestClass("view", RequestClass.Effect.SAFE, 1);
  static final RequestClass PUBLISH = requestClass("publish", RequestClass.Effect.UNSAFE, 4);
  static final List<RequestClass> CLASSES = List.of(VIEW, PUBLISH);

  private final Gateway gateway = new Gateway("hat-yai", CLASSES, 7);
  private long now = 10 * SECOND;

  private static RequestClass requestClass(String name, RequestClass.Effect effect, double worth) {
    return new RequestClass(
        name, effect, RequestClass.Group.ALL, 500 * MS, 2 * SECOND, 0, worth, 0, false);
  }

  private PeerLink addLink(String site, long roundTripMillis) {
    PeerLink link = gateway.add(site);
    gateway.onUp(now, link);
    for (int i = 0; i < 20; i++) {
      gateway.onRoundTrip(link, roundTripMillis * MS);
    }
    return link;
  }

  private PeerLink choose() {
    return gateway.choose(now, VIEW, 2 * SECOND, 0);
  }

  private void serve(PeerLink link, long tookMillis, long remoteMillis, int room) {
    gateway.onAnswer(now, link, VIEW, tookMillis * MS, remoteMillis * MS, true, room);
    gateway.onEnded(now, link, VIEW, Outcome.OK, tookMillis * MS);
  }

  private long notForwarded(NotForwardedReason reason) {
    return gateway.notForwarded(reason.ordinal());
  }

  @Test
  void doesNotChooseALinkThatIsDownOrHasNoRoundTripTime() {
    PeerLink link = gateway.add("bangkok");
    assertNull(choose());
    gateway.onUp(now, link);
    assertNull(choose());
    assertEquals(2, notForwarded(NotForwardedReason.NO_LINK));
    gateway.onRoundTrip(link, 15 * MS);
    assertEquals(link, choose());
  }

  @Test
  void roundTripAndRemoteDelayAreDeductedFromTheTimeLeft() {
    PeerLink link = addLink("bangkok", 15);
    serve(choose(), 215, 200, 10);
    assertNull(gateway.choose(now, VIEW, 210 * MS, 0));
    assertEquals(1, notForwarded(NotForwardedReason.NO_TIME));
    assertNotNull(gateway.choose(now, VIEW, 400 * MS, 0));
    assertEquals(385 * MS, gateway.remoteTimeLeft(link, 400 * MS), MS);
  }

  @Test
  void refusalsDoNotChangeTheRemoteDelay() {
    PeerLink link = addLink("bangkok", 15);
    serve(choose(), 215, 200, 10);
    for (int i = 0; i < 50; i++) {
      gateway.onAnswer(now, link, VIEW, 16 * MS, MS, false, 10);
    }
    assertNull(gateway.choose(now, VIEW, 190 * MS, 0));
  }

  /**
   * Nothing is lost, but the round trip alone leaves too little time, so the other link is used.
   */
  @Test
  void shortCallsAvoidALinkWhoseRoundTripTimeRisesTenfold() {
    PeerLink slow = addLink("bangkok", 15);
    PeerLink good = addLink("udon", 15);
    for (int i = 0; i < 40; i++) {
      gateway.onRoundTrip(slow, 150 * MS);
    }
    for (int i = 0; i < 20; i++) {
      assertEquals(good, gateway.choose(now, VIEW, 120 * MS, 0));
      gateway.onEnded(now, good, VIEW, Outcome.CANCELLED, 0);
    }
  }

  /**
   * If links were ranked, all gateways of a site would send the calls of a second over one link.
   */
  @Test
  void linksAreChosenAtRandomInProportionToTheirRoom() {
    PeerLink wide = addLink("bangkok", 15);
    PeerLink narrow = addLink("udon", 15);
    int[] counts = new int[2];
    for (int i = 0; i < 2000; i++) {
      wide.onRoomReport(now, 15);
      narrow.onRoomReport(now, 5);
      PeerLink drawn = choose();
      counts[drawn == wide ? 0 : 1]++;
      gateway.onEnded(now, drawn, VIEW, Outcome.CANCELLED, 0);
    }
    assertEquals(0.75, counts[0] / 2000.0, 0.04);
  }

  @Test
  void reportedRoomExpiresAfterASecond() {
    PeerLink link = addLink("bangkok", 15);
    gateway.onAnswer(now, link, VIEW, 60 * MS, 40 * MS, true, 2);
    assertNotNull(choose());
    assertNotNull(choose());
    assertNull(choose());
    assertEquals(1, notForwarded(NotForwardedReason.NO_ROOM));
    now += PeerLink.ROOM_REPORT_NANOS;
    assertNotNull(choose());
  }

  /** A room beyond the window has no effect, and the reported time is bounded. */
  @Test
  void falseReportsOfAPeerAreBounded() {
    PeerLink link = addLink("bangkok", 15);
    gateway.onAnswer(now, link, VIEW, 60 * MS, Long.MAX_VALUE, true, Integer.MAX_VALUE);
    gateway.onAnswer(now, link, VIEW, 60 * MS, -5, true, Integer.MIN_VALUE);
    gateway.onAnswer(now, link, VIEW, 60 * MS, 45 * MS, true, Integer.MAX_VALUE);
    int sent = 0;
    while (choose() != null) {
      sent++;
    }
    assertTrue(sent <= link.window.size(), "sent " + sent);
    assertTrue(gateway.remoteTimeLeft(link, SECOND) <= SECOND);
    assertTrue(gateway.remoteTimeLeft(link, SECOND) > 900 * MS);
  }

  /** The second half of a window is reserved for calls of higher worth. */
  @Test
  void classOfHigherWorthMayUseMoreOfTheWindow() {
    addLink("bangkok", 15);
    int ordinary = 0;
    while (choose() != null) {
      ordinary++;
    }
    int valuable = 0;
    while (gateway.choose(now, PUBLISH, 2 * SECOND, 0) != null) {
      valuable++;
    }
    assertTrue(valuable >= ordinary / 2, ordinary + " and " + valuable);
  }

  @Test
  void refusalsCutTheWindowOncePerRoundTrip() {
    PeerLink link = addLink("bangkok", 15);
    for (int i = 0; i < 10; i++) {
      choose();
    }
    now += 50 * MS;
    for (int i = 0; i < 10; i++) {
      gateway.onEnded(now, link, VIEW, Outcome.REFUSED, 50 * MS);
    }
    assertEquals(1, link.window.size());
    assertEquals(0, link.inFlight);
  }

  @Test
  void brokenLinkReturnsWithSlowStart() {
    PeerLink link = addLink("bangkok", 15);
    long backoff = gateway.onBroken(now, link);
    assertTrue(
        backoff >= 0.75 * PeerLink.BASE_BACKOFF_NANOS
            && backoff <= 1.25 * PeerLink.BASE_BACKOFF_NANOS);
    assertNull(choose());
    now += backoff;
    gateway.onUp(now, link);
    gateway.onRoundTrip(link, 15 * MS);
    assertEquals(link, choose());
    assertNull(choose(), "one call at first");
    List<Integer> sizes = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      now += 60 * MS;
      serve(link, 60, 45, 1000);
      while (choose() != null) {} // Fills the window.
      sizes.add(link.window.size());
    }
    assertTrue(sizes.get(3) <= 5, sizes.toString());
    assertTrue(sizes.get(23) >= 12, sizes.toString());
  }

  /** However often a link breaks, it is not kept out of use for longer than the bound. */
  @Test
  void backoffOfAFlappingLinkGrowsUpToABound() {
    PeerLink link = addLink("bangkok", 15);
    long first = 0;
    long longest = 0;
    for (int i = 0; i < 50; i++) {
      long backoff = gateway.onBroken(now, link);
      longest = Math.max(longest, backoff);
      if (i == 4) {
        assertTrue(backoff > 2 * first, "the backoff grows with each break");
      }
      first = i == 0 ? backoff : first;
      now += backoff;
      gateway.onUp(now, link);
      now += 20 * MS;
    }
    assertTrue(longest <= 1.25 * PeerLink.MAX_BACKOFF_NANOS, "longest " + longest);
    now += 6 * PeerLink.FORGIVE_NANOS;
    assertTrue(gateway.onBroken(now, link) <= 1.25 * PeerLink.BASE_BACKOFF_NANOS, "forgiven");
  }

  @Test
  void drainedLinkIsNotChosenUntilItIsResumed() {
    PeerLink link = addLink("bangkok", 15);
    gateway.drain(link, true);
    assertNull(choose());
    gateway.drain(link, false);
    assertEquals(link, choose());
  }

  @Test
  void callIsForwardedAtMostTwice() {
    addLink("bangkok", 15);
    assertNotNull(gateway.choose(now, VIEW, SECOND, 1));
    assertNull(gateway.choose(now, VIEW, SECOND, 2));
    assertEquals(1, notForwarded(NotForwardedReason.TRIED));
  }

  /** The origin of the clock does not matter, as clocks of different sites are never compared. */
  @Test
  void sameEventsAndSeedGiveTheSameDecisions() {
    List<List<String>> runs =
        IntStream.range(0, 2)
            .mapToObj(
                run -> {
                  Gateway each = new Gateway("hat-yai", CLASSES, 3);
                  List<PeerLink> links = List.of(each.add("a"), each.add("b"), each.add("c"));
                  List<String> drawn = new ArrayList<>();
                  long at = run * 1_000_000 * SECOND; // Each run has another origin.
                  for (PeerLink link : links) {
                    each.onUp(at, link);
                    each.onRoundTrip(link, 15 * MS);
                  }
                  for (int i = 0; i < 200; i++) {
                    at += 3 * MS;
                    PeerLink link = each.choose(at, VIEW, SECOND, 0);
                    drawn.add(link == null ? "-" : link.site());
                    if (link != null) {
                      each.onAnswer(at, link, VIEW, 20 * MS, 5 * MS, true, 9);
                      each.onEnded(at, link, VIEW, Outcome.OK, 20 * MS);
                    }
                  }
                  return drawn;
                })
            .toList();
    assertEquals(runs.get(0), runs.get(1));
  }
}
