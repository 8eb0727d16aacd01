package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import testing.Await;

/** SIGHUP moves the balancer to another discovery, and a file that is no good changes nothing. */
@Timeout(60)
class DiscoveryReloadTest {
  @TempDir Path folder;

  private static StubServer discovery(BlockingQueue<StubServer.Connection> watches)
      throws Exception {
    return StubServer.replying(
        (connection, request) -> {
          connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          watches.add(connection);
        });
  }

  private static void line(StubServer.Connection watch, String text) throws Exception {
    watch.send(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
  }

  private static String text(TestClient client) {
    try {
      return client.call(TestClient.get("/api/x", "")).text();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String json(StubServer third) {
    return BalancerFixture.json("s-3", third.address(), "in_service");
  }

  @Test
  void listensToTheNewDiscoveryAndThenLeavesTheOld() throws Exception {
    BlockingQueue<StubServer.Connection> oldWatches = new LinkedBlockingQueue<>();
    BlockingQueue<StubServer.Connection> newWatches = new LinkedBlockingQueue<>();
    Path file = folder.resolve("config.json");
    try (StubServer before = discovery(oldWatches);
        StubServer after = discovery(newWatches);
        StubServer first = StubServer.serving("first");
        StubServer second = StubServer.serving("second");
        StubServer third = StubServer.serving("third");
        BalancerFixture fixture =
            new BalancerFixture().upstream(first).pushed(before).file(file).start();
        TestClient client = fixture.client()) {
      StubServer.Connection old = oldWatches.poll(30, TimeUnit.SECONDS);
      line(old, "");
      Files.writeString(file, "{ no configuration");
      fixture.reload().reload();
      assertEquals("first", client.call(TestClient.get("/api/x", "")).text());

      fixture.pushed(after).file(file);
      fixture.reload().reload();
      StubServer.Connection watch = newWatches.poll(30, TimeUnit.SECONDS);
      assertEquals("GET /discovery/hosts?stream=1 HTTP/1.1", after.request().start());
      String member = BalancerFixture.json("s-9", second.address(), "in_service");
      line(watch, ""); // Asked for the whole list, it has told nothing yet.
      line(old, "{\"revision\":1000,\"complete\":false,\"members\":[" + json(third) + "]}");
      Await.until("the old watch is heard", () -> "third".equals(text(client)));
      line(watch, "{\"revision\":1,\"complete\":true,\"members\":[" + member + "]}");
      assertTrue(before.ended.poll(30, TimeUnit.SECONDS) != null, "the old watch ends");
      assertEquals("second", client.call(TestClient.get("/api/x", "")).text());
    }
  }

  /** The watch at the address to which it comes back has been silent: it has confirmed nothing. */
  @Test
  void aMoveAwayAndBackConfirmsNothing() throws Exception {
    BlockingQueue<StubServer.Connection> watches = new LinkedBlockingQueue<>();
    Path file = folder.resolve("config.json");
    try (StubServer discovery = discovery(watches);
        StubServer server = StubServer.serving("served");
        BalancerFixture fixture =
            new BalancerFixture()
                .upstream(server)
                .asking(discovery)
                .mustAskWithin(10_000)
                .grace(500)
                .file(file)
                .start()) {
      line(watches.poll(30, TimeUnit.SECONDS), "");
      fixture.pushedAt("127.0.0.1:1").file(file);
      fixture.reload().reload();
      fixture.asking(discovery).file(file);
      fixture.reload().reload();
      // Past 4 s and the grace after the move, and before 6 s and the grace after the way back.
      Thread.sleep(6200);
      try (TestClient client = fixture.client()) {
        assertEquals(503, client.call(TestClient.get("/api/x", "")).status());
      }
    }
  }
}
