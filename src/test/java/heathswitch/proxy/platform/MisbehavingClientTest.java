package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Malformed, incomplete and abusive requests get an error or a closed connection and are not sent
 * to an upstream.
 */
@Timeout(60)
class MisbehavingClientTest {
  private static final String HEAD =
      "POST /api/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: b1\r\nX-Class: publish\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 60000000\r\n\r\n",
        "Content-Length: 99999999999999999999\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "X-Request-Id: b2\r\nContent-Length: 0\r\n\r\n",
        "X-Deadline: soon\r\nContent-Length: 0\r\n\r\n",
        "Content-Length: 100\r\n\r\nhalf a body, and then nothing"
      })
  void malformedRequestIsRejected(String malformedPart) throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      int status = client.call(HEAD + malformedPart).status();
      assertTrue(status >= 400 && status < 500, "status " + status);
      assertEquals(0, upstream.requests.size());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "GET /api/x HT", "GET /api/x HTTP/1.1\r\nX-Pad: a\r\n"})
  void incompleteHeadTimesOut(String start) throws Exception {
    try (BalancerFixture fixture = new BalancerFixture().start();
        TestClient client = fixture.client()) {
      client.send(start);
      RawHttp.Message answer = client.read();
      if (start.isEmpty()) {
        assertNull(answer);
      } else {
        assertEquals(408, answer.status());
      }
    }
  }

  @Test
  void idOfOpenRequestIsRejectedForAnotherRequest() throws Exception {
    CountDownLatch answer = new CountDownLatch(1);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  answer.await();
                  connection.answer(200, "", "mine");
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient owner = fixture.client();
        TestClient other = fixture.client()) {
      owner.send(TestClient.get("/api/x", "X-Deadline: 19\r\n"));
      upstream.awaitRequest();
      assertEquals(400, other.call(TestClient.get("/api/x", "")).status());
      answer.countDown();
      assertEquals("mine", owner.read().text());
      assertEquals(0, upstream.requests.size());
    }
  }

  @Test
  void pipelinedFloodIsNotForwarded() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      StringBuilder flood = new StringBuilder();
      for (int i = 0; i < 400; i++) {
        flood.append(TestClient.get("/api/x", ""));
      }
      client.send(flood.toString());
      int answers = 0;
      try {
        for (RawHttp.Message next = client.read(); next != null; next = client.read()) {
          answers++;
        }
      } catch (IOException e) {
        // A reset ends the connection as well.
      }
      assertTrue(answers < 10 && upstream.requests.size() < 10, answers + " answers");
    }
  }

  @Test
  void idleConnectionsDoNotBlockNewClients() throws Exception {
    List<TestClient> silent = new ArrayList<>();
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().maxSockets(96).upstream(upstream).start()) {
      TestClient regular = fixture.client();
      assertEquals(200, regular.call(TestClient.get("/api/x", "")).status());
      for (int i = 0; i < 200; i++) {
        silent.add(fixture.client());
      }
      try (TestClient late = fixture.client()) {
        assertEquals(200, late.call(TestClient.get("/api/x", "")).status());
      }
      assertEquals(
          200,
          regular.call(TestClient.get("/api/x", "")).status(),
          "the connection of the active client is kept");
      regular.close();
    } finally {
      for (TestClient client : silent) {
        client.close();
      }
    }
  }

  @Test
  void largeBodiesAreServed() throws Exception {
    String body = "0123456789abcdef".repeat(20_000);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> connection.answer(200, "", "" + request.body().length));
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      for (int i = 0; i < 40; i++) { // Exceeds the memory budget if bodies leak.
        String request = TestClient.post("publish", "", body).replace(": r1", ": r" + i);
        assertEquals("" + body.length(), client.call(request).text());
      }
    }
  }
}
