package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The operations API: operators suspend and resume upstreams, drain a balancer, and replace its
 * process.
 */
@Timeout(60)
class OperationsTest {
  private static final String SUSPEND = "/v1/upstreams/s-0/suspend";
  private static final String RESUME = "/v1/upstreams/s-0/resume";

  @TempDir Path folder;

  /** Makes calls one after the other and returns the texts of their answers. */
  private static List<String> answers(BalancerFixture fixture, int calls) throws Exception {
    List<String> answers = new ArrayList<>();
    try (TestClient client = fixture.client()) {
      for (int i = 0; i < calls; i++) {
        answers.add(client.call(TestClient.get("/api/x", "")).text());
      }
    }
    return answers;
  }

  /** Makes calls until this upstream answers one; only the test's timeout limits the wait. */
  private static void awaitAnswer(BalancerFixture fixture, String from) throws Exception {
    while (!answers(fixture, 4).contains(from)) {
      Thread.onSpinWait();
    }
  }

  /** Makes calls until this upstream answers none of eight in a row. */
  private static void awaitNoAnswer(BalancerFixture fixture, String from) throws Exception {
    while (answers(fixture, 8).contains(from)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void suspendedUpstreamGetsNoCallsUntilResumed() throws Exception {
    try (StubServer first = StubServer.answering("first");
        StubServer second = StubServer.answering("second");
        BalancerFixture fixture =
            new BalancerFixture().upstream(first, second).operationsApi(folder).start()) {
      awaitAnswer(fixture, "first");
      assertEquals(200, fixture.callOperations("PUT", SUSPEND));
      assertEquals(200, fixture.callOperations("PUT", SUSPEND));
      assertEquals(List.of("second"), answers(fixture, 40).stream().distinct().toList());
      assertEquals(200, fixture.callOperations("PUT", RESUME));
      awaitAnswer(fixture, "first");
    }
  }

  @Test
  void unknownAndMalformedCommandsAreRejected() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture =
            new BalancerFixture().upstream(upstream).operationsApi(folder).start()) {
      assertEquals(404, fixture.callOperations("PUT", "/v1/upstreams/s-9/suspend"));
      assertEquals(404, fixture.callOperations("PUT", "/v1/upstreams/s-9/resume"));
      assertEquals(404, fixture.callOperations("PUT", "/v1/upstreams/suspend"));
      assertEquals(404, fixture.callOperations("GET", "/v1/nothing"));
      assertEquals(405, fixture.callOperations("GET", SUSPEND));
      assertEquals(405, fixture.callOperations("PUT", "/v1/readyz"));
      assertEquals(400, fixture.callOperations("PUT", "/v1/upstreams/%zz/suspend"));
      assertEquals(200, fixture.callOperations("PUT", "/v1/upstreams/%73-0/suspend"));
      assertEquals(200, fixture.callOperations("GET", "/v1/readyz"));
    }
  }

  /**
   * An upstream is suspended before discovery reports that it was restarted, so it must not be
   * treated as warm.
   */
  @Test
  void resumedUpstreamIsCold() throws Exception {
    try (StubServer first = StubServer.answering("first");
        StubServer second = StubServer.answering("second");
        BalancerFixture fixture =
            new BalancerFixture().upstream(first, second).operationsApi(folder).start()) {
      awaitAnswer(fixture, "first");
      assertEquals(200, fixture.callOperations("PUT", SUSPEND));
      assertEquals(200, fixture.callOperations("PUT", RESUME));
      String figures = fixture.node().loop().submit(fixture.node().dispatcher()::figures).get();
      assertTrue(figures.contains("cold 1"), figures);
    }
  }

