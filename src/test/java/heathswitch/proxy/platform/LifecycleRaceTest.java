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

/** What crosses a close, a drain or a reload: each test forces the order in which things come. */
@Timeout(60)
class LifecycleRaceTest {
  private static final int ANSWER_BYTES = 12_000;
  private static final int SMALL_WINDOW = 2048;

  /** Past the time for which connections are taken, where deadlines are of 1.5 s. */
  private static final long TAKING_ENDS_NANOS = 800_000_000L;

  @TempDir Path folder;

  private final PendingCalls held = new PendingCalls();

  /** A close over unread bytes would be a reset, and cut off what the client has not read yet. */
  @Test
  void anAnswerArrivesWholeThoughBytesWaitBehindItsRequest() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = new TestClient(fixture.address(), SMALL_WINDOW)) {
      client.send(TestClient.get("/api/x", "Connection: close\r\n"));
      StubServer.Connection call = held.next();
      try (EventLoopBlocker gate = fixture.holdLoop()) {
        call.answer(200, "", "x".repeat(ANSWER_BYTES));
        client.send(TestClient.get("/api/y", "").replace("r1", "r2"));
      }
      // Nothing is read before the balancer has let go of it: only the one to the upstream is left.
      Await.until("the connection is closed", () -> fixture.connections() <= 1);
      assertEquals(ANSWER_BYTES, client.read().body().length);
      assertNull(client.read(), "and then it ends in order");
    }
  }

  /** It crosses the close, so its client sends it once more on another connection. */
  @Test
  void aRequestThatComesAfterTheCloseIsNeverSentOn() throws Exception {
    try (StubServer upstream = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).longest(300).start();
        TestClient client = fixture.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      upstream.request();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertNull(client.read(), "the resting connection is ended");
      client.send(TestClient.get("/api/y", "").replace("r1", "r2"));
      assertNull(client.read(), "without a reset");
      assertTrue(drained.await(30, TimeUnit.SECONDS));
      assertTrue(upstream.requests.isEmpty(), "nothing was sent on");
    }
  }

  /** The end of the taking and the request wait for the same turn, and the end comes first. */
  @Test
  void bytesThatCameBeforeTheCloseAreARequestLikeAnyOther() throws Exception {
    try (StubServer upstream = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).longest(1500).start();
        TestClient client = fixture.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      CountDownLatch drained = fixture.node().shutdown().drain();
      long begunNanos = System.nanoTime();
      try (EventLoopBlocker gate = fixture.holdLoop()) {
        client.send(TestClient.get("/api/y", "").replace("r1", "r2"));
        Await.until(
            "the end of the taking is due",
            () -> System.nanoTime() - begunNanos > TAKING_ENDS_NANOS);
      }
      assertEquals(200, client.read().status());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  @Test
  void aBodyThatComesWholeWhenNothingCanBeAnsweredAnyMoreIsRefusedAtOnce() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      String request = TestClient.post("publish", "", "body");
      client.send(request.substring(0, request.length() - 2));
      fixture.node().loop().submit(() -> fixture.node().dispatcher().failAll()).sync();
      client.send(request.substring(request.length() - 2));
      assertEquals(503, client.read().status());
      fixture.awaitLive(0);
      assertTrue(upstream.requests.isEmpty(), "nothing was sent on");
    }
  }

  @Test
  void aRetryThatIsDueDuringTheDrainIsMade() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection first = held.next();
      CountDownLatch drained = fixture.node().shutdown().drain();
      first.answer(500, "", "an error");
      held.next().answer(200, "", "second");
      assertEquals("second", client.read().text());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  /** SIGTERM may come while the process still starts: nobody is taken, and it ends. */
  @Test
  void aDrainBeforeTheStartTakesNobody() throws Exception {
    try (StubServer upstream = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).longest(300).build()) {
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertTrue(drained.await(30, TimeUnit.SECONDS));
      fixture.balancer().start();
      assertNull(fixture.node().address(), "it never listens");
    }
  }

  /** The drain comes between the look whether it has begun and the bound address. */
  @Test
  void aDrainWhileTheAddressIsBoundTakesNobody() throws Exception {
    try (StubServer upstream = StubServer.serving("ok");
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
      try (EventLoopBlocker gate = new EventLoopBlocker(node.loop())) {
        starting.start();
        Await.until("it binds", () -> starting.getState() == Thread.State.WAITING);
        node.loop().execute(server::stopListening);
      }
      start.get(30, TimeUnit.SECONDS);
      assertNotNull(server.address(), "it was bound");
      Await.until("closed", () -> refuses(server.address()));
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
  void aSecondSignalChangesNothing() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection call = held.next();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertEquals(drained, fixture.node().shutdown().drain());
      call.answer(200, "", "ok");
      assertEquals(200, client.read().status());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  @Test
  void aReloadJustBeforeOrAfterTheSignalLosesNothing() throws Exception {
    Path file = folder.resolve("config.json");
    try (StubServer upstream = held.upstream();
        StubServer discovery = StubServer.replying((connection, request) -> {});
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).file(file).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection call = held.next();
      fixture.pushed(discovery).file(file);
      fixture.reload().reload();
      CountDownLatch drained = fixture.node().shutdown().drain();
      Files.writeString(file, "{ cut off");
      fixture.reload().reload();
      call.answer(200, "", "ok");
      assertEquals(200, client.read().status());
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  /** The second copy comes when the next request is already out on the same connection. */
  @Test
  void aSecondAnswerThatComesLateIsNotTheNextOne() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient first = fixture.client();
        TestClient second = fixture.client()) {
      first.send(TestClient.get("/api/x", ""));
      StubServer.Connection spoilt = held.next();
      spoilt.answer(200, "", "one");
      spoilt.answer(200, "", "one"); // From here on such answers are to be expected.
      assertEquals("one", first.read().text());

      first.send(TestClient.get("/api/x", "").replace("r1", "r2"));
      StubServer.Connection late = held.next();
      try (EventLoopBlocker gate = fixture.holdLoop()) {
        late.answer(200, "", "two");
        second.send(TestClient.get("/api/x", "").replace("r1", "r3"));
      }
      assertEquals("two", first.read().text());
      StubServer.Connection next = held.next();
      late.answer(200, "", "two");
      next.answer(200, "", "three");
      assertEquals("three", second.read().text());
    }
  }
}
