package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.http1.ClientListener;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Clock;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import testing.Await;

/**
 * Events that race with a closing connection, a drain or a reload. Each test forces the order of
 * the events.
 */
@Timeout(60)
class LifecycleRaceTest {
  private static final int ANSWER_BYTES = 12_000;
  private static final int SMALL_WINDOW = 2048;

  /** Longer than a drain accepts requests when deadlines are 1.5 s. */
  private static final long ACCEPTING_ENDS_NANOS = 800_000_000L;

  @TempDir Path folder;

  private final PendingCalls calls = new PendingCalls();

  /**
   * Closing a socket with unread bytes sends a reset, which would cut off the part of the answer
   * that the client has not read yet.
   */
  @Test
  void answerArrivesCompleteDespiteUnreadPipelinedBytes() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = new TestClient(fixture.address(), SMALL_WINDOW)) {
      client.send(TestClient.get("/api/x", "Connection: close\r\n"));
      StubServer.Connection call = calls.next();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        call.answer(200, "", "x".repeat(ANSWER_BYTES));
        client.send(TestClient.get("/api/y", "").replace("r1", "r2"));
      }
      // The client reads only after the balancer has closed its connection; the one to the upstream
      // remains.
      Await.until("the client connection is closed", () -> fixture.connections() <= 1);
      assertEquals(ANSWER_BYTES, client.read().body().length);
      assertNull(client.read(), "then the connection ends without a reset");
    }
  }

  /** The request crosses the close, so its client sends it again on another connection. */
  @Test
  void requestAfterCloseIsNotForwarded() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).deadline(300).start();
        TestClient client = fixture.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      upstream.awaitRequest();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertNull(client.read(), "the idle connection is closed");
      client.send(TestClient.get("/api/y", "").replace("r1", "r2"));
      assertNull(client.read(), "without a reset");
      assertTrue(drained.await(30, TimeUnit.SECONDS));
      assertTrue(upstream.requests.isEmpty(), "nothing was forwarded");
    }
  }

  /**
   * The timer that ends the accepting of requests and the request are both due in the same turn of
   * the event loop, and the timer runs first.
   */
  @Test
  void requestReceivedBeforeCloseIsServed() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).deadline(1500).start();
        TestClient client = fixture.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      CountDownLatch drained = fixture.node().shutdown().drain();
      long startNanos = System.nanoTime();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        client.send(TestClient.get("/api/y", "").replace("r1", "r2"));
        Await.until(
            "the end of accepting requests is due",
            () -> System.nanoTime() - startNanos > ACCEPTING_ENDS_NANOS);
      }
      assertEquals(200, client.read().status());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  @Test
  void bodyCompletedAfterAllRequestsWereFailedIsRefusedAtOnce() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      String request = TestClient.post("publish", "", "body");
      client.send(request.substring(0, request.length() - 2));
      fixture.node().loop().submit(() -> fixture.node().dispatcher().failAll()).sync();
      client.send(request.substring(request.length() - 2));
      assertEquals(503, client.read().status());
      fixture.awaitLiveRequests(0);
      assertTrue(upstream.requests.isEmpty(), "nothing was forwarded");
    }
  }

  @Test
  void retryIsSentDuringDrain() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection first = calls.next();
      CountDownLatch drained = fixture.node().shutdown().drain();
      first.answer(500, "", "an error");
      calls.next().answer(200, "", "second");
      assertEquals("second", client.read().text());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  /** SIGTERM may come while the process is still starting: it then accepts no client and ends. */
  @Test
  void drainBeforeStartPreventsListening() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).deadline(300).build()) {
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertTrue(drained.await(30, TimeUnit.SECONDS));
      fixture.balancer().start();
      assertNull(fixture.node().address(), "it never listens");
    }
  }

  /** The drain begins after the start has checked for a drain and before the address is bound. */
  @Test
  void drainDuringBindClosesListener() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).build()) {
      Node node = fixture.node();
      ClientListener server = new ClientListener(node.loop(), new Clock(), node.budget());
      FutureTask<Void> start =
          new FutureTask<>(
              () -> {
                server.start(new InetSocketAddress("127.0.0.1", 0), false, node.dispatcher(), null);
                return null;
              });
      Thread starting = new Thread(start);
      try (EventLoopBlocker blocker = new EventLoopBlocker(node.loop())) {
        starting.start();
        Await.until(
            "the server waits for the bind", () -> starting.getState() == Thread.State.WAITING);
        node.loop().execute(server::stopListening);
      }
      start.get(30, TimeUnit.SECONDS);
      assertNotNull(server.address(), "the address was bound");
      Await.until("the listener is closed", () -> refuses(server.address()));
    }
  }

  private static boolean refuses(InetSocketAddress address) {
    try (TestClient client = new TestClient(address)) {
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (Exception e) { // Reset while the listener closes.
      return false;
    }
  }

  @Test
  void secondDrainReturnsTheFirst() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection call = calls.next();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertEquals(drained, fixture.node().shutdown().drain());
      call.answer(200, "", "ok");
      assertEquals(200, client.read().status());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  @Test
  void reloadsAroundDrainLoseNoRequest() throws Exception {
    Path file = folder.resolve("config.json");
    try (StubServer upstream = calls.startUpstream();
        StubServer discovery = StubServer.replying((connection, request) -> {});
        BalancerFixture fixture =
            new BalancerFixture().upstream(upstream).writeConfig(file).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection call = calls.next();
      fixture.pushedBy(discovery).writeConfig(file);
      fixture.reload().reload();
      CountDownLatch drained = fixture.node().shutdown().drain();
      Files.writeString(file, "{ cut off");
      fixture.reload().reload();
      call.answer(200, "", "ok");
      assertEquals(200, client.read().status());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  /** The duplicate arrives when the next request was already sent on the same connection. */
  @Test
  void lateDuplicateAnswerIsNotServedToNextRequest() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient first = fixture.client();
        TestClient second = fixture.client()) {
      first.send(TestClient.get("/api/x", ""));
      StubServer.Connection duplicated = calls.next();
      duplicated.answer(200, "", "one");
      duplicated.answer(200, "", "one"); // From now on the balancer has to expect duplicates.
      assertEquals("one", first.read().text());

      first.send(TestClient.get("/api/x", "").replace("r1", "r2"));
      StubServer.Connection late = calls.next();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        late.answer(200, "", "two");
        second.send(TestClient.get("/api/x", "").replace("r1", "r3"));
      }
      assertEquals("two", first.read().text());
      StubServer.Connection next = calls.next();
      late.answer(200, "", "two");
      next.answer(200, "", "three");
      assertEquals("three", second.read().text());
    }
  }

  /** Guards against answers that go to the request after their own, from a first late copy on. */
  @Test
  void firstLateDuplicateAnswerIsNotServedToNextRequest() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient first = fixture.client();
        TestClient second = fixture.client()) {
      first.send(TestClient.get("/api/x", ""));
      StubServer.Connection duplicated = calls.next();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        duplicated.answer(200, "", "one");
        second.send(TestClient.get("/api/x", "").replace("r1", "r2"));
      }
      assertEquals("one", first.read().text());
      StubServer.Connection next = calls.next();
      duplicated.answer(200, "", "one");
      next.answer(200, "", "two");
      assertEquals("two", second.read().text());
    }
  }

  /** Guards against a late copy of an error that passes for the answer to the next request. */
  @Test
  void lateDuplicateErrorIsNotTakenForNextAnswer() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient first = fixture.client();
        TestClient second = fixture.client()) {
      first.send(TestClient.post("publish", "", "one"));
      StubServer.Connection failed = calls.next();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        failed.answer(500, "", "");
        second.send(TestClient.get("/api/x", "").replace("r1", "r2"));
      }
      assertEquals(502, first.read().status());
      StubServer.Connection next = calls.next();
      failed.answer(500, "", "");
      Thread.sleep(20);
      next.answer(200, "", "two");
      assertEquals("two", second.read().text());
      assertTrue(calls.isEmpty(), "the request ran a second time");
    }
  }
}
