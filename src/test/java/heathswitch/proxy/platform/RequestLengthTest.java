package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A request that is longer than its declared length gets an error or a close, and is not sent to an
 * upstream as far as it shows in time. A request behind it, or an empty line, is no fault.
 */
@Timeout(60)
class RequestLengthTest {
  private static final String POST =
      "POST /api/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: b1\r\nX-Class: publish\r\n";
  private static final String GET =
      "GET /api/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: b1\r\nX-Class: view\r\n";
  private static final String NEXT = "GET /api/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: b2\r\n";

  /** Longer than what is buffered, so that it is streamed. */
  private static final int LONG_BODY_BYTES = 3 << 20;

  // Guards against half of a body that was run and served, as the rest had no end of a line.
  @ParameterizedTest
  @ValueSource(
      strings = {
        POST + "Content-Length: 10\r\n\r\n{\"lesson\":\"monday 8:00\"}",
        POST + "Content-Length: 23\r\n\r\n{\"lesson\":\"monday 8:00\"}",
        POST + "Content-Length: 0\r\n\r\n{\"lesson\":\"monday 8:00\"}",
        POST + "\r\n{\"lesson\":\"monday 8:00\"}",
        GET + "\r\n{\"lesson\":\"monday 8:00\"}",
        POST + "Content-Length: 4\r\n\r\nabcd    ",
        POST + "Content-Length: 4\r\n\r\nabcd\n",
        POST + "Content-Length: 4\r\n\r\nabcd\r\n\r\n",
        POST + "Content-Length: 4\r\n\r\nabcd\0\0",
        POST + "Content-Length: 4\r\n\r\nABCDEFGH",
        POST + "Content-Length: 4\r\n\r\nabcd\r\nGETTING",
        POST + "Content-Length: 4\r\n\r\nabcd" + NEXT + "X-Class: view\r\n\r\nrest",
        POST + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\nefgh",
        POST + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
        POST + "Transfer-Encoding: chunked\r\n\r\n8\r\nabcd\r\n0\r\n\r\n",
        POST + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
      })
  void requestLongerThanDeclaredIsNotForwarded(String request) throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      assertEquals(400, client.call(request).status());
      assertEquals(0, upstream.requests.size());
    }
  }

  // Guards against the same when the rest arrives while an upstream runs the first part.
  @ParameterizedTest
  @ValueSource(strings = {"rest", "rest\r\n\r\n", " ", "\r\n\r\n", "\0"})
  void requestIsNotServedIfMoreArrivesWhileItRuns(String rest) throws Exception {
    CountDownLatch answer = new CountDownLatch(1);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  answer.await();
                  connection.answer(200, "", "ok");
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(POST + "Content-Length: 4\r\n\r\nabcd");
      upstream.awaitRequest();
      client.send(rest);
      assertEquals(400, client.read().status());
      fixture.awaitLiveRequests(0);
      answer.countDown();
      assertNull(client.read(), "no answer follows the error");
      assertEquals(0, upstream.requests.size(), "no further attempt is made");
    }
  }

  // Guards against a whole answer for a cut request when the rest arrives behind its beginning.
  @Test
  void streamedAnswerIsAbortedIfMoreArrivesWhileItIsWritten() throws Exception {
    CountDownLatch answer = new CountDownLatch(1);
    String body = "x".repeat(200_000);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  connection.send("HTTP/1.1 200 X\r\nContent-Length: 400000\r\n\r\n" + body);
                  answer.await();
                  connection.send(body);
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(POST + "Content-Length: 4\r\n\r\nabcd");
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertEquals(200, head.status());
      client.send("rest");
      fixture.awaitLiveRequests(0);
      answer.countDown();
      assertTrue(isCutOff(client, head), "the client can tell that the answer is not whole");
    }
  }

  private static boolean isCutOff(TestClient client, RawHttp.Message head) throws IOException {
    try {
      RawHttp.body(client.in, head);
      return false;
    } catch (EOFException | java.net.SocketException e) {
      return true;
    }
  }

  // Guards against the last piece of a long body that is sent on although more lies behind it.
  @ParameterizedTest
  @ValueSource(strings = {"rest", "0\r\n\r\n", " "})
  void longRequestLongerThanDeclaredDoesNotRun(String rest) throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    String body = "b".repeat(LONG_BODY_BYTES);
    try (StubServer upstream =
            new StubServer(
                connection -> {
                  try {
                    RawHttp.read(connection.in());
                    connection.answer(200, "", "ran");
                  } finally {
                    ended.countDown();
                  }
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      String head = POST + "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n";
      assertEquals(400, client.call(head + body + rest).status());
      ended.await();
      assertNull(client.read());
    }
  }

  // Guards against sound clients that are turned away: a further request, in pieces, or a line end.
  @ParameterizedTest
  @ValueSource(strings = {"", "\r", "\r\n", "G", "POS", "GET ", "\r\nGET /api/x HTTP"})
  void nextRequestMayBeginBehindTheBody(String start) throws Exception {
    String next = "\r\n" + NEXT + "X-Class: view\r\n\r\n";
    if (start.startsWith("G")) {
      next = next.substring(2);
    } else if (start.startsWith("P")) {
      next = POST.replace("b1", "b2") + "Content-Length: 0\r\n\r\n";
    }
    CountDownLatch sent = new CountDownLatch(1);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  sent.await();
                  connection.answer(200, "", "ok");
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(POST + "Content-Length: 4\r\n\r\nabcd" + start);
      upstream.awaitRequest();
      sent.countDown();
      assertEquals(200, client.read().status());
      client.send(next.substring(start.length()));
      assertEquals(200, client.read().status());
    }
  }
}
