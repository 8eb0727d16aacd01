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

/** A drain goes on serving for a while, and owes nothing when it ends. */
@Timeout(60)
class GracefulShutdownTest {
  private static final int MOST_ATTEMPTS = 5;
  private static final long BETWEEN_MILLIS = 10;

  /** A client that asks so soon after it has connected has to be answered. */
  private static final long PROMPT_MILLIS = 200;

  @Test
  void servesOpenConnectionsAndThenClosesThem() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      CountDownLatch drained = fixture.node().shutdown().drain();
      while (client.call(TestClient.get("/up", "")).status() != 503) {
        Thread.onSpinWait(); // The drain begins on the loop, a moment later.
      }
      RawHttp.Message answer = client.call(TestClient.get("/api/x", ""));
      assertEquals(200, answer.status());
      assertEquals("keep-alive", answer.headers().get("connection"));
      assertNull(client.read());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  @Test
  void failsWhatCannotBeAnsweredBeforeTheKill() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    try (StubServer peer = StubServer.replying((connection, request) -> never.await());
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "X-Deadline: 19\r\n", "x"));
      peer.request();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertEquals(502, client.read().status());
      assertTrue(drained.await(10, TimeUnit.SECONDS));
    }
  }

  /** SIGKILL comes the sooner, the shorter the deadlines: what is taken late would be lost. */
  @Test
  void endsTheSoonerTheShorterTheDeadlinesAre() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture slow = new BalancerFixture().upstream(peer).start();
        BalancerFixture quick = new BalancerFixture().upstream(peer).longest(300).start();
        TestClient patient = slow.client();
        TestClient brief = quick.client()) {
      assertEquals(200, patient.call(TestClient.get("/api/x", "")).status());
      assertEquals(200, brief.call(TestClient.get("/api/x", "")).status());
      CountDownLatch later = slow.node().shutdown().drain();
      CountDownLatch sooner = quick.node().shutdown().drain();
      assertTrue(sooner.await(30, TimeUnit.SECONDS));
      assertTrue(later.getCount() > 0, "begun first, and yet it takes longer");
      assertEquals(200, patient.call(TestClient.get("/api/x", "")).status());
      assertTrue(later.await(30, TimeUnit.SECONDS));
    }
  }

  /**
   * A client that has just connected has not had the time to ask: with short deadlines the balancer
   * stops listening and taking in the same moment, and must not end that connection under the first
   * request, which a client sends nowhere else.
   */
  @Test
  void aClientThatConnectsAtTheEndOfTheListeningIsAnswered() throws Exception {
    for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
      try (StubServer peer = StubServer.serving("ok");
          BalancerFixture fixture = new BalancerFixture().upstream(peer).longest(300).start()) {
        CountDownLatch drained = fixture.node().shutdown().drain();
        try (LastClient last = LastClient.of(fixture)) {
          RawHttp.Message answer = last.client.call(TestClient.get("/api/late", ""));
          if (last.ageMillis() > PROMPT_MILLIS) {
            continue; // This machine was held up, and the balancer need not have waited.
          }
          assertEquals(200, answer == null ? 0 : answer.status());
        }
        assertTrue(drained.await(10, TimeUnit.SECONDS));
        return;
      }
    }
    fail("no attempt was prompt enough to judge");
  }

  /** One that asks for nothing does not hold up the end until the kill. */
  @Test
  void aClientThatConnectsAndIsSilentDoesNotHoldUpTheEnd() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start()) {
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
