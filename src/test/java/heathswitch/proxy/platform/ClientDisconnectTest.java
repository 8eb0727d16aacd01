package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * No attempt is started for a client that has closed its connection, whatever the state of its
 * request. Each test closes the connection before the event that would start the attempt, and ends
 * with a request of another client: the upstream must get that one next.
 */
@Timeout(60)
class ClientDisconnectTest {
  private static final int FLOOD_REQUESTS = 300;
  private static final int UPLOAD_BYTES = 3 << 20;

  /** How many calls at once an upstream gets before it has answered any. */
  private static final int WINDOW = 32;

  /** Asserts that the next request that the upstream gets is one of a later client. */
  private static void assertLaterRequestIsNext(BalancerFixture fixture, StubServer upstream)
      throws Exception {
    try (TestClient later = fixture.client()) {
      later.send(TestClient.get("/later", "").replace("r1", "later"));
      assertEquals("GET /later HTTP/1.1", upstream.awaitRequest().startLine());
    }
  }

  private final PendingCalls calls = new PendingCalls();

  /** Sends {@code count} calls, each from a client of its own, and leaves them unanswered. */
  private List<TestClient> sendCalls(BalancerFixture fixture, StubServer upstream, int count)
      throws Exception {
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      TestClient client = fixture.client();
      clients.add(client);
      client.send(TestClient.get("/warm", "").replace("r1", "warm" + i));
      upstream.awaitRequest();
    }
    return clients;
  }

  /**
   * Leaves two idle connections to the upstream, so that a retry needs no new connection.
   * Connecting would give the balancer time to see the close.
   */
  private void openTwoIdleConnections(BalancerFixture fixture, StubServer upstream)
      throws Exception {
    for (TestClient warm : sendCalls(fixture, upstream, 2)) {
      calls.next().answer(200, "", "ok");
      warm.read();
      warm.close();
    }
  }

  @Test
  void retryIsNotSentAfterDisconnect() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      openTwoIdleConnections(fixture, upstream);
      client.send(TestClient.get("/api/x", ""));
      upstream.awaitRequest();
      StubServer.Connection attempt = calls.next();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        attempt.answer(500, "", "an error"); // The event loop reads this first,
        client.close(); // and sees the close only after it.
      }
      assertLaterRequestIsNext(fixture, upstream);
    }
  }

  @Test
  void queuedRequestIsNotSentAfterDisconnect() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().tier(1).upstream(upstream).start();
        TestClient client = fixture.client()) {
      List<TestClient> windowFillers = sendCalls(fixture, upstream, WINDOW);
      client.send(TestClient.get("/api/x", ""));
      fixture.awaitLiveRequests(WINDOW + 1);
      StubServer.Connection answered = calls.next();
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        answered.answer(200, "", "ok");
        client.close();
      }
      assertLaterRequestIsNext(fixture, upstream);
      for (TestClient each : windowFillers) {
        each.close();
      }
    }
  }

  @Test
  void retryIsNotSentWhenCloseFollowsPipelinedFlood() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      openTwoIdleConnections(fixture, upstream);
      client.send(TestClient.get("/api/x", ""));
      upstream.awaitRequest();
      StringBuilder flood = new StringBuilder();
      for (int i = 0; i < FLOOD_REQUESTS; i++) {
        flood.append(TestClient.get("/api/x", "").replace("r1", "flood" + i));
      }
      StubServer.Connection attempt = calls.next();
      client.send(flood.toString());
      client.close();
      try {
        attempt.answer(500, "", "an error");
      } catch (IOException e) {
        // The balancer has seen the disconnect already and has cancelled the attempt.
      }
      assertLaterRequestIsNext(fixture, upstream);
    }
  }

  /**
   * The upstream reads nothing until the client has closed its connection, so that the body is
   * still in the buffers of the machine.
   */
  @Test
  void largeBodyIsNotCompletedAfterDisconnect() throws Exception {
    CountDownLatch disconnected = new CountDownLatch(1);
    BlockingQueue<Integer> bodyBytes = new LinkedBlockingQueue<>();
    StubServer.ConnectionHandler readsAfterDisconnect =
        connection -> {
          RawHttp.Message head = RawHttp.readHead(connection.in());
          assertNotNull(head);
          disconnected.await();
          bodyBytes.add(connection.in().readNBytes(UPLOAD_BYTES).length);
        };
    try (StubServer upstream = new StubServer(readsAfterDisconnect);
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "", "x".repeat(UPLOAD_BYTES)));
      client.close();
      disconnected.countDown();
      Integer bytes = bodyBytes.poll(30, TimeUnit.SECONDS);
      assertNotNull(bytes);
      assertTrue(
          bytes < UPLOAD_BYTES, "the whole body arrived, so the request runs without a client");
    }
  }

  /** An attempt in progress is cancelled at once, and nothing of the request remains. */
  @Test
  void openAttemptIsCancelledOnDisconnect() throws Exception {
    try (StubServer upstream =
            StubServer.replying((connection, request) -> connection.in().read());
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "", "x"));
      upstream.awaitRequest();
      client.close();
      assertNotNull(upstream.ended.poll(30, TimeUnit.SECONDS), "the upstream connection is closed");
      fixture.awaitLiveRequests(0);
    }
  }
}
