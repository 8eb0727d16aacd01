package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A watch that goes wrong, in every way that it can, is opened anew within the clock's time. */
@Timeout(60)
class DiscoveryWatchTest {
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** A pace, not an order: far shorter than any time of the clock. */
  private static final long DRIP_MILLIS = 20;

  /** Empty lines for longer than a watch may say nothing. */
  private static final long BEAT_MILLIS = 500;

  private static final int BEATS = 8;

  private final BlockingQueue<StubServer.Connection> watches = new LinkedBlockingQueue<>();

  private StubServer discovery() throws Exception {
    return StubServer.replying((connection, request) -> watches.add(connection));
  }

  private StubServer.Connection nextWatch() throws Exception {
    StubServer.Connection watch = watches.poll(30, TimeUnit.SECONDS);
    assertNotNull(watch, "no watch was opened");
    return watch;
  }

  private StubServer.Connection open(StubServer.Connection watch) throws Exception {
    watch.send(CHUNKED);
    return watch;
  }

  private static void chunk(StubServer.Connection watch, String text) throws Exception {
    watch.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static String list(long revision, boolean whole, String... members) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + whole
        + ",\"members\":["
        + String.join(",", members)
        + "]}\n";
  }

  private static String ready(StubServer upstream, String id) {
    return BalancerFixture.json(id, upstream.address(), "in_service");
  }

  private static void assertServedBy(BalancerFixture fixture, String name) throws Exception {
    try (TestClient client = fixture.client()) {
      assertEquals(name, client.call(TestClient.get("/api/x", "")).text());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void oneThatNeverSpeaksIsReplaced(boolean pushed) throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.serving("found");
        BalancerFixture fixture = fixture(discovery, pushed).start()) {
      open(nextWatch());
      chunk(open(nextWatch()), list(50, true, ready(upstream, "s-9")));
      awaitServed(fixture);
    }
  }

  /** As long as it brings empty lines it is kept; what it then misses is told within 6 s. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void oneThatFallsSilentAfterAWhileIsReplacedInTime(boolean pushed) throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.serving("found");
        BalancerFixture fixture = fixture(discovery, pushed).start()) {
      StubServer.Connection silent = open(nextWatch());
      chunk(silent, list(50, true));
      for (int i = 0; i < BEATS; i++) {
        Thread.sleep(BEAT_MILLIS);
        chunk(silent, "\n");
      }
      assertTrue(watches.isEmpty(), "one that beats is kept");
      long since = System.nanoTime();
      chunk(open(nextWatch()), list(51, true, ready(upstream, "s-9")));
      awaitServed(fixture);
      long tookMillis = (System.nanoTime() - since) / 1_000_000;
      assertTrue(tookMillis < DiscoveryTimeouts.TOLD_MILLIS, "told after " + tookMillis + " ms");
    }
  }

  private static BalancerFixture fixture(StubServer discovery, boolean pushed) {
    return pushed
        ? new BalancerFixture().pushed(discovery)
        : new BalancerFixture().asking(discovery);
  }

  private static void awaitServed(BalancerFixture fixture) throws Exception {
    testing.Await.until(
        "served by the upstream of the list",
        () -> {
          try (TestClient client = fixture.client()) {
            return client.call(TestClient.get("/api/x", "")).status() == 200;
          } catch (Exception e) {
            throw new AssertionError(e);
          }
        });
  }

  /** Its bytes keep the connection alive, and tell nothing. */
  @Test
  void oneThatBringsNothingButHalfALineIsReplaced() throws Exception {
    try (StubServer discovery = discovery();
        BalancerFixture fixture = new BalancerFixture().pushed(discovery).start()) {
      StubServer.Connection dripping = open(nextWatch());
      chunk(dripping, "\n");
      Thread drip =
          new Thread(
              () -> {
                try {
                  chunk(dripping, "{\"revision\":5");
                  while (true) {
                    chunk(dripping, " ");
                    Thread.sleep(DRIP_MILLIS);
                  }
                } catch (Exception e) {
                  // The balancer has closed it.
                }
              });
      drip.start();
      assertNotNull(nextWatch());
      drip.join();
    }
  }

