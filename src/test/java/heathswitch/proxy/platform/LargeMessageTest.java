package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Messages that are longer than is held, from peers and clients that take their time. */
@Timeout(60)
class LargeMessageTest {
  private static final int LONG = 3 << 20;

  /** How an answer says where it ends. */
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

    void piece(StubServer.Connection to, byte[] bytes, int from, int until) throws IOException {
      if (this == CHUNKS) {
        to.send(Integer.toHexString(until - from) + "\r\n");
      }
      to.out().write(bytes, from, until - from);
      to.send(this == CHUNKS ? "\r\n" : "");
    }

    void end(StubServer.Connection to) throws IOException {
      to.send(this == CHUNKS ? "0\r\n\r\n" : "");
      if (this == CLOSE) {
        to.socket().close();
      }
    }
  }

  private static byte[] body(int length) {
    byte[] bytes = new byte[length];
    new Random(7).nextBytes(bytes);
    return bytes;
  }

  private static StubServer answering(Framing framing, byte[] body, Pieces pieces)
      throws IOException {
    return StubServer.replying(
        (connection, request) -> {
          connection.send(framing.head(body.length));
          framing.piece(connection, body, pieces.first(connection), body.length);
          framing.end(connection);
        });
  }

  /** Sends the first of an answer; how many bytes that were. */
  private interface Pieces {
    int first(StubServer.Connection connection) throws Exception;
  }

  /** The first of it is with the client before the upstream has sent the last. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void aLongAnswerGoesOnAsItComes(Framing framing) throws Exception {
    byte[] body = body(LONG);
    CountDownLatch begun = new CountDownLatch(1);
    try (StubServer peer =
            answering(
                framing,
                body,
                connection -> {
                  framing.piece(connection, body, 0, 200_000);
                  begun.await();
                  return 200_000;
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertEquals(200, head.status());
      begun.countDown();
      assertArrayEquals(body, RawHttp.body(client.in, head));
      assertEquals(200, client.call(TestClient.get("/up", "")).status());
    }
  }

  /** Short, and so slow that its client is owed what there is. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void aSlowAnswerGoesOnToo(Framing framing) throws Exception {
    byte[] body = body(40);
    CountDownLatch begun = new CountDownLatch(1);
    try (StubServer peer =
            answering(
                framing,
                body,
                connection -> {
                  int sent = 0;
                  while (sent < 30 && begun.getCount() > 0) {
                    framing.piece(connection, body, sent, ++sent);
                    Thread.sleep(100); // The pace of the play; nothing is judged by it.
                  }
                  begun.await();
                  return sent;
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertEquals(200, head.status());
      begun.countDown();
      assertArrayEquals(body, RawHttp.body(client.in, head));
    }
  }

  @Test
  void aShortAnswerThatEndsWithItsConnectionIsServed() throws Exception {
    try (StubServer peer =
            StubServer.replying(
                (connection, request) -> {
                  connection.send("HTTP/1.0 200 OK\r\n\r\nwhole");
                  connection.socket().close();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      assertEquals("whole", client.call(TestClient.get("/api/x", "")).text());
      assertEquals("whole", client.call(TestClient.get("/api/x", "")).text());
    }
  }

  /** Cut off, it must not pass for whole. */
  @Test
  void anAnswerWithoutLengthThatIsResetIsNoAnswer() throws Exception {
    try (StubServer peer =
            StubServer.replying(
                (connection, request) -> {
                  connection.send("HTTP/1.1 200 OK\r\n\r\nhal");
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      assertEquals(502, client.call(TestClient.post("publish", "", "x")).status());
    }
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void aLongAnswerThatBreaksOffIsSeenToBeCut(Framing framing) throws Exception {
    byte[] body = body(LONG);
    try (StubServer peer =
            StubServer.replying(
                (connection, request) -> {
                  connection.send(framing.head(body.length));
                  framing.piece(connection, body, 0, 200_000);
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      assertThrows(IOException.class, () -> RawHttp.body(client.in, RawHttp.readHead(client.in)));
      assertEquals(1, peer.requests.size(), "begun, it is not tried again");
    }
  }

  /** A client that knows no chunks gets an end of the connection, and a reset where it is cut. */
  @Test
  void anOldClientGetsALongAnswerToTheEndOfItsConnection() throws Exception {
    byte[] body = body(LONG);
    try (StubServer peer =
            StubServer.replying(
                (connection, request) -> {
                  connection.send(Framing.CHUNKS.head(0));
                  Framing.CHUNKS.piece(connection, body, 0, body.length);
                  Framing.CHUNKS.end(connection);
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", "").replace("HTTP/1.1", "HTTP/1.0"));
      RawHttp.Message head = RawHttp.readHead(client.in);
      assertFalse(head.headers().containsKey("transfer-encoding"));
      assertArrayEquals(body, client.in.readAllBytes());
    }
  }

  /** Nothing is read that the client does not take: it would have to be held. */
  @Test
  void aClientThatDoesNotReadHoldsUpItsUpstream() throws Exception {
    byte[] body = body(40 << 20);
    AtomicLong sent = new AtomicLong();
    try (StubServer peer =
            StubServer.replying(
                (connection, request) -> {
                  connection.socket().setSendBufferSize(64 << 10);
                  connection.send(Framing.LENGTH.head(body.length));
                  for (int i = 0; i < body.length; i += 65536) {
                    connection.out().write(body, i, 65536);
                    sent.addAndGet(65536);
                  }
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = new TestClient(fixture.address(), 64 << 10)) {
      client.send(TestClient.get("/api/x", ""));
      RawHttp.Message head = RawHttp.readHead(client.in);
      long before = -1;
      while (sent.get() != before) { // Until nothing goes on any more.
        before = sent.get();
        Thread.sleep(500);
      }
      assertTrue(
          before < body.length / 2, before + " bytes were taken for a client that reads none");
      assertArrayEquals(body, RawHttp.body(client.in, head));
    }
  }

  @Test
  void aClientThatGoesEndsTheAnswerOfItsUpstream() throws Exception {
    byte[] body = body(1 << 20);
    try (StubServer peer =
            new StubServer(
                connection -> {
                  RawHttp.read(connection.in());
                  connection.send(Framing.CHUNKS.head(0));
                  while (true) {
                    Framing.CHUNKS.piece(connection, body, 0, body.length);
                  }
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start()) {
      try (TestClient client = fixture.client()) {
        client.send(TestClient.get("/api/x", ""));
        RawHttp.readHead(client.in);
      }
      assertEquals(0, peer.ended.take());
    }
  }

  // ---- requests ----

  private static String postHead(String framing) {
    return TestClient.post("publish", "X-Deadline: 9\r\n", "")
        .replace("Content-Length: 0", framing);
  }

  /** The upstream has the first of it before the client has sent the last. */
  @ParameterizedTest
  @EnumSource(
      value = Framing.class,
      names = {"LENGTH", "CHUNKS"})
  void aLongBodyGoesOnAsItComes(Framing framing) throws Exception {
    byte[] body = body(LONG);
    CountDownLatch seen = new CountDownLatch(1);
    byte[][] got = new byte[1][];
    double[] told = new double[1];
    try (StubServer peer =
            new StubServer(
                connection -> {
                  RawHttp.Message head = RawHttp.readHead(connection.in());
                  told[0] = Double.parseDouble(head.headers().get("x-deadline"));
                  seen.countDown();
                  got[0] = RawHttp.body(connection.in(), head);
                  connection.answer(200, "", "done");
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      StubServer.Connection out =
          new StubServer.Connection(0, client.socket, client.in, client.out);
      client.send(
          postHead(
              framing == Framing.LENGTH
                  ? "Content-Length: " + body.length
                  : "Transfer-Encoding: chunked"));
      int first = 2 << 20;
      framing.piece(out, body, 0, first);
      seen.await();
      framing.piece(out, body, first, body.length);
      framing.end(out);
      assertEquals("done", client.read().text());
      assertArrayEquals(body, got[0]);
      assertTrue(told[0] <= 9, "told more than its client waits: " + told[0]);
      assertEquals(200, client.call(TestClient.get("/up", "")).status());
    }
  }

  /** Its last byte never came, so nothing ran: a retry is harmless, and the client learns so. */
  @Test
  void aLongBodyWhoseUpstreamBreaksIsRefused() throws Exception {
    byte[] body = body(LONG);
    try (StubServer peer =
            new StubServer(
                connection -> {
                  RawHttp.readHead(connection.in());
                  connection.in().readNBytes(1 << 20);
                  connection.reset();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient client = fixture.client()) {
      client.send(postHead("Content-Length: " + body.length));
      client.out.write(body, 0, body.length - 1);
      client.out.flush();
      assertEquals(503, client.read().status());
      assertNull(client.read());
    }
  }

  /** Held up by its upstream, a client is told so in good time and not at its deadline. */
  @Test
  void aLongBodyWhoseUpstreamTakesNothingIsRefused() throws Exception {
    byte[] body = body(30 << 20);
    CountDownLatch end = new CountDownLatch(1);
    try (StubServer peer =
            new StubServer(
                connection -> {
                  RawHttp.readHead(connection.in());
                  end.await();
                });
        BalancerFixture fixture = new BalancerFixture().upstream(peer).longest(600_000).start();
        TestClient client = fixture.client()) {
      client.send(
          postHead("Content-Length: " + body.length).replace("Deadline: 9", "Deadline: 600"));
      Thread sender =
          new Thread(
              () -> {
                try {
                  client.out.write(body);
                } catch (IOException e) {
                  // The connection ends before all of it is taken.
                }
              });
      sender.start();
      assertEquals(503, client.read().status());
      end.countDown();
    }
  }

  /** The time of a request counts from its last byte. */
  @Test
  void aBodyThatTakesLongerThanTheDeadlineIsInTime() throws Exception {
    byte[] body = body(1 << 18);
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
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
  void aBodyThatStopsShortIsNotWaitedFor() throws Exception {
    try (StubServer peer = StubServer.serving("ok");
        BalancerFixture fixture = new BalancerFixture().upstream(peer).start();
        TestClient shortOne = fixture.client();
        TestClient longOne = fixture.client()) {
      shortOne.send(postHead("Content-Length: 9") + "half");
      longOne.send(postHead("Content-Length: " + LONG));
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
}
