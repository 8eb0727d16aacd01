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

/** A reload switches the balancer to another discovery; an invalid file changes nothing. */
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

  private static void sendLine(StubServer.Connection watch, String text) throws Exception {
    watch.send(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
  }

  private static String text(TestClient client) {
    try {
      return client.call(TestClient.get("/api/x", "")).text();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String thirdMember(StubServer third) {
    return BalancerFixture.json("s-3", third.address(), "in_service");
  }

  @Test
  void oldWatchIsUsedUntilNewDiscoverySendsItsList() throws Exception {
    BlockingQueue<StubServer.Connection> oldWatches = new LinkedBlockingQueue<>();
    BlockingQueue<StubServer.Connection> newWatches = new LinkedBlockingQueue<>();
    Path file = folder.resolve("config.json");
    try (StubServer before = discovery(oldWatches);
        StubServer after = discovery(newWatches);
        StubServer first = StubServer.answering("first");
        StubServer second = StubServer.answering("second");
        StubServer third = StubServer.answering("third");
        BalancerFixture fixture =
            new BalancerFixture().upstream(first).pushedBy(before).writeConfig(file).start();
        TestClient client = fixture.client()) {
      StubServer.Connection old = oldWatches.poll(30, TimeUnit.SECONDS);
      sendLine(old, "");
      Files.writeString(file, "{ no configuration");
      fixture.reload().reload();
      assertEquals("first", client.call(TestClient.get("/api/x", "")).text());

      fixture.pushedBy(after).writeConfig(file);
      fixture.reload().reload();
      StubServer.Connection watch = newWatches.poll(30, TimeUnit.SECONDS);
      assertEquals("GET /discovery/hosts?stream=1 HTTP/1.1", after.awaitRequest().startLine());
      String member = BalancerFixture.json("s-9", second.address(), "in_service");
      sendLine(watch, ""); // An empty line does not answer a request for the whole list.
      sendLine(
          old, "{\"revision\":1000,\"complete\":false,\"members\":[" + thirdMember(third) + "]}");
      Await.until("the old watch is still in use", () -> "third".equals(text(client)));
      sendLine(watch, "{\"revision\":1,\"complete\":true,\"members\":[" + member + "]}");
      assertTrue(before.ended.poll(30, TimeUnit.SECONDS) != null, "the old watch ends");
      assertEquals("second", client.call(TestClient.get("/api/x", "")).text());
    }
  }

  /**
   * The watch at the first address has been silent meanwhile, so switching back to it must not
   * confirm the list.
   */
  @Test
  void switchingAwayAndBackDoesNotConfirmList() throws Exception {
    BlockingQueue<StubServer.Connection> watches = new LinkedBlockingQueue<>();
    Path file = folder.resolve("config.json");
    try (StubServer discovery = discovery(watches);
        StubServer server = StubServer.answering("served");
        BalancerFixture fixture =
            new BalancerFixture()
                .upstream(server)
                .subscribedTo(discovery)
                .mustAskWithin(10_000)
                .grace(500)
                .writeConfig(file)
                .start()) {
      sendLine(watches.poll(30, TimeUnit.SECONDS), "");
      fixture.pushedFrom("127.0.0.1:1").writeConfig(file);
      fixture.reload().reload();
      fixture.subscribedTo(discovery).writeConfig(file);
      fixture.reload().reload();
      // After 4 s plus the grace from the first switch, and before 6 s plus the grace from the
      // second.
      Thread.sleep(6200);
      try (TestClient client = fixture.client()) {
        assertEquals(503, client.call(TestClient.get("/api/x", "")).status());
      }
    }
  }
}
