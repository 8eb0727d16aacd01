package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Messages that are larger than what the balancer buffers, with slow or failing upstreams and
 * clients.
 */
@Timeout(60)
class LargeMessageTest {
  private static final int LARGE_BYTES = 3 << 20;

  /** How the end of a body is marked. */
  enum Framing {
    LENGTH,
    CHUNKS,
    CLOSE;

    String head(int length) {
      return "HTTP/1.1 200 OK\r\n"
          + switch (this) {
            case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
            case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
            case CLOSE -> "Connection: close\r\n\r\n";
          };
    }

    void sendPart(StubServer.Connection connection, byte[] bytes, int from, int until)
        throws IOException {
      if (this == CHUNKS) {
        connection.send(Integer.toHexString(until - from) + "\r\n");
      }
      connection.out().write(bytes, from, until - from);
      connection.send(this == CHUNKS ? "\r\n" : "");
    }

    void sendEnd(StubServer.Connection connection) throws IOException {
      connection.send(this == CHUNKS ? "0\r\n\r\n" : "");
      if (this == CLOSE) {
        connection.socket().close();
      }
    }
  }

  private static byte[] body(int length) {
    byte[] bytes = new byte[length];
    new Random(7).nextBytes(bytes);
    return bytes;
  }

  private static StubServer answering(Framing framing, byte[] body, FirstPart firstPart)
      throws IOException {
    return StubServer.replying(
        (connection, request) -> {
          connection.send(framing.head(body.length));
          framing.sendPart(connection, body, firstPart.send(connection), body.length);
          framing.sendEnd(connection);
        });
  }

  /** Sends the first part of an answer. */
  private interface FirstPart {
    /** Sends the first part and returns its length in bytes. */
    int send(StubServer.Connection connection) throws Exception;
  }