  @Test
  void silentCallersDoNotBlockOthers() throws Exception {
    List<TestClient> silent = new ArrayList<>();
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture =
            new BalancerFixture().upstream(upstream).operationsApi(folder).start()) {
      for (int i = 0; i < 60; i++) {
        TestClient client = new TestClient(fixture.operationsAddress());
        client.send(i % 2 == 0 ? "" : "GET /v1/readyz HT");
        silent.add(client);
      }
      assertEquals(200, fixture.callOperations("GET", "/v1/readyz"));
      assertEquals(200, fixture.callOperations("PUT", SUSPEND));
      assertNull(silent.get(0).read(), "the oldest connection was closed");
    } finally {
      for (TestClient client : silent) {
        client.close();
      }
    }
  }

  @Test
  void drainedBalancerClosesConnectionsUntilActivated() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture =
            new BalancerFixture().upstream(upstream).operationsApi(folder).start();
        TestClient busy = fixture.client();
        TestClient idle = fixture.client()) {
      assertEquals(200, busy.call(TestClient.get("/api/x", "")).status());
      assertEquals(200, idle.call(TestClient.get("/api/x", "")).status());
      assertEquals(200, fixture.callOperations("PUT", "/v1/balancer/drain"));
      assertEquals(503, fixture.callOperations("GET", "/v1/readyz"));
      try (TestClient newClient = fixture.client()) {
        assertEquals(503, newClient.call(TestClient.get("/up", "")).status());
      }
      RawHttp.Message last = busy.call(TestClient.get("/api/x", ""));
      while (!"close".equals(last.headers().get("connection"))) {
        assertEquals(200, last.status());
        last = busy.call(TestClient.get("/api/x", ""));
      }
      assertEquals(200, last.status());
      assertNull(busy.read());
      assertNull(idle.read());
      assertEquals(200, fixture.callOperations("PUT", "/v1/balancer/activate"));
      try (TestClient newClient = fixture.client()) {
        assertEquals(200, newClient.call(TestClient.get("/up", "")).status());
        RawHttp.Message answer = newClient.call(TestClient.get("/api/x", ""));
        assertEquals("keep-alive", answer.headers().get("connection"));
      }
    }
  }

  /** A command to one process also applies to the other, before and after the handover. */
  @Test
  void suspensionsAreSharedBetweenProcesses() throws Exception {
    try (StubServer first = StubServer.answering("first");
        StubServer second = StubServer.answering("second");
        BalancerFixture old =
            new BalancerFixture().upstream(first, second).operationsApi(folder).start()) {
      assertEquals(200, old.callOperations("PUT", SUSPEND));
      // Listens at another address, so that each call reaches a known process.
      try (BalancerFixture next =
          new BalancerFixture().upstream(first, second).operationsApi(folder).start()) {
        assertEquals(List.of("second"), answers(next, 40).stream().distinct().toList());
        assertEquals(200, next.callOperations("PUT", "/v1/upstreams/s-1/suspend"));
        assertEquals(200, next.callOperations("PUT", RESUME));
        awaitNoAnswer(old, "second");
        awaitAnswer(old, "first");
      }
    }
  }

  @Test
  void replacedProcessLeavesClientsToItsSuccessor() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture old =
            new BalancerFixture().upstream(upstream).operationsApi(folder).start();
        TestClient client = old.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      try (BalancerFixture next =
          new BalancerFixture()
              .upstream(upstream)
              .operationsApi(folder)
              .sharingAddressOf(old)
              .start()) {
        assertEquals(200, next.callOperations("GET", "/v1/readyz"));
        CountDownLatch drained = old.node().shutdown().drain();
        RawHttp.Message last = client.call(TestClient.get("/api/x", ""));
        while (!"close".equals(last.headers().get("connection"))) {
          last = client.call(TestClient.get("/api/x", ""));
        }
        assertEquals(200, last.status());
        assertFalse(old.node().isListening(), "closed before clients are told to leave");
        for (int i = 0; i < 40; i++) {
          try (TestClient newClient = next.client()) {
            assertEquals(200, newClient.call(TestClient.get("/up", "")).status());
          }
        }
        assertEquals(503, old.callOperations("GET", "/v1/readyz"));
        assertTrue(drained.await(30, TimeUnit.SECONDS));
      }
    }
  }

  /**
   * The list that it was started with may be older than the one that the previous process received.
   */
  @Test
  void successorQueriesDiscoveryBeforeServing() throws Exception {
    try (StubServer listed = StubServer.answering("listed");
        StubServer known = StubServer.answering("known");
        StubServer discovery =
            StubServer.replying(
                (connection, request) -> {
                  String line =
                      "{\"revision\":50,\"complete\":true,\"members\":["
                          + BalancerFixture.json("s-7", listed.address(), "in_service")
                          + "]}\n";
                  connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                  connection.send(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                });
        BalancerFixture old = new BalancerFixture().upstream(known).operationsApi(folder).start();
        BalancerFixture next =
            new BalancerFixture().upstream(known).subscribedTo(discovery).operationsApi(folder)) {
      next.start();
      assertEquals(List.of("listed"), answers(next, 8).stream().distinct().toList());
      assertEquals(200, old.callOperations("GET", "/v1/readyz"));
    }
  }
}
