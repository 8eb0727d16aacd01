package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A drain continues to serve for a while, and every request is answered when it ends. */
@Timeout(60)
class GracefulShutdownTest {
  private static final int MOST_ATTEMPTS = 5;
  private static final long BETWEEN_MILLIS = 10;

  /** A client that sends its request within this time of connecting has to be answered. */
  private static final long PROMPT_MILLIS = 200;

  @Test
  void servesOpenConnectionsAndThenClosesThem() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      CountDownLatch drained = fixture.node().shutdown().drain();
      while (client.call(TestClient.get("/up", "")).status() != 503) {
        Thread.onSpinWait(); // The drain starts a moment later, on the event loop.
      }
      RawHttp.Message answer = client.call(TestClient.get("/api/x", ""));
      assertEquals(200, answer.status());
      assertEquals("keep-alive", answer.headers().get("connection"));
      assertNull(client.read());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  @Test
  void failsRequestsThatCannotBeAnsweredBeforeTheKill() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    try (StubServer upstream = StubServer.replying((connection, request) -> never.await());
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "X-Deadline: 19\r\n", "x"));
      upstream.awaitRequest();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertEquals(502, client.read().status());
      assertTrue(drained.await(10, TimeUnit.SECONDS));
    }
  }

  /** With shorter deadlines SIGKILL comes sooner, and a request accepted late would be lost. */
  @Test
  void endsSoonerWithShorterDeadlines() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture slow = new BalancerFixture().upstream(upstream).start();
        BalancerFixture quick = new BalancerFixture().upstream(upstream).deadline(300).start();
        TestClient patient = slow.client();
        TestClient brief = quick.client()) {
      assertEquals(200, patient.call(TestClient.get("/api/x", "")).status());
      assertEquals(200, brief.call(TestClient.get("/api/x", "")).status());
      CountDownLatch later = slow.node().shutdown().drain();
      CountDownLatch sooner = quick.node().shutdown().drain();
      assertTrue(sooner.await(30, TimeUnit.SECONDS));
      assertTrue(later.getCount() > 0, "the first drain takes longer");
      assertEquals(200, patient.call(TestClient.get("/api/x", "")).status());
      assertTrue(later.await(30, TimeUnit.SECONDS));
    }
  }

  /**
   * A client that has just connected has not had time to send its request. With short deadlines the
   * balancer stops listening and accepting requests at the same moment; it must not close such a
   * connection while its first request is on the way, because the client does not send it
   * elsewhere.
   */
  @Test
  void clientConnectingJustBeforeListenerClosesIsAnswered() throws Exception {
    for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
      try (StubServer upstream = StubServer.answering("ok");
          BalancerFixture fixture =
              new BalancerFixture().upstream(upstream).deadline(300).start()) {
        CountDownLatch drained = fixture.node().shutdown().drain();
        try (LastClient last = LastClient.of(fixture)) {
          RawHttp.Message answer = last.client.call(TestClient.get("/api/late", ""));
          if (last.ageMillis() > PROMPT_MILLIS) {
            continue; // The test machine was slow, so the balancer need not have waited.
          }
          assertEquals(200, answer == null ? 0 : answer.status());
        }
        assertTrue(drained.await(10, TimeUnit.SECONDS));
        return;
      }
    }
    fail("no attempt was prompt enough to be conclusive");
  }

  /** A client that sends nothing must not keep the drain open until the kill. */
  @Test
  void silentClientDoesNotDelayTheEnd() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start()) {
      CountDownLatch drained = fixture.node().shutdown().drain();
      try (LastClient last = LastClient.of(fixture)) {
        assertNull(last.client.read());
      }
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  /** The last of many clients that connect one after another until the balancer refuses them. */
  private record LastClient(TestClient client, long connectedNanos) implements AutoCloseable {
    static LastClient of(BalancerFixture fixture) throws Exception {
      LastClient last = null;
      while (true) {
        try {
          LastClient next = new LastClient(fixture.client(), System.nanoTime());
          if (last != null) {
            last.close();
          }
          last = next;
        } catch (IOException refused) {
          return last;
        }
        Thread.sleep(BETWEEN_MILLIS);
      }
    }

    long ageMillis() {
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedNanos);
    }

    @Override
    public void close() {
      try {
        client.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
