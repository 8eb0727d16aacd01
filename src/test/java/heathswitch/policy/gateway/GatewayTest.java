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

/** What goes to which site, in virtual time. */
class GatewayTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  static final RequestClass VIEW = type("view", RequestClass.Effect.SAFE, 1);
  static final RequestClass PUBLISH = type("publish", RequestClass.Effect.UNSAFE, 4);
  static final List<RequestClass> CLASSES = List.of(VIEW, PUBLISH);

  private final Gateway gateway = new Gateway("hat-yai", CLASSES, 7);
  private long now = 10 * SECOND;

  private static RequestClass type(String name, RequestClass.Effect effect, double worth) {
    return new RequestClass(
        name, effect, RequestClass.Group.ALL, 500 * MS, 2 * SECOND, 0, worth, 0, false);
  }

  private PeerLink link(String site, long tripMillis) {
    PeerLink link = gateway.add(site);
    gateway.onUp(now, link);
    for (int i = 0; i < 20; i++) {
      gateway.onRoundTrip(link, tripMillis * MS);
    }
    return link;
  }

  private PeerLink choose() {
    return gateway.choose(now, VIEW, 2 * SECOND, 0);
  }

  private void served(PeerLink link, long tookMillis, long farMillis, int room) {
    gateway.onAnswer(now, link, VIEW, tookMillis * MS, farMillis * MS, true, room);
    gateway.onEnded(now, link, VIEW, Outcome.OK, tookMillis * MS);
  }

  private long kept(NotForwardedReason why) {
    return gateway.notForwarded(why.ordinal());
  }

  @Test
  void nothingGoesOverALinkThatIsNotThereOrNotMeasured() {
    PeerLink link = gateway.add("bangkok");
    assertNull(choose());
    gateway.onUp(now, link);
    assertNull(choose());
    assertEquals(2, kept(NotForwardedReason.NO_LINK));
    gateway.onRoundTrip(link, 15 * MS);
    assertEquals(link, choose());
  }

  @Test
  void theWayAndTheFarDelayComeOffTheTimeLeft() {
    PeerLink link = link("bangkok", 15);
    served(choose(), 215, 200, 10);
    assertNull(gateway.choose(now, VIEW, 210 * MS, 0));
    assertEquals(1, kept(NotForwardedReason.NO_TIME));
    assertNotNull(gateway.choose(now, VIEW, 400 * MS, 0));
    assertEquals(385 * MS, gateway.remoteTimeLeft(link, 400 * MS), MS);
  }

  @Test
  void howLongARefusalTakesSaysNothing() {
    PeerLink link = link("bangkok", 15);
    served(choose(), 215, 200, 10);
    for (int i = 0; i < 50; i++) {
      gateway.onAnswer(now, link, VIEW, 16 * MS, MS, false, 10);
    }
    assertNull(gateway.choose(now, VIEW, 190 * MS, 0));
  }

  /** Without any loss: the way alone leaves too little, and the other link is taken. */
  @Test
  void aDelayThatRisesTenfoldClosesALinkForShortCalls() {
    PeerLink slow = link("bangkok", 15);
    PeerLink good = link("udon", 15);
    for (int i = 0; i < 40; i++) {
      gateway.onRoundTrip(slow, 150 * MS);
    }
    for (int i = 0; i < 20; i++) {
      assertEquals(good, gateway.choose(now, VIEW, 120 * MS, 0));
      gateway.onEnded(now, good, VIEW, Outcome.CANCELLED, 0);
    }
  }

  /** One that ranked would send all calls of this second, of all gateways here, to one link. */
  @Test
  void linksAreDrawnByTheirRoom() {
    PeerLink wide = link("bangkok", 15);
    PeerLink narrow = link("udon", 15);
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
  void newsOfRoomHoldsForASecond() {
    PeerLink link = link("bangkok", 15);
    gateway.onAnswer(now, link, VIEW, 60 * MS, 40 * MS, true, 2);
    assertNotNull(choose());
    assertNotNull(choose());
    assertNull(choose());
    assertEquals(1, kept(NotForwardedReason.NO_ROOM));
    now += PeerLink.ROOM_REPORT_NANOS;
    assertNotNull(choose());
  }

  /** What it says beyond its window changes nothing, and what it says of its time is bounded. */
  @Test
  void aPeerThatLiesGainsNothing() {
    PeerLink link = link("bangkok", 15);
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

  /** The last half of a window is for what is worth more. */
  @Test
  void whatIsWorthMoreHasMoreOfTheWindow() {
    link("bangkok", 15);
    int plain = 0;
    while (choose() != null) {
      plain++;
    }
    int worthy = 0;
    while (gateway.choose(now, PUBLISH, 2 * SECOND, 0) != null) {
      worthy++;
    }
    assertTrue(worthy >= plain / 2, plain + " and " + worthy);
  }

  @Test
  void aRefusalCutsTheWindowOnceAFlight() {
    PeerLink link = link("bangkok", 15);
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
  void aLinkThatBrokeReturnsBySlowStart() {
    PeerLink link = link("bangkok", 15);
    long rest = gateway.onBroken(now, link);
    assertTrue(
        rest >= 0.75 * PeerLink.BASE_BACKOFF_NANOS && rest <= 1.25 * PeerLink.BASE_BACKOFF_NANOS);
    assertNull(choose());
    now += rest;
    gateway.onUp(now, link);
    gateway.onRoundTrip(link, 15 * MS);
    assertEquals(link, choose());
    assertNull(choose(), "one call at first");
    List<Integer> sizes = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      now += 60 * MS;
      served(link, 60, 45, 1000);
      while (choose() != null) {} // Kept as full as it may be.
      sizes.add(link.window.size());
    }
    assertTrue(sizes.get(3) <= 5, sizes.toString());
    assertTrue(sizes.get(23) >= 12, sizes.toString());
  }

  /** However often a link flaps, a good one is not kept out for longer than the bound. */
  @Test
  void aLinkThatFlapsIsDampedWithABound() {
    PeerLink link = link("bangkok", 15);
    long before = 0;
    long longest = 0;
    for (int i = 0; i < 50; i++) {
      long rest = gateway.onBroken(now, link);
      longest = Math.max(longest, rest);
      if (i == 4) {
        assertTrue(rest > 2 * before, "each break is dearer than the first");
      }
      before = i == 0 ? rest : before;
      now += rest;
      gateway.onUp(now, link);
      now += 20 * MS;
    }
    assertTrue(longest <= 1.25 * PeerLink.MAX_BACKOFF_NANOS, "longest " + longest);
    now += 6 * PeerLink.FORGIVE_NANOS;
    assertTrue(gateway.onBroken(now, link) <= 1.25 * PeerLink.BASE_BACKOFF_NANOS, "forgiven");
  }

  @Test
  void aDrainedLinkGetsNothingAndIsPutBack() {
    PeerLink link = link("bangkok", 15);
    gateway.drain(link, true);
    assertNull(choose());
    gateway.drain(link, false);
    assertEquals(link, choose());
  }

  @Test
  void aCallIsSentAwayTwiceAtMost() {
    link("bangkok", 15);
    assertNotNull(gateway.choose(now, VIEW, SECOND, 1));
    assertNull(gateway.choose(now, VIEW, SECOND, 2));
    assertEquals(1, kept(NotForwardedReason.TRIED));
  }

  /** Two sites' clocks are never compared: a far site with any clock at all is the same. */
  @Test
  void sameEventsAndSeedGiveTheSameDecisions() {
    List<List<String>> runs =
        IntStream.range(0, 2)
            .mapToObj(
                run -> {
                  Gateway each = new Gateway("hat-yai", CLASSES, 3);
                  List<PeerLink> links = List.of(each.add("a"), each.add("b"), each.add("c"));
                  List<String> drawn = new ArrayList<>();
                  long at = run * 1_000_000 * SECOND; // Its readings' start is of no matter.
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
