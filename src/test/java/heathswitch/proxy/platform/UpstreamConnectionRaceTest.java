package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import testing.Await;

/** An upstream connection that ends or receives bytes at the moment at which it is used. */
@Timeout(60)
class UpstreamConnectionRaceTest {
  /** What the upstream does to an idle connection. */
  enum IdleEvent {
    CLOSED {
      @Override
      void apply(StubServer.Connection connection) throws Exception {
        connection.socket().close();
      }
    },
    RESET {
      @Override
      void apply(StubServer.Connection connection) throws Exception {
        connection.reset();
      }
    },
    UNSOLICITED_ANSWER {
      @Override
      void apply(StubServer.Connection connection) throws Exception {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged");
      }
    },
    PARTIAL_LINE {
      @Override
      void apply(StubServer.Connection connection) throws Exception {
        connection.send("HTTP/1.");
      }
    };

    abstract void apply(StubServer.Connection connection) throws Exception;
  }

  private final PendingCalls calls = new PendingCalls();
  private final CountDownLatch testEnded = new CountDownLatch(1);

  /** Reads one request and no more: a thread blocked in a read would delay the close. */
  private void readOneRequest(StubServer.Connection connection) throws Exception {
    RawHttp.read(connection.in());
    calls.add(connection);
    testEnded.await();
  }

  @AfterEach
  void stop() {
    testEnded.countDown();
  }

  /** An unsafe request sent on the connection would be lost, as it must not be repeated. */
  @ParameterizedTest
  @EnumSource(IdleEvent.class)
  void idleConnectionThatFailsOnReuseGetsNoRequest(IdleEvent event) throws Exception {
    try (StubServer upstream = new StubServer(this::readOneRequest);
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection idle = calls.next();
      idle.answer(200, "", "first");
      assertEquals("first", client.read().text());
      try (EventLoopBlocker blocker = fixture.blockLoop()) {
        // The event loop reads this first.
        client.send(TestClient.post("publish", "", "x").replace("r1", "r2"));
        event.apply(idle);
      }
      StubServer.Connection other = calls.next();
      assertTrue(other.number() != idle.number(), "sent on another connection");
      other.answer(200, "", "second");
      assertEquals("second", client.read().text());
    }
  }

  /** The request may have run. */
  @Test
  void resetAfterLastByteOfUnsafeRequestFails() throws Exception {
    try (StubServer upstream = calls.startUpstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "", "x"));
      calls.next().reset();
      assertEquals(502, client.read().status());
      assertTrue(calls.isEmpty(), "the request is not sent again");
    }
  }

  /**
   * The attempt that opened the connection has failed by then, but the connection itself is usable:
   * the next call uses it.
   */
  @Test
  void connectionEstablishedAfterFailedAttemptIsUsedByNextCall() throws Exception {
    List<Socket> backlog = new ArrayList<>();
    try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      upstream.setSoTimeout(20_000);
      InetSocketAddress address = (InetSocketAddress) upstream.getLocalSocketAddress();
      for (int i = 0; i < 2; i++) {
        Socket socket = new Socket();
        socket.connect(address, 30_000);
        backlog.add(socket);
      }
      try (BalancerFixture fixture =
              new BalancerFixture()
                  .limit("dial_timeout_ns", 100 * BalancerFixture.MS)
                  .limit("most_tries", 1)
                  .upstreamAddress("127.0.0.1:" + address.getPort())
                  .start();
          TestClient first = fixture.client();
          TestClient second = fixture.client()) {
        assertEquals(
            503, first.call(TestClient.post("publish", "", "x")).status(), "the request never ran");
        for (int i = 0; i < backlog.size(); i++) {
          upstream.accept().close();
        }
        try (Socket late = upstream.accept()) {
          Await.until("the connection is kept", () -> fixture.connections() == 3);
          second.send(TestClient.post("publish", "", "x").replace("r1", "r2"));
          assertEquals("r2", RawHttp.read(late.getInputStream()).headers().get("x-request-id"));
        }
      }
    } finally {
      for (Socket socket : backlog) {
        socket.close();
      }
    }
  }

  /** The attempt was cancelled by then, so none of its bytes may be sent on the connection. */
  @Test
  void connectionEstablishedAfterClientDisconnectGetsNoRequest() throws Exception {
    List<Socket> backlog = new ArrayList<>();
    try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      InetSocketAddress address = (InetSocketAddress) upstream.getLocalSocketAddress();
      for (int i = 0;
          i < 2;
          i++) { // They fill the accept backlog; the next connect gets no answer.
        Socket socket = new Socket();
        socket.connect(address, 30_000);
        backlog.add(socket);
      }
      try (BalancerFixture fixture =
              new BalancerFixture().upstreamAddress("127.0.0.1:" + address.getPort()).start();
          TestClient client = fixture.client()) {
        client.send(TestClient.post("publish", "", "x"));
        fixture.awaitLiveRequests(1);
        client.close();
        fixture.awaitLiveRequests(0);
        for (int i = 0; i < backlog.size(); i++) {
          upstream.accept().close();
        }
        try (TestClient later = fixture.client()) {
          later.send(TestClient.get("/later", ""));
          try (Socket next = upstream.accept()) {
            assertEquals("GET /later HTTP/1.1", RawHttp.read(next.getInputStream()).startLine());
          }
        }
      }
    } finally {
      for (Socket socket : backlog) {
        socket.close();
      }
    }
  }
}
