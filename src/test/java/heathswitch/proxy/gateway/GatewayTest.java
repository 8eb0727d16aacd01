package heathswitch.proxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.site.DelayProxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import testing.Await;

/** Calls between sites on loopback, with delays of 5.6 to 10 ms on the paths between them. */
@Timeout(120)
class GatewayTest {
  private static final RequestKind VIEW = RequestKind.safe("view", "school", 1);
  private static final RequestKind PUBLISH = RequestKind.unsafe("publish", "school", 1);

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callsWithoutRoomAtTheirSiteAreServedByAPeerSite(boolean tls) throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 2, 40).site("bangkok", 4, 8, 40).startLinked(tls)) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = home.load(150, 3000, VIEW, PUBLISH);
      Await.until("calls were forwarded", () -> home.sum("bangkok", "served") > 100);
      load.stop();
      long served = load.stats().count(LoadStats.Result.SERVED);
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      assertEquals(0, sites.ledger.duplicateRunCount(id -> id.startsWith("/api/publish")));
      assertEquals(0, sites.ledger.falseResultCount(id -> id.startsWith("/api/publish")));
      assertTrue(home.received() > 0, "the local site works too");
      assertTrue(served > 100, "served " + served);
      assertEquals(home.sum("bangkok", "calls"), home.links().get(0).get("calls"));
      Await.until(
          "no request is left open",
          () -> openRequests(home) + openRequests(sites.site("bangkok")) == 0);
    }
  }

  private static int openRequests(SitesFixture.Site site) {
    try {
      return site.openRequests();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void siteWithRoomForwardsNothing() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 4, 8, 10).site("bangkok", 4, 8, 10).startLinked(false)) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = home.load(200, 3000, VIEW);
      Await.until("calls were made", () -> load.stats().total() > 300);
      load.stop();
      assertEquals(load.stats().total(), load.stats().count(LoadStats.Result.SERVED));
      assertEquals(0, home.sum("bangkok", "calls"));
    }
  }

  /** The only server is unreachable, so all attempts of a request fail immediately. */
  @Test
  void requestsOfASiteWithoutReachableServersAreServedByAPeerSite() throws Exception {
    try (SitesFixture sites = new SitesFixture().site("hat-yai", 0, 1, 1)) {
      // Nothing listens on port 1 of a test machine.
      sites.site("hat-yai").addMemberLine("gone-1 127.0.0.1:1 a front 0 1 in_service");
      sites.site("bangkok", 4, 8, 5).startLinked(false);
      HttpLoadGenerator load = sites.site("hat-yai").load(50, 3000, VIEW, PUBLISH);
      Await.until("calls were served", () -> load.stats().count(LoadStats.Result.SERVED) > 50);
      load.stop();
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      // Refusals are permitted, as a new link may refuse some calls.
      assertEquals(0, load.stats().count(LoadStats.Result.FAILED));
    }
  }

  // ---- a link that fails during a call ----

  /** Starts load on a site whose only server is busy, and waits until a call is forwarded. */
  private static HttpLoadGenerator loadUntilForwarded(
      SitesFixture sites, RequestKind kind, long deadlineMillis) throws Exception {
    SitesFixture.Site home = sites.site("hat-yai");
    HttpLoadGenerator load = home.load(50, deadlineMillis, kind);
    Await.until("a forwarded call is in flight", () -> home.sum("bangkok", "in_flight") > 0);
    return load;
  }

  /** Starts a site and a peer site with two gateways, each with slow servers. */
  private static SitesFixture peerSiteWithTwoGateways() throws Exception {
    return new SitesFixture()
        .site("hat-yai", 1, 1, 3000)
        .gateway("bangkok-1", "bangkok", 4, 16, 400)
        .gateway("bangkok-2", "bangkok", 4, 16, 400)
        .startLinked(false);
  }

  private static final RequestKind KEYED = new RequestKind("keyed", "school", true, true, 1);

  private static long[] faults(SitesFixture sites, String prefix) {
    return new long[] {
      sites.ledger.lostCount(),
      sites.ledger.duplicateRunCount(id -> id.startsWith(prefix)),
      sites.ledger.falseResultCount(id -> id.startsWith(prefix))
    };
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void safeCallsAreRetriedOverAnotherLink(boolean reset) throws Exception {
    try (SitesFixture sites = peerSiteWithTwoGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = loadUntilForwarded(sites, VIEW, 5000);
      DelayProxy path = home.paths.get("bangkok-1");
      Await.until("calls are in flight on both links", () -> inFlightOnBothLinks(home));
      if (reset) {
        path.resetConnections();
      } else {
        path.setMuted(true, true);
      }
      Await.until("the broken link is detected", () -> home.links().get(0).get("state") != "up");
      long refusedBefore = load.stats().count(LoadStats.Result.FAILED);
      load.stop();
      assertEquals(0, load.stats().count(LoadStats.Result.FAILED) - refusedBefore);
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      assertTrue(load.stats().count(LoadStats.Result.SERVED) > 0);
      assertTrue(count(home, 0, "failed") > 0, "calls were in flight on the link");
    }
  }

  private static boolean inFlightOnBothLinks(SitesFixture.Site home) {
    return count(home, 0, "in_flight") > 0 && count(home, 1, "in_flight") > 0;
  }

  private static long count(SitesFixture.Site site, int link, String figure) {
    return ((Number) site.links().get(link).get(figure)).longValue();
  }

  /** The call may have run, so the caller gets a failure, well before the deadline. */
  @ParameterizedTest
  @CsvSource({"publish, true", "publish, false", "keyed, true", "keyed, false"})
  void callsThatMustNotRunTwiceFail(String type, boolean reset) throws Exception {
    try (SitesFixture sites = peerSiteWithTwoGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load =
          loadUntilForwarded(sites, type.equals("keyed") ? KEYED : PUBLISH, 5000);
      Await.until("calls are in flight on both links", () -> inFlightOnBothLinks(home));
      DelayProxy path = home.paths.get("bangkok-1");
      long since = System.nanoTime();
      if (reset) {
        path.resetConnections();
      } else {
        path.setMuted(true, true);
      }
      Await.until("failure reported", () -> load.stats().count(LoadStats.Result.FAILED) > 0);
      long millis = (System.nanoTime() - since) / 1_000_000;
      load.stop();
      long[] faults = faults(sites, "/api/" + type);
      assertEquals(0, faults[0], "lost");
      assertEquals(0, faults[1], "run twice");
      assertEquals(0, faults[2], "outcome reported that is not true");
      assertTrue(millis < 4000, "failure reported after " + millis + " ms");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void linkThatLosesOneDirectionIsNotUsed(boolean outbound) throws Exception {
    try (SitesFixture sites = peerSiteWithTwoGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = loadUntilForwarded(sites, VIEW, 5000);
      Await.until("calls are in flight on both links", () -> inFlightOnBothLinks(home));
      home.paths.get("bangkok-1").setMuted(outbound, !outbound);
      Await.until("the broken link is detected", () -> home.links().get(0).get("state") != "up");
      long before = home.sum("bangkok", "served");
      Await.until("the other link serves calls", () -> home.sum("bangkok", "served") > before + 10);
      home.paths.get("bangkok-1").setMuted(false, false);
      Await.until("the link is up again", () -> home.links().get(0).get("state").equals("up"));
      load.stop();
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
    }
  }

  @Test
  void callsContinueAfterOneOfTwoPeerGatewaysStops() throws Exception {
    try (SitesFixture sites = peerSiteWithTwoGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = loadUntilForwarded(sites, VIEW, 5000);
      Await.until("calls are in flight on both links", () -> inFlightOnBothLinks(home));
      sites.site("bangkok-1").node.stop();
      Await.until("the broken link is detected", () -> home.links().get(0).get("state") != "up");
      long before = home.sum("bangkok", "served");
      Await.until("the other link serves calls", () -> home.sum("bangkok", "served") > before + 10);
      load.stop();
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      assertEquals(0, load.stats().count(LoadStats.Result.FAILED));
    }
  }

  /** After a stall of its own event loop, a gateway must not take its peers for broken. */
  @Test
  void stallOfTheEventLoopBreaksNoLink() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 1, 10).site("bangkok", 1, 1, 10).startLinked(false)) {
      SitesFixture.Site home = sites.site("hat-yai");
      // Not necessarily 0: attempts to connect before the peer listened count as breaks.
      Object breaks = home.links().get(0).get("breaks");
      for (int i = 0; i < 3; i++) {
        home.node
            .node()
            .loop()
            .submit(
                () -> {
                  Thread.sleep(1500);
                  return null;
                })
            .get();
        assertEquals("up", home.links().get(0).get("state"));
      }
      assertEquals(breaks, home.links().get(0).get("breaks"));
    }
  }

  // ---- full sites ----

  /** All sites are overloaded; none of them forwards a call that came from another site. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3})
  void overloadedSitesForwardNoCallsInACircle(int count) throws Exception {
    try (SitesFixture sites = new SitesFixture()) {
      for (int i = 0; i < count; i++) {
        sites.site("site-" + i, 2, 2, 50);
      }
      sites.startLinked(false);
      List<HttpLoadGenerator> loads = new ArrayList<>();
      for (SitesFixture.Site site : sites.sites.values()) {
        loads.add(site.load(150, 2000, VIEW, PUBLISH));
      }
      Await.until(
          "calls were refused by peer sites",
          () ->
              sites.sites.values().stream()
                  .allMatch(
                      site -> loads.get(0).stats().total() > 600 && forwardedCalls(site) > 0));
      for (HttpLoadGenerator load : loads) {
        load.stop();
        assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      }
      assertEquals(0, sites.ledger.duplicateRunCount(id -> id.startsWith("/api/publish")));
      for (SitesFixture.Site site : sites.sites.values()) {
        for (SitesFixture.Site other : sites.sites.values()) {
          if (site != other) {
            assertEquals(0L, site.from(other.name).get("bounced"));
          }
        }
        Await.until("no request is left open", () -> openRequests(site) == 0);
      }
    }
  }

  private static long forwardedCalls(SitesFixture.Site site) {
    return site.links().stream().mapToLong(link -> ((Number) link.get("calls")).longValue()).sum();
  }

  // ---- long answers ----

  @Test
  void longAnswerIsStreamed() throws Exception {
    try (SitesFixture sites = new SitesFixture().site("hat-yai", 1, 1, 3000);
        LongResponseServer server = new LongResponseServer(3 << 20)) {
      sites.site("bangkok", 0, 1, 1);
      sites.site("bangkok").addMemberLine(server.memberLine("long-1"));
      sites.startLinked(false);
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = home.load(20, 5000, PUBLISH);
      Await.until("the site is full", () -> home.sum("bangkok", "calls") > 0);
      assertEquals(
          3 << 20,
          LongResponseServer.requestUntilServed(home.node.node().address(), "view", "GET"));
      load.stop();
    }
  }

  // ---- operators ----

  @Test
  void drainedLinkGetsNoCalls() throws Exception {
    try (SitesFixture sites =
        new SitesFixture()
            .site("hat-yai", 1, 1, 200)
            .site("bangkok", 4, 8, 20)
            .startLinked(false)) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = home.load(50, 3000, VIEW);
      Await.until("calls are forwarded", () -> home.sum("bangkok", "served") > 5);
      home.drain("bangkok", true);
      assertEquals("drained", home.links().get(0).get("state"));
      long before = home.sum("bangkok", "calls") + home.sum("bangkok", "in_flight");
      long refused = load.stats().count(LoadStats.Result.REFUSED);
      Await.until(
          "calls are refused by this site",
          () -> load.stats().count(LoadStats.Result.REFUSED) > refused + 10);
      assertEquals(before, home.sum("bangkok", "calls"));
      home.drain("bangkok/127.0.0.1:" + home.paths.get("bangkok").address().getPort(), false);
      Await.until("calls are forwarded again", () -> home.sum("bangkok", "calls") > before + 5);
      load.stop();
    }
  }
}
