package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Operators take upstreams out and put them back, empty a balancer, and replace its process. */
@Timeout(60)
class OperationsTest {
  private static final String OUT = "/v1/upstreams/s-0/suspend";
  private static final String BACK = "/v1/upstreams/s-0/resume";

  @TempDir Path folder;

  /** Who answers so many calls, one after the other. */
  private static List<String> answers(BalancerFixture fixture, int calls) throws Exception {
    List<String> answers = new ArrayList<>();
    try (TestClient client = fixture.client()) {
      for (int i = 0; i < calls; i++) {
        answers.add(client.call(TestClient.get("/api/x", "")).text());
      }
    }
    return answers;
  }

  /** Calls until an upstream answers; the test's own limit ends a wait in vain. */
  private static void awaitAnswer(BalancerFixture fixture, String from) throws Exception {
    while (!answers(fixture, 4).contains(from)) {
      Thread.onSpinWait();
    }
  }

  private static void awaitSilence(BalancerFixture fixture, String from) throws Exception {
    while (answers(fixture, 8).contains(from)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void anUpstreamIsOutUntilItIsPutBack() throws Exception {
    try (StubServer first = StubServer.serving("first");
        StubServer second = StubServer.serving("second");
        BalancerFixture fixture =
            new BalancerFixture().upstream(first, second).console(folder).start()) {
      awaitAnswer(fixture, "first");
      assertEquals(200, fixture.call("PUT", OUT));
      assertEquals(200, fixture.call("PUT", OUT));
      assertEquals(List.of("second"), answers(fixture, 40).stream().distinct().toList());
      assertEquals(200, fixture.call("PUT", BACK));
      awaitAnswer(fixture, "first");
    }
  }

  @Test
  void whatIsUnknownOrMalformedIsOwedANo() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).console(folder).start()) {
      assertEquals(404, fixture.call("PUT", "/v1/upstreams/s-9/suspend"));
      assertEquals(404, fixture.call("PUT", "/v1/upstreams/s-9/resume"));
      assertEquals(404, fixture.call("PUT", "/v1/upstreams/suspend"));
      assertEquals(404, fixture.call("GET", "/v1/nothing"));
      assertEquals(405, fixture.call("GET", OUT));
      assertEquals(405, fixture.call("PUT", "/v1/readyz"));
      assertEquals(400, fixture.call("PUT", "/v1/upstreams/%zz/suspend"));
      assertEquals(200, fixture.call("PUT", "/v1/upstreams/%73-0/suspend"));
      assertEquals(200, fixture.call("GET", "/v1/readyz"));
    }
  }

  /** Taken out before discovery names it as started anew, it is not met as a warm one. */
  @Test
  void itComesBackCold() throws Exception {
    try (StubServer first = StubServer.serving("first");
        StubServer second = StubServer.serving("second");
        BalancerFixture fixture =
            new BalancerFixture().upstream(first, second).console(folder).start()) {
      awaitAnswer(fixture, "first");
      assertEquals(200, fixture.call("PUT", OUT));
      assertEquals(200, fixture.call("PUT", BACK));
      String figures = fixture.node().loop().submit(fixture.node().dispatcher()::figures).get();
      assertTrue(figures.contains("cold 1"), figures);
    }
  }

  @Test
  void callersWhoSayNothingKeepNobodyOut() throws Exception {
    List<TestClient> silent = new ArrayList<>();
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).console(folder).start()) {
      for (int i = 0; i < 60; i++) {
        TestClient client = new TestClient(fixture.console());
        client.send(i % 2 == 0 ? "" : "GET /v1/readyz HT");
        silent.add(client);
      }
      assertEquals(200, fixture.call("GET", "/v1/readyz"));
      assertEquals(200, fixture.call("PUT", OUT));
      assertNull(silent.get(0).read(), "the oldest went");
    } finally {
      for (TestClient client : silent) {
        client.close();
      }
    }
  }

  @Test
  void anEmptiedBalancerLetsGoOfItsClientsAndTakesThemAgain() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).console(folder).start();
        TestClient busy = fixture.client();
        TestClient idle = fixture.client()) {
      assertEquals(200, busy.call(TestClient.get("/api/x", "")).status());
      assertEquals(200, idle.call(TestClient.get("/api/x", "")).status());
      assertEquals(200, fixture.call("PUT", "/v1/balancer/drain"));
      assertEquals(503, fixture.call("GET", "/v1/readyz"));
      try (TestClient front = fixture.client()) {
        assertEquals(503, front.call(TestClient.get("/up", "")).status());
      }
      RawHttp.Message last = busy.call(TestClient.get("/api/x", ""));
      while (!"close".equals(last.headers().get("connection"))) {
        assertEquals(200, last.status());
        last = busy.call(TestClient.get("/api/x", ""));
      }
      assertEquals(200, last.status());
      assertNull(busy.read());
      assertNull(idle.read());
      assertEquals(200, fixture.call("PUT", "/v1/balancer/activate"));
      try (TestClient front = fixture.client()) {
        assertEquals(200, front.call(TestClient.get("/up", "")).status());
        RawHttp.Message answer = front.call(TestClient.get("/api/x", ""));
        assertEquals("keep-alive", answer.headers().get("connection"));
      }
    }
  }

  /** What one process was told the other keeps, before and after it takes over. */
  @Test
  void marksOutliveTheProcessAndReachBoth() throws Exception {
    try (StubServer first = StubServer.serving("first");
        StubServer second = StubServer.serving("second");
        BalancerFixture old =
            new BalancerFixture().upstream(first, second).console(folder).start()) {
      assertEquals(200, old.call("PUT", OUT));
      // Listens elsewhere, so that each call is known to reach the one or the other.
      try (BalancerFixture next =
          new BalancerFixture().upstream(first, second).console(folder).start()) {
        assertEquals(List.of("second"), answers(next, 40).stream().distinct().toList());
        assertEquals(200, next.call("PUT", "/v1/upstreams/s-1/suspend"));
        assertEquals(200, next.call("PUT", BACK));
        awaitSilence(old, "second");
        awaitAnswer(old, "first");
      }
    }
  }

  @Test
  void aProcessThatWasFollowedLeavesTheClientsToTheOther() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture old = new BalancerFixture().upstream(peer).console(folder).start();
        TestClient client = old.client()) {
      assertEquals(200, client.call(TestClient.get("/api/x", "")).status());
      try (BalancerFixture next =
          new BalancerFixture().upstream(peer).console(folder).beside(old).start()) {
        assertEquals(200, next.call("GET", "/v1/readyz"));
        CountDownLatch drained = old.node().shutdown().drain();
        RawHttp.Message last = client.call(TestClient.get("/api/x", ""));
        while (!"close".equals(last.headers().get("connection"))) {
          last = client.call(TestClient.get("/api/x", ""));
        }
        assertEquals(200, last.status());
        for (int i = 0; i < 40; i++) {
          try (TestClient newcomer = next.client()) {
            assertEquals(200, newcomer.call(TestClient.get("/up", "")).status());
          }
        }
        assertEquals(503, old.call("GET", "/v1/readyz"));
        assertTrue(drained.await(30, TimeUnit.SECONDS));
      }
    }
  }

  /** The list that it is given may be older than what the process before was told. */
  @Test
  void aProcessThatFollowsAsksDiscoveryBeforeItServes() throws Exception {
    try (StubServer listed = StubServer.serving("listed");
        StubServer known = StubServer.serving("known");
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
        BalancerFixture old = new BalancerFixture().upstream(known).console(folder).start();
        BalancerFixture next =
            new BalancerFixture().upstream(known).asking(discovery).console(folder)) {
      next.start();
      assertEquals(List.of("listed"), answers(next, 8).stream().distinct().toList());
      assertEquals(200, old.call("GET", "/v1/readyz"));
    }
  }
}