  @Test
  void aListMayComeIndentedAndByteByByte() throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.serving("found");
        BalancerFixture fixture = new BalancerFixture().pushed(discovery).start()) {
      StubServer.Connection watch = open(nextWatch());
      String indented =
          list(50, true, ready(upstream, "s-9")).replace(",", ",\n  ").replace("{", "{\n ");
      for (char c : indented.toCharArray()) {
        chunk(watch, String.valueOf(c));
      }
      awaitServed(fixture);
    }
  }

  /** An old answer may not undo what a newer one has told. */
  @Test
  void anOlderListAfterANewerOneIsLeftOut() throws Exception {
    try (StubServer discovery = discovery();
        StubServer first = StubServer.serving("first");
        StubServer second = StubServer.serving("second");
        BalancerFixture fixture = new BalancerFixture().pushed(discovery).start()) {
      StubServer.Connection watch = open(nextWatch());
      chunk(watch, list(50, true, ready(first, "s-1"), ready(second, "s-2")));
      chunk(watch, list(52, false, BalancerFixture.json("s-1", first.address(), "terminating")));
      chunk(watch, list(51, false, ready(first, "s-1")));
      chunk(watch, list(53, false)); // When this has been taken, the others have.
      awaitServed(fixture);
      for (int i = 0; i < 20; i++) {
        assertServedBy(fixture, "second");
      }
    }
  }

  @Test
  void whatAWholeListLeavesOutIsGoneThoughItStillAnswers() throws Exception {
    try (StubServer discovery = discovery();
        StubServer left = StubServer.serving("left out");
        StubServer listed = StubServer.serving("listed");
        BalancerFixture fixture = new BalancerFixture().upstream(left).pushed(discovery).start()) {
      assertServedBy(fixture, "left out");
      StubServer.Connection watch = open(nextWatch());
      try (EventLoopBlocker gate = fixture.holdLoop();
          TestClient client = fixture.client()) {
        chunk(watch, list(50, true, ready(listed, "s-9"))); // Told first, in the same turn
        client.send(TestClient.get("/api/x", "")); // as the choice is made.
        gate.close();
        assertEquals("listed", client.read().text());
      }
    }
  }

  @Test
  void oneThatIsResetJustAfterAWholeListLeavesTheListInForce() throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.serving("found");
        BalancerFixture fixture = new BalancerFixture().pushed(discovery).start()) {
      StubServer.Connection watch = open(nextWatch());
      chunk(watch, list(50, true, ready(upstream, "s-9")));
      awaitServed(fixture);
      watch.reset();
      open(nextWatch());
      assertServedBy(fixture, "found");
      assertEquals("GET /discovery/hosts?stream=1&index=41 HTTP/1.1", discovery.request().start());
      assertEquals("GET /discovery/hosts?stream=1&index=50 HTTP/1.1", discovery.request().start());
    }
  }

  /** In order, in the middle of a line: what had begun is not told. */
  @Test
  void oneThatEndsInsideALineIsReplacedAndTellsNothing() throws Exception {
    try (StubServer discovery = discovery();
        StubServer kept = StubServer.serving("kept");
        BalancerFixture fixture = new BalancerFixture().upstream(kept).pushed(discovery).start()) {
      StubServer.Connection watch = open(nextWatch());
      chunk(watch, "\n");
      String line = list(50, true);
      chunk(watch, line.substring(0, line.length() - 2));
      watch.send("0\r\n\r\n");
      open(nextWatch());
      assertServedBy(fixture, "kept");
    }
  }

  /** The times of the clock leave room for the next call, whatever grace the settings give. */
  @ParameterizedTest
  @ValueSource(longs = {500, 1000, 2000, 10_000})
  void theClockLeavesTimeForTheNextCall(long grace) {
    long slowestCall = 3000;
    long latestRetry = 750; // Of the module, after a first failure.
    DiscoveryTimeouts asked = new DiscoveryTimeouts(false, grace);
    DiscoveryTimeouts pushed = new DiscoveryTimeouts(true, grace);
    assertTrue(asked.lineMillis() > DiscoveryTimeouts.HEARTBEAT_MILLIS);
    assertTrue(
        asked.lineMillis() + latestRetry + slowestCall < DiscoveryTimeouts.TOLD_MILLIS + grace);
    assertTrue(asked.firstLineMillis() > slowestCall);
    assertTrue(pushed.firstLineMillis() + pushed.againMillis() < grace);
  }
}
