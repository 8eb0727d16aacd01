package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Only the answer that belongs to a request is served, and a malformed one does not delay it. */
@Timeout(60)
class MalformedResponseTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
        "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Half: a head that stops",
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na body that stops",
        "\u0001\u0002noise"
      })
  void malformedAnswerToUnsafeRequestFails(String answer) throws Exception {
    try (StubServer upstream =
            StubServer.replying((connection, request) -> connection.send(answer));
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      assertEquals(502, client.call(TestClient.post("publish", "X-Deadline: 3\r\n", "x")).status());
      assertEquals(1, upstream.requests.size(), "it may have run and must not run again");
    }
  }

  @Test
  void truncatedAnswerToSafeRequestIsRetriedElsewhere() throws Exception {
    int[] received = new int[1];
    StubServer.RequestHandler handler =
        (connection, request) -> {
          boolean first;
          synchronized (received) {
            first = received[0]++ == 0;
          }
          if (first) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal");
          } else {
            connection.answer(200, "", "whole");
          }
        };
    try (StubServer one = StubServer.replying(handler);
        StubServer other = StubServer.replying(handler);
        BalancerFixture fixture = new BalancerFixture().upstream(one, other).start();
        TestClient client = fixture.client()) {
      assertEquals("whole", client.call(TestClient.get("/api/x", "")).text());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "noise", "\n"})
  void extraBytesAfterAnswerAreNotTheNextAnswer(String extra) throws Exception {
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  String id = request.headers().get("x-request-id");
                  connection.send(
                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: {\""
                          + "\r\nContent-Length: "
                          + id.length()
                          + "\r\n\r\n"
                          + id
                          + extra);
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      for (int i = 0; i < 5; i++) {
        String id = "id" + i;
        String request = TestClient.get("/api/x", "").replace("r1", id);
        assertEquals(id, client.call(request).text());
      }
    }
  }

  @Test
  void badRequestAnswerIsNotRetriedElsewhere() throws Exception {
    StubServer.RequestHandler handler = (connection, request) -> connection.answer(400, "", "");
    try (StubServer one = StubServer.replying(handler);
        StubServer other = StubServer.replying(handler);
        BalancerFixture fixture = new BalancerFixture().upstream(one, other).start();
        TestClient client = fixture.client()) {
      RawHttp.Message answer = client.call(TestClient.get("/api/x", ""));
      assertNotEquals(200, answer.status());
      assertEquals(1, one.requests.size() + other.requests.size());
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void largeAnswerIsServedCompletely(boolean chunked) throws Exception {
    String body = "0123456789abcdef".repeat(20_000);
    String head =
        chunked
            ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
            : "Content-Length: " + body.length() + "\r\n\r\n";
    String answer = "HTTP/1.1 200 OK\r\n" + head + body + (chunked ? "\r\n0\r\n\r\n" : "");
    try (StubServer upstream =
            StubServer.replying((connection, request) -> connection.send(answer));
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      // Exceeds the memory if answers leak, and is enough for some of the calls to be hedged.
      for (int i = 0; i < 400; i++) {
        assertEquals(body, client.call(TestClient.get("/api/x", "")).text());
      }
    }
  }
}