  /** The client gets the first part before the upstream has sent the rest. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void largeAnswerIsStreamed(Framing framing) throws Exception {
    byte[] body = body(LARGE_BYTES);
    CountDownLatch headReceived = new CountDownLatch(1);
    try (StubServer upstream =
            answering(
                framing,
                body,
                connection -> {
                  framing.sendPart(connection, body, 0, 200_000);
                  headReceived.await();
                  return 200_000;
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertEquals(200, head.status());
      headReceived.countDown();
      assertArrayEquals(body, RawHttp.body(client.in, head));
      assertEquals(200, client.call(TestClient.get("/up", "")).status());
    }
  }

  /** A short answer that is so slow that the client has to get what has arrived so far. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void slowAnswerIsStreamed(Framing framing) throws Exception {
    byte[] body = body(40);
    CountDownLatch headReceived = new CountDownLatch(1);
    try (StubServer upstream =
            answering(
                framing,
                body,
                connection -> {
                  int sent = 0;
                  while (sent < 30 && headReceived.getCount() > 0) {
                    framing.sendPart(connection, body, sent, ++sent);
                    Thread.sleep(100); // Only sets the pace; no assertion depends on it.
                  }
                  headReceived.await();
                  return sent;
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertEquals(200, head.status());
      headReceived.countDown();
      assertArrayEquals(body, RawHttp.body(client.in, head));
    }
  }

  @Test
  void shortAnswerEndedByCloseIsServed() throws Exception {
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  connection.send("HTTP/1.0 200 OK\r\n\r\nwhole");
                  connection.socket().close();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      assertEquals("whole", client.call(TestClient.get("/api/x", "")).text());
      assertEquals("whole", client.call(TestClient.get("/api/x", "")).text());
    }
  }

  /** A truncated answer must not be taken for a complete one. */
  @Test
  void answerWithoutLengthEndedByResetFails() throws Exception {
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  connection.send("HTTP/1.1 200 OK\r\n\r\nhal");
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      assertEquals(502, client.call(TestClient.post("publish", "", "x")).status());
    }
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void truncatedLargeAnswerIsDetectableByClient(Framing framing) throws Exception {
    byte[] body = body(LARGE_BYTES);
    CountDownLatch answerStarted = new CountDownLatch(1);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  connection.send(framing.head(body.length));
                  framing.sendPart(connection, body, 0, 200_000);
                  answerStarted.await();
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      answerStarted.countDown();
      assertThrows(IOException.class, () -> RawHttp.body(client.in, head));
      assertEquals(1, upstream.requests.size(), "no retry once the answer has started");
    }
  }

  /** A reset discards what its sender still holds, so that less than expected may arrive. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LENGTH")
  void answerThatIsLostBeforeItIsForwardedIsRetried(Framing framing) throws Exception {
    byte[] body = body(LARGE_BYTES);
    AtomicInteger answers = new AtomicInteger();
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  if (answers.incrementAndGet() > 1) {
                    connection.answer(200, "", "whole");
                    return;
                  }
                  connection.send(framing.head(body.length));
                  framing.sendPart(connection, body, 0, 30_000);
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      assertEquals("whole", client.call(TestClient.get("/api/x", "")).text());
      assertEquals(2, upstream.requests.size());
    }
  }

  /**
   * HTTP/1.0 has no chunked encoding: the end of the answer is the close of the connection, and a
   * reset if the answer was truncated.
   */
  @Test
  void http10ClientGetsLargeAnswerEndedByClose() throws Exception {
    byte[] body = body(LARGE_BYTES);
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  connection.send(Framing.CHUNKS.head(0));
                  Framing.CHUNKS.sendPart(connection, body, 0, body.length);
                  Framing.CHUNKS.sendEnd(connection);
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", "").replace("HTTP/1.1", "HTTP/1.0"));
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertFalse(head.headers().containsKey("transfer-encoding"));
      assertArrayEquals(body, client.in.readAllBytes());
    }
  }

  /**
   * The balancer reads no more from the upstream than the client takes; it would have to buffer the
   * rest.
   */
  @Test
  void clientThatDoesNotReadCausesBackpressureOnUpstream() throws Exception {
    byte[] body = body(40 << 20);
    AtomicLong sent = new AtomicLong();
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> {
                  connection.socket().setSendBufferSize(64 << 10);
                  connection.send(Framing.LENGTH.head(body.length));
                  for (int i = 0; i < body.length; i += 65536) {
                    connection.out().write(body, i, 65536);
                    sent.addAndGet(65536);
                  }
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = new TestClient(fixture.address(), 64 << 10)) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      long before = -1;
      while (sent.get() != before) { // Until the upstream makes no more progress.
        before = sent.get();
        Thread.sleep(500);
      }
      assertTrue(
          before < body.length / 2, before + " bytes were read for a client that reads none");
      assertArrayEquals(body, RawHttp.body(client.in, head));
    }
  }

  @Test
  void clientDisconnectEndsUpstreamAnswer() throws Exception {
    byte[] body = body(1 << 20);
    try (StubServer upstream =
            new StubServer(
                connection -> {
                  RawHttp.read(connection.in());
                  connection.send(Framing.CHUNKS.head(0));
                  while (true) {
                    Framing.CHUNKS.sendPart(connection, body, 0, body.length);
                  }
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start()) {
      try (TestClient client = fixture.client()) {
        client.send(TestClient.get("/api/x", ""));
        RawHttp.readHead(client.in);
      }
      assertEquals(0, upstream.ended.take());
    }
  }

  // ---- requests ----

  private static String postHead(String framing) {
    return TestClient.post("publish", "X-Deadline: 9\r\n", "")
        .replace("Content-Length: 0", framing);
  }

  /** The upstream gets the first part before the client has sent the rest. */
  @ParameterizedTest
  @EnumSource(
      value = Framing.class,
      names = {"LENGTH", "CHUNKS"})
  void largeBodyIsStreamed(Framing framing) throws Exception {
    byte[] body = body(LARGE_BYTES);
    CountDownLatch headSeen = new CountDownLatch(1);
    byte[][] received = new byte[1][];
    double[] deadlineSeconds = new double[1];
    try (StubServer upstream =
            new StubServer(
                connection -> {
                  RawHttp.Message head = RawHttp.readHead(connection.in());
                  deadlineSeconds[0] = Double.parseDouble(head.headers().get("x-deadline"));
                  headSeen.countDown();
                  received[0] = RawHttp.body(connection.in(), head);
                  connection.answer(200, "", "done");
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      StubServer.Connection out =
          new StubServer.Connection(0, client.socket, client.in, client.out);
      client.send(
          postHead(
              framing == Framing.LENGTH
                  ? "Content-Length: " + body.length
                  : "Transfer-Encoding: chunked"));
      int first = 2 << 20;
      framing.sendPart(out, body, 0, first);
      headSeen.await();
      framing.sendPart(out, body, first, body.length);
      framing.sendEnd(out);
      assertEquals("done", client.read().text());
      assertArrayEquals(body, received[0]);
      assertTrue(deadlineSeconds[0] <= 9, "longer than the client waits: " + deadlineSeconds[0]);
      assertEquals(200, client.call(TestClient.get("/up", "")).status());
    }
  }

  /**
   * The last byte was never sent, so the request did not run; the status tells the client that it
   * may retry.
   */
  @Test
  void largeBodyIsRefusedWhenUpstreamResets() throws Exception {
    byte[] body = body(LARGE_BYTES);
    try (StubServer upstream =
            new StubServer(
                connection -> {
                  RawHttp.readHead(connection.in());
                  connection.in().readNBytes(1 << 20);
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(postHead("Content-Length: " + body.length));
      client.out.write(body, 0, body.length - 1);
      client.out.flush();
      assertEquals(503, client.read().status());
      assertNull(client.read());
    }
  }

  /** A client whose upstream reads nothing is refused early, and not only at its deadline. */
  @Test
  void largeBodyIsRefusedWhenUpstreamReadsNothing() throws Exception {
    byte[] body = body(30 << 20);
    CountDownLatch end = new CountDownLatch(1);
    try (StubServer upstream =
            new StubServer(
                connection -> {
                  RawHttp.readHead(connection.in());
                  end.await();
                });
        BalancerFixture fixture =
            new BalancerFixture().upstream(upstream).deadline(600_000).start();
        TestClient client = fixture.client()) {
      client.send(
          postHead("Content-Length: " + body.length).replace("Deadline: 9", "Deadline: 600"));
      Thread sender =
          new Thread(
              () -> {
                try {
                  client.out.write(body);
                } catch (IOException e) {
                  // The connection is closed before the whole body is read.
                }
              });
      sender.start();
      assertEquals(503, client.read().status());
      end.countDown();
    }
  }

  /** The deadline counts from the last byte of the request. */
  @Test
  void slowBodyDoesNotUseUpDeadline() throws Exception {
    byte[] body = body(1 << 18);
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(
          postHead("Content-Length: " + body.length).replace("X-Deadline: 9", "X-Deadline: 2"));
      for (int i = 0; i < body.length; i += 1 << 14) {
        client.out.write(body, i, 1 << 14);
        client.out.flush();
        Thread.sleep(200); // 80 kB/s, so 3.2 s for all of it.
      }
      assertEquals(200, client.read().status());
    }
  }

  @Test
  void incompleteBodyTimesOut() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient shortOne = fixture.client();
        TestClient longOne = fixture.client()) {
      shortOne.send(postHead("Content-Length: 9") + "half");
      longOne.send(postHead("Content-Length: " + LARGE_BYTES));
      longOne.out.write(body(1 << 20));
      longOne.out.flush();
      assertEquals(408, shortOne.read().status());
      assertThrows(
          IOException.class,
          () -> {
            if (longOne.read() == null) {
              throw new IOException("closed");
            }
          });
    }
  }

  /**
   * Guards against requests that were received but stay unread, behind bodies of slow clients that
   * hold all memory for bodies: by what they declare, or by what they have sent.
   */
  @ParameterizedTest
  @ValueSource(ints = {100_000, 800_000})
  void largeBodyIsServedBesideUnfinishedOnes(int receivedBytes) throws Exception {
    int slowClients = 12;
    byte[] slowBody = body(900_000);
    byte[] quickBody = body(96 << 10);
    List<TestClient> slow = new ArrayList<>();
    try (StubServer upstream =
            StubServer.replying(
                (connection, request) -> connection.answer(200, "", "" + request.body().length));
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient quick = fixture.client()) {
      for (int i = 0; i < slowClients; i++) {
        TestClient client = fixture.client();
        slow.add(client);
        client.send(postHead("Content-Length: " + slowBody.length).replace(": r1", ": slow" + i));
        client.out.write(slowBody, 0, receivedBytes);
        client.out.flush();
      }
      fixture.awaitTurnsOfLoop();
      long sentNanos = System.nanoTime();
      quick.send(postHead("Content-Length: " + quickBody.length));
      quick.out.write(quickBody);
      quick.out.flush();
      assertEquals("" + quickBody.length, quick.read().text());
      long tookMillis = (System.nanoTime() - sentNanos) / 1_000_000;
      assertTrue(tookMillis < 1000, "waited for others: " + tookMillis + " ms");
      for (TestClient client : slow) {
        client.out.write(slowBody, receivedBytes, slowBody.length - receivedBytes);
        client.out.flush();
      }
      for (TestClient client : slow) {
        assertEquals("" + slowBody.length, client.read().text());
      }
    } finally {
      for (TestClient client : slow) {
        client.close();
      }
    }
  }

  /** Guards against an upload that is given up later than its client waits. */
  @Test
  void stalledUploadIsRefusedWhenTheClientsTimeIsOver() throws Exception {
    byte[] body = body(30 << 20);
    CountDownLatch end = new CountDownLatch(1);
    try (StubServer upstream =
            new StubServer(
                connection -> {
                  RawHttp.readHead(connection.in());
                  end.await();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(postHead("Content-Length: " + body.length).replace("Deadline: 9", "Deadline: 1"));
      Thread sender =
          new Thread(
              () -> {
                try {
                  client.out.write(body);
                } catch (IOException e) {
                  // The connection is closed before the whole body is read.
                }
              });
      long sentNanos = System.nanoTime();
      sender.start();
      assertEquals(503, client.read().status());
      long tookMillis = (System.nanoTime() - sentNanos) / 1_000_000;
      assertTrue(tookMillis < 2500, "refused after " + tookMillis + " ms");
      end.countDown();
    }
  }
}
