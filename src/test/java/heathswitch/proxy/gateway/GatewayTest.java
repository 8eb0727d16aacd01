package heathswitch.proxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.Kind;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.site.DelayLine;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import testing.Await;

/** Sites on loopback with ways of 5.6 to 10 ms between them. */
@Timeout(120)
class GatewayTest {
  private static final Kind VIEW = Kind.safe("view", "school", 1);
  private static final Kind PUBLISH = Kind.unsafe("publish", "school", 1);

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatHasNoRoomAtHomeIsServedElsewhere(boolean tls) throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 2, 40).site("bangkok", 4, 8, 40).linked(tls)) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = home.load(150, 3000, VIEW, PUBLISH);
      Await.until("calls went across", () -> home.sum("bangkok", "served") > 100);
      load.stop();
      long served = load.tally().count(Tally.Result.SERVED);
      assertEquals(0, load.tally().count(Tally.Result.LOST));
      assertEquals(0, sites.ledger.doubles(id -> id.startsWith("/api/publish")));
      assertEquals(0, sites.ledger.untrue(id -> id.startsWith("/api/publish")));
      assertTrue(home.received() > 0, "the local site works too");
      assertTrue(served > 100, "served " + served);
      assertEquals(home.sum("bangkok", "calls"), home.links().get(0).get("calls"));
      Await.until("nothing is left over", () -> left(home) + left(sites.site("bangkok")) == 0);
    }
  }

  private static int left(SitesFixture.Site site) {
    try {
      return site.live();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void aSiteWithRoomSendsNothing() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 4, 8, 10).site("bangkok", 4, 8, 10).linked(false)) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = home.load(200, 3000, VIEW);
      Await.until("calls", () -> load.tally().total() > 300);
      load.stop();
      assertEquals(load.tally().total(), load.tally().count(Tally.Result.SERVED));
      assertEquals(0, home.sum("bangkok", "calls"));
    }
  }

  /** Its only server cannot be reached: every attempt that a request has is made in no time. */
  @Test
  void aSiteThatIsLostIsServedByItsNeighbour() throws Exception {
    try (SitesFixture sites = new SitesFixture().site("hat-yai", 0, 1, 1)) {
      // Port 1 is nobody's on a machine for tests.
      sites.site("hat-yai").line("gone-1 127.0.0.1:1 a front 0 1 in_service");
      sites.site("bangkok", 4, 8, 5).linked(false);
      OpenLoop load = sites.site("hat-yai").load(50, 3000, VIEW, PUBLISH);
      Await.until("served", () -> load.tally().count(Tally.Result.SERVED) > 50);
      load.stop();
      assertEquals(0, load.tally().count(Tally.Result.LOST));
      assertEquals(0, load.tally().count(Tally.Result.FAILED)); // A new link may still refuse some.
    }
  }

  // ---- a link that fails under a call ----

  /** One call whose server here is busy for good, so that it has to go across. */
  private static OpenLoop oneAway(SitesFixture sites, Kind kind, long deadlineMillis)
      throws Exception {
    SitesFixture.Site home = sites.site("hat-yai");
    OpenLoop load = home.load(50, deadlineMillis, kind);
    Await.until("a call is across", () -> home.sum("bangkok", "in_flight") > 0);
    return load;
  }

  /** Two gateways of the far site, each with servers that take long. */
  private static SitesFixture twoFarGateways() throws Exception {
    return new SitesFixture()
        .site("hat-yai", 1, 1, 3000)
        .gateway("bangkok-1", "bangkok", 4, 16, 400)
        .gateway("bangkok-2", "bangkok", 4, 16, 400)
        .linked(false);
  }

  private static final Kind KEYED = new Kind("keyed", "school", true, true, 1);

  private static long[] faults(SitesFixture sites, String prefix) {
    return new long[] {
      sites.ledger.lost(),
      sites.ledger.doubles(id -> id.startsWith(prefix)),
      sites.ledger.untrue(id -> id.startsWith(prefix))
    };
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aSafeCallGoesOnOverAnotherLink(boolean reset) throws Exception {
    try (SitesFixture sites = twoFarGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = oneAway(sites, VIEW, 5000);
      DelayLine way = home.ways.get("bangkok-1");
      Await.until("on both links", () -> onBoth(home));
      if (reset) {
        way.breakAll();
      } else {
        way.mute(true, true);
      }
      Await.until("seen", () -> home.links().get(0).get("state") != "up");
      long refusedBefore = load.tally().count(Tally.Result.FAILED);
      load.stop();
      assertEquals(0, load.tally().count(Tally.Result.FAILED) - refusedBefore);
      assertEquals(0, load.tally().count(Tally.Result.LOST));
      assertTrue(load.tally().count(Tally.Result.SERVED) > 0);
      assertTrue(count(home, 0, "failed") > 0, "calls were under way on the link");
    }
  }

  private static boolean onBoth(SitesFixture.Site home) {
    return count(home, 0, "in_flight") > 0 && count(home, 1, "in_flight") > 0;
  }

  private static long count(SitesFixture.Site site, int link, String figure) {
    return ((Number) site.links().get(link).get(figure)).longValue();
  }

  /** It may have run, so its caller hears of a failure, soon and not at its deadline. */
  @ParameterizedTest
  @CsvSource({"publish, true", "publish, false", "keyed, true", "keyed, false"})
  void whatMustNotRunTwiceFails(String type, boolean reset) throws Exception {
    try (SitesFixture sites = twoFarGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = oneAway(sites, type.equals("keyed") ? KEYED : PUBLISH, 5000);
      Await.until("on both links", () -> onBoth(home));
      DelayLine way = home.ways.get("bangkok-1");
      long since = System.nanoTime();
      if (reset) {
        way.breakAll();
      } else {
        way.mute(true, true);
      }
      Await.until("told", () -> load.tally().count(Tally.Result.FAILED) > 0);
      long millis = (System.nanoTime() - since) / 1_000_000;
      load.stop();
      long[] faults = faults(sites, "/api/" + type);
      assertEquals(0, faults[0], "lost");
      assertEquals(0, faults[1], "run twice");
      assertEquals(0, faults[2], "told what is not true");
      assertTrue(millis < 4000, "told after " + millis + " ms");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLinkThatLosesOneDirectionIsLeft(boolean there) throws Exception {
    try (SitesFixture sites = twoFarGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = oneAway(sites, VIEW, 5000);
      Await.until("on both links", () -> onBoth(home));
      home.ways.get("bangkok-1").mute(there, !there);
      Await.until("seen", () -> home.links().get(0).get("state") != "up");
      long before = home.sum("bangkok", "served");
      Await.until("the other one serves", () -> home.sum("bangkok", "served") > before + 10);
      home.ways.get("bangkok-1").mute(false, false);
      Await.until("it is back", () -> home.links().get(0).get("state").equals("up"));
      load.stop();
      assertEquals(0, load.tally().count(Tally.Result.LOST));
    }
  }

  @Test
  void oneOfTwoFarGatewaysDies() throws Exception {
    try (SitesFixture sites = twoFarGateways()) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = oneAway(sites, VIEW, 5000);
      Await.until("on both links", () -> onBoth(home));
      sites.site("bangkok-1").node.stop();
      Await.until("seen", () -> home.links().get(0).get("state") != "up");
      long before = home.sum("bangkok", "served");
      Await.until("the other one serves", () -> home.sum("bangkok", "served") > before + 10);
      load.stop();
      assertEquals(0, load.tally().count(Tally.Result.LOST));
      assertEquals(0, load.tally().count(Tally.Result.FAILED));
    }
  }

  /** A process that was held up finds no fault in its peers. */
  @Test
  void aStallOfThisProcessBreaksNoLink() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 1, 10).site("bangkok", 1, 1, 10).linked(false)) {
      SitesFixture.Site home = sites.site("hat-yai");
      Object breaks = home.links().get(0).get("breaks"); // Dialled before the other one listened.
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

  /** All of them have less than is asked of them: each keeps to its own and nothing goes round. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3})
  void fullNeighboursSendNothingRound(int count) throws Exception {
    try (SitesFixture sites = new SitesFixture()) {
      for (int i = 0; i < count; i++) {
        sites.site("site-" + i, 2, 2, 50);
      }
      sites.linked(false);
      List<OpenLoop> loads = new ArrayList<>();
      for (SitesFixture.Site site : sites.sites.values()) {
        loads.add(site.load(150, 2000, VIEW, PUBLISH));
      }
      Await.until(
          "calls were refused across",
          () ->
              sites.sites.values().stream()
                  .allMatch(site -> loads.get(0).tally().total() > 600 && tried(site) > 0));
      for (OpenLoop load : loads) {
        load.stop();
        assertEquals(0, load.tally().count(Tally.Result.LOST));
      }
      assertEquals(0, sites.ledger.doubles(id -> id.startsWith("/api/publish")));
      for (SitesFixture.Site site : sites.sites.values()) {
        for (SitesFixture.Site other : sites.sites.values()) {
          if (site != other) {
            assertEquals(0L, site.from(other.name).get("bounced"));
          }
        }
        Await.until("nothing is left over", () -> left(site) == 0);
      }
    }
  }

  private static long tried(SitesFixture.Site site) {
    return site.links().stream().mapToLong(link -> ((Number) link.get("calls")).longValue()).sum();
  }

  // ---- long messages ----

  @Test
  void aLongAnswerGoesOnAsItComes() throws Exception {
    try (SitesFixture sites = new SitesFixture().site("hat-yai", 1, 1, 3000);
        LongResponseServer far = new LongResponseServer(3 << 20)) {
      sites.site("bangkok", 0, 1, 1);
      sites.site("bangkok").line(far.line("long-1"));
      sites.linked(false);
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop busy = home.load(20, 5000, PUBLISH);
      Await.until("home is full", () -> home.sum("bangkok", "calls") > 0);
      assertEquals(3 << 20, LongResponseServer.ask(home.node.node().address(), "view", "GET"));
      busy.stop();
    }
  }

  // ---- operators ----

  @Test
  void aDrainedLinkGetsNothing() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 1, 200).site("bangkok", 4, 8, 20).linked(false)) {
      SitesFixture.Site home = sites.site("hat-yai");
      OpenLoop load = home.load(50, 3000, VIEW);
      Await.until("calls go across", () -> home.sum("bangkok", "served") > 5);
      home.drain("bangkok", true);
      assertEquals("drained", home.links().get(0).get("state"));
      long before = home.sum("bangkok", "calls") + home.sum("bangkok", "in_flight");
      long refused = load.tally().count(Tally.Result.REFUSED);
      Await.until("refused here", () -> load.tally().count(Tally.Result.REFUSED) > refused + 10);
      assertEquals(before, home.sum("bangkok", "calls"));
      home.drain("bangkok/127.0.0.1:" + home.ways.get("bangkok").address().getPort(), false);
      Await.until("again", () -> home.sum("bangkok", "calls") > before + 5);
      load.stop();
    }
  }
}
