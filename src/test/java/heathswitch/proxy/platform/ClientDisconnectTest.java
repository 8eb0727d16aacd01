package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * No attempt begins for a client that has closed its connection, wherever its request is then. Each
 * test puts the close before the event that would begin the attempt, and ends with a request of
 * another client: what an upstream has got by then is all that it will get.
 */
@Timeout(60)
class ClientDisconnectTest {
  private static final int FLOOD = 300;
  private static final int UPLOAD_BYTES = 3 << 20;

  /** Calls that an upstream gets at once before it has answered any. */
  private static final int WINDOW = 32;

  /** The next request that the upstream gets is that of a client which came later. */
  private static void assertNothingBefore(BalancerFixture fixture, StubServer upstream)
      throws Exception {
    try (TestClient later = fixture.client()) {
      later.send(TestClient.get("/later", "").replace("r1", "later"));
      assertEquals("GET /later HTTP/1.1", upstream.request().start());
    }
  }

  private final PendingCalls held = new PendingCalls();

  /** So many calls that are out at once, each from a client of its own. */
  private List<TestClient> callsOut(BalancerFixture fixture, StubServer upstream, int count)
      throws Exception {
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      TestClient client = fixture.client();
      clients.add(client);
      client.send(TestClient.get("/warm", "").replace("r1", "warm" + i));
      upstream.request();
    }
    return clients;
  }

  /** So that a retry needs no new connection, which would give the close time to be seen. */
  private void keepTwoConnections(BalancerFixture fixture, StubServer upstream) throws Exception {
    for (TestClient warm : callsOut(fixture, upstream, 2)) {
      held.next().answer(200, "", "ok");
      warm.read();
      warm.close();
    }
  }

  @Test
  void aRetryIsNotSent() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      keepTwoConnections(fixture, upstream);
      client.send(TestClient.get("/api/x", ""));
      upstream.request();
      StubServer.Connection attempt = held.next();
      try (EventLoopBlocker gate = fixture.holdLoop()) {
        attempt.answer(500, "", "an error"); // The loop finds this first,
        client.close(); // and only then that there is nobody to try again for.
      }
      assertNothingBefore(fixture, upstream);
    }
  }

  @Test
  void aRequestThatWaitsForRoomIsNotSent() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().tier(1).upstream(upstream).start();
        TestClient client = fixture.client()) {
      List<TestClient> full = callsOut(fixture, upstream, WINDOW);
      client.send(TestClient.get("/api/x", ""));
      fixture.awaitLive(WINDOW + 1);
      StubServer.Connection room = held.next();
      try (EventLoopBlocker gate = fixture.holdLoop()) {
        room.answer(200, "", "ok");
        client.close();
      }
      assertNothingBefore(fixture, upstream);
      for (TestClient each : full) {
        each.close();
      }
    }
  }

  @Test
  void aRetryBehindAFloodIsNotSent() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      keepTwoConnections(fixture, upstream);
      client.send(TestClient.get("/api/x", ""));
      upstream.request();
      StringBuilder flood = new StringBuilder();
      for (int i = 0; i < FLOOD; i++) {
        flood.append(TestClient.get("/api/x", "").replace("r1", "flood" + i));
      }
      client.send(flood.toString());
      client.close();
      held.next().answer(500, "", "an error");
      assertNothingBefore(fixture, upstream);
    }
  }

  /** Its body lies in the buffers of the machine while the upstream takes nothing of it. */
  @Test
  void aLongBodyWhoseClientLeftIsNotEnded() throws Exception {
    CountDownLatch left = new CountDownLatch(1);
    BlockingQueue<Integer> got = new LinkedBlockingQueue<>();
    StubServer.Script takesItLate =
        connection -> {
          RawHttp.Message head = RawHttp.readHead(connection.in());
          assertNotNull(head);
          left.await();
          got.add(connection.in().readNBytes(UPLOAD_BYTES).length);
        };
    try (StubServer upstream = new StubServer(takesItLate);
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "", "x".repeat(UPLOAD_BYTES)));
      client.close();
      left.countDown();
      Integer bytes = got.poll(30, TimeUnit.SECONDS);
      assertNotNull(bytes);
      assertTrue(bytes < UPLOAD_BYTES, "all of it came, and so it runs for nobody");
    }
  }

  /** What has begun is called off at once, and leaves nothing behind. */
  @Test
  void whatIsOutIsCalledOff() throws Exception {
    try (StubServer upstream =
            StubServer.replying((connection, request) -> connection.in().read());
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "", "x"));
      upstream.request();
      client.close();
      assertNotNull(upstream.ended.poll(30, TimeUnit.SECONDS), "its connection is closed");
      fixture.awaitLive(0);
    }
  }
}
