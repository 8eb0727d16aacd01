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

/** A watch that fails, in whatever way, is reopened within the {@link DiscoveryTimeouts}. */
@Timeout(60)
class DiscoveryWatchTest {
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Only sets the pace of the bytes: far shorter than any timeout. */
  private static final long DRIP_MILLIS = 20;

  /** All heartbeats together take longer than a watch may be silent. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  private static final int HEARTBEATS = 8;

  private final BlockingQueue<StubServer.Connection> watches = new LinkedBlockingQueue<>();

  private StubServer discovery() throws Exception {
    return StubServer.replying((connection, request) -> watches.add(connection));
  }

  private StubServer.Connection nextWatch() throws Exception {
    StubServer.Connection watch = watches.poll(30, TimeUnit.SECONDS);
    assertNotNull(watch, "no watch was opened");
    return watch;
  }

  private StubServer.Connection sendHead(StubServer.Connection watch) throws Exception {
    watch.send(CHUNKED);
    return watch;
  }

  private static void sendChunk(StubServer.Connection watch, String text) throws Exception {
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

  private static String inService(StubServer upstream, String id) {
    return BalancerFixture.json(id, upstream.address(), "in_service");
  }

  private static void assertServedBy(BalancerFixture fixture, String answer) throws Exception {
    try (TestClient client = fixture.client()) {
      assertEquals(answer, client.call(TestClient.get("/api/x", "")).text());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void watchWithoutFirstLineIsReplaced(boolean pushed) throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.answering("found");
        BalancerFixture fixture = newFixture(discovery, pushed).start()) {
      sendHead(nextWatch());
      sendChunk(sendHead(nextWatch()), list(50, true, inService(upstream, "s-9")));
      awaitServed(fixture);
    }
  }

  /**
   * A watch is kept as long as it sends empty lines; a change that it misses after that is
   * delivered within 6 s.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void silentWatchIsReplacedInTime(boolean pushed) throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.answering("found");
        BalancerFixture fixture = newFixture(discovery, pushed).start()) {
      StubServer.Connection silent = sendHead(nextWatch());
      sendChunk(silent, list(50, true));
      for (int i = 0; i < HEARTBEATS; i++) {
        Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
        sendChunk(silent, "\n");
      }
      assertTrue(watches.isEmpty(), "a watch with heartbeats is kept");
      long since = System.nanoTime();
      sendChunk(sendHead(nextWatch()), list(51, true, inService(upstream, "s-9")));
      awaitServed(fixture);
      long tookMillis = (System.nanoTime() - since) / 1_000_000;
      assertTrue(
          tookMillis < DiscoveryTimeouts.PROPAGATION_MILLIS,
          "delivered after " + tookMillis + " ms");
    }
  }

  private static BalancerFixture newFixture(StubServer discovery, boolean pushed) {
    return pushed
        ? new BalancerFixture().pushedBy(discovery)
        : new BalancerFixture().subscribedTo(discovery);
  }

  private static void awaitServed(BalancerFixture fixture) throws Exception {
    testing.Await.until(
        "served by the upstream on the list",
        () -> {
          try (TestClient client = fixture.client()) {
            return client.call(TestClient.get("/api/x", "")).status() == 200;
          } catch (Exception e) {
            throw new AssertionError(e);
          }
        });
  }

  /** Its bytes keep the connection alive but never complete a line. */
  @Test
  void watchDrippingPartialLineIsReplaced() throws Exception {
    try (StubServer discovery = discovery();
        BalancerFixture fixture = new BalancerFixture().pushedBy(discovery).start()) {
      StubServer.Connection dripping = sendHead(nextWatch());
      sendChunk(dripping, "\n");
      Thread drip =
          new Thread(
              () -> {
                try {
                  sendChunk(dripping, "{\"revision\":5");
                  while (true) {
                    sendChunk(dripping, " ");
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
  void indentedListInSingleByteChunksIsRead() throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.answering("found");
        BalancerFixture fixture = new BalancerFixture().pushedBy(discovery).start()) {
      StubServer.Connection watch = sendHead(nextWatch());
      String indented =
          list(50, true, inService(upstream, "s-9")).replace(",", ",\n  ").replace("{", "{\n ");
      for (char c : indented.toCharArray()) {
        sendChunk(watch, String.valueOf(c));
      }
      awaitServed(fixture);
    }
  }

  /** An older list must not undo the changes of a newer one. */
  @Test
  void olderListAfterNewerOneIsIgnored() throws Exception {
    try (StubServer discovery = discovery();
        StubServer first = StubServer.answering("first");
        StubServer second = StubServer.answering("second");
        BalancerFixture fixture = new BalancerFixture().pushedBy(discovery).start()) {
      StubServer.Connection watch = sendHead(nextWatch());
      sendChunk(watch, list(50, true, inService(first, "s-1"), inService(second, "s-2")));
      sendChunk(
          watch, list(52, false, BalancerFixture.json("s-1", first.address(), "terminating")));
      sendChunk(watch, list(51, false, inService(first, "s-1")));
      sendChunk(watch, list(53, false)); // Once this is applied, so are the others.
      awaitServed(fixture);
      for (int i = 0; i < 20; i++) {
        assertServedBy(fixture, "second");
      }
    }
  }

  @Test
  void upstreamMissingFromWholeListGetsNoRequest() throws Exception {
    try (StubServer discovery = discovery();
        StubServer removed = StubServer.answering("removed");
        StubServer listed = StubServer.answering("listed");
        BalancerFixture fixture =
            new BalancerFixture().upstream(removed).pushedBy(discovery).start()) {
      assertServedBy(fixture, "removed");
      StubServer.Connection watch = sendHead(nextWatch());
      try (EventLoopBlocker blocker = fixture.blockLoop();
          TestClient client = fixture.client()) {
        sendChunk(watch, list(50, true, inService(listed, "s-9"))); // Read first, in the same turn
        client.send(TestClient.get("/api/x", "")); // of the loop as the request.
        blocker.close();
        assertEquals("listed", client.read().text());
      }
    }
  }

  @Test
  void listStaysInForceWhenItsWatchIsReset() throws Exception {
    try (StubServer discovery = discovery();
        StubServer upstream = StubServer.answering("found");
        BalancerFixture fixture = new BalancerFixture().pushedBy(discovery).start()) {
      StubServer.Connection watch = sendHead(nextWatch());
      sendChunk(watch, list(50, true, inService(upstream, "s-9")));
      awaitServed(fixture);
      watch.reset();
      sendHead(nextWatch());
      assertServedBy(fixture, "found");
      assertEquals(
          "GET /discovery/hosts?stream=1&index=41 HTTP/1.1", discovery.awaitRequest().startLine());
      assertEquals(
          "GET /discovery/hosts?stream=1&index=50 HTTP/1.1", discovery.awaitRequest().startLine());
    }
  }

  /** The response ends properly but inside a line; the partial line is not applied. */
  @Test
  void watchEndingInsideLineIsReplacedAndLineIgnored() throws Exception {
    try (StubServer discovery = discovery();
        StubServer kept = StubServer.answering("kept");
        BalancerFixture fixture =
            new BalancerFixture().upstream(kept).pushedBy(discovery).start()) {
      StubServer.Connection watch = sendHead(nextWatch());
      sendChunk(watch, "\n");
      String line = list(50, true);
      sendChunk(watch, line.substring(0, line.length() - 2));
      watch.send("0\r\n\r\n");
      sendHead(nextWatch());
      assertServedBy(fixture, "kept");
    }
  }

  /** The timeouts leave enough time for the next call, whatever grace is configured. */
  @ParameterizedTest
  @ValueSource(longs = {500, 1000, 2000, 10_000})
  void timeoutsLeaveTimeForNextCall(long grace) {
    long slowestCall = 3000;
    long latestRetry = 750; // The longest delay of the policy module after a first failure.
    DiscoveryTimeouts notPushed = new DiscoveryTimeouts(false, grace);
    DiscoveryTimeouts pushed = new DiscoveryTimeouts(true, grace);
    assertTrue(notPushed.lineTimeoutMillis() > DiscoveryTimeouts.HEARTBEAT_MILLIS);
    assertTrue(
        notPushed.lineTimeoutMillis() + latestRetry + slowestCall
            < DiscoveryTimeouts.PROPAGATION_MILLIS + grace);
    assertTrue(notPushed.firstLineTimeoutMillis() > slowestCall);
    assertTrue(pushed.firstLineTimeoutMillis() + pushed.reopenDelayMillis() < grace);
  }
}
