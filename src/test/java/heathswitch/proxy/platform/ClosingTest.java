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
class ClosingTest {
  private static final int ANSWER_BYTES = 12_000;
  private static final int SMALL_WINDOW = 2048;

  /** Past the time for which connections are taken, where deadlines are of 1.5 s. */
  private static final long TAKING_ENDS_NANOS = 800_000_000L;

  @TempDir Path folder;

  private final HeldCalls held = new HeldCalls();

  /** A close over unread bytes would be a reset, and cut off what the client has not read yet. */
  @Test
  void anAnswerArrivesWholeThoughBytesWaitBehindItsRequest() throws Exception {
    try (Peer upstream = held.upstream();
        Fixture fixture = new Fixture().upstream(upstream).start();
        Client client = new Client(fixture.address(), SMALL_WINDOW)) {
      client.send(Client.get("/api/x", "Connection: close\r\n"));
      Peer.Connection call = held.next();
      try (LoopGate gate = fixture.holdLoop()) {
        call.answer(200, "", "x".repeat(ANSWER_BYTES));
        client.send(Client.get("/api/y", "").replace("r1", "r2"));
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
    try (Peer upstream = Peer.serving("ok");
        Fixture fixture = new Fixture().upstream(upstream).longest(300).start();
        Client client = fixture.client()) {
      assertEquals(200, client.call(Client.get("/api/x", "")).status());
      upstream.request();
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertNull(client.read(), "the resting connection is ended");
      client.send(Client.get("/api/y", "").replace("r1", "r2"));
      assertNull(client.read(), "without a reset");
      assertTrue(drained.await(30, TimeUnit.SECONDS));
      assertTrue(upstream.requests.isEmpty(), "nothing was sent on");
    }
  }

  /** The end of the taking and the request wait for the same turn, and the end comes first. */
  @Test
  void bytesThatCameBeforeTheCloseAreARequestLikeAnyOther() throws Exception {
    try (Peer upstream = Peer.serving("ok");
        Fixture fixture = new Fixture().upstream(upstream).longest(1500).start();
        Client client = fixture.client()) {
      assertEquals(200, client.call(Client.get("/api/x", "")).status());
      CountDownLatch drained = fixture.node().shutdown().drain();
      long begunNanos = System.nanoTime();
      try (LoopGate gate = fixture.holdLoop()) {
        client.send(Client.get("/api/y", "").replace("r1", "r2"));
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
    try (Peer upstream = held.upstream();
        Fixture fixture = new Fixture().upstream(upstream).start();
        Client client = fixture.client()) {
      String request = Client.post("publish", "", "body");
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
    try (Peer upstream = held.upstream();
        Fixture fixture = new Fixture().upstream(upstream).start();
        Client client = fixture.client()) {
      client.send(Client.get("/api/x", ""));
      Peer.Connection first = held.next();
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
    try (Peer upstream = Peer.serving("ok");
        Fixture fixture = new Fixture().upstream(upstream).longest(300).build()) {
      CountDownLatch drained = fixture.node().shutdown().drain();
      assertTrue(drained.await(30, TimeUnit.SECONDS));
      fixture.balancer().start();
      assertNull(fixture.node().address(), "it never listens");
    }
  }

  /** The drain comes between the look whether it has begun and the bound address. */
  @Test
  void aDrainWhileTheAddressIsBoundTakesNobody() throws Exception {
    try (Peer upstream = Peer.serving("ok");
        Fixture fixture = new Fixture().upstream(upstream).build()) {
      Node node = fixture.node();
      ClientListener server = new ClientListener(node.loop(), new Clock(), node.budget());
      FutureTask<Void> start =
          new FutureTask<>(
              () -> {
                server.start(new InetSocketAddress("127.0.0.1", 0), false, node.dispatcher(), null);
                return null;
              });
      Thread starting = new Thread(start);
      try (LoopGate gate = new LoopGate(node.loop())) {
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
    try (Client client = new Client(address)) {
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (Exception e) { // Reset while the listener closes.
      return false;
    }
  }

  @Test
  void aSecondSignalChangesNothing() throws Exception {
    try (Peer upstream = held.upstream();
        Fixture fixture = new Fixture().upstream(upstream).start();
        Client client = fixture.client()) {
      client.send(Client.get("/api/x", ""));
      Peer.Connection call = held.next();
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
    try (Peer upstream = held.upstream();
        Peer discovery = Peer.replying((connection, request) -> {});
        Fixture fixture = new Fixture().upstream(upstream).file(file).start();
        Client client = fixture.client()) {
      client.send(Client.get("/api/x", ""));
      Peer.Connection call = held.next();
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
    try (Peer upstream = held.upstream();
        Fixture fixture = new Fixture().upstream(upstream).start();
        Client first = fixture.client();
        Client second = fixture.client()) {
      first.send(Client.get("/api/x", ""));
      Peer.Connection spoilt = held.next();
      spoilt.answer(200, "", "one");
      spoilt.answer(200, "", "one"); // From here on such answers are to be expected.
      assertEquals("one", first.read().text());

      first.send(Client.get("/api/x", "").replace("r1", "r2"));
      Peer.Connection late = held.next();
      try (LoopGate gate = fixture.holdLoop()) {
        late.answer(200, "", "two");
        second.send(Client.get("/api/x", "").replace("r1", "r3"));
      }
      assertEquals("two", first.read().text());
      Peer.Connection next = held.next();
      late.answer(200, "", "two");
      next.answer(200, "", "three");
      assertEquals("three", second.read().text());
    }
  }
}
