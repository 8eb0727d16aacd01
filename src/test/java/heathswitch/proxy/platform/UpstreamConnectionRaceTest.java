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

/**
 * A connection to an upstream that ends, or brings something, in the moment in which it is used.
 */
@Timeout(60)
class UpstreamConnectionRaceTest {
  /** What the upstream does on an idle connection. */
  enum Ending {
    CLOSED {
      @Override
      void on(StubServer.Connection connection) throws Exception {
        connection.socket().close();
      }
    },
    RESET {
      @Override
      void on(StubServer.Connection connection) throws Exception {
        connection.reset();
      }
    },
    UNASKED_BYTES {
      @Override
      void on(StubServer.Connection connection) throws Exception {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged");
      }
    },
    HALF_A_LINE {
      @Override
      void on(StubServer.Connection connection) throws Exception {
        connection.send("HTTP/1.");
      }
    };

    abstract void on(StubServer.Connection connection) throws Exception;
  }

  private final PendingCalls held = new PendingCalls();
  private final CountDownLatch over = new CountDownLatch(1);

  /** Takes one request and reads no more: a thread inside a read would put off the close. */
  private void takeOne(StubServer.Connection connection) throws Exception {
    RawHttp.read(connection.in());
    held.add(connection);
    over.await();
  }

  @AfterEach
  void stop() {
    over.countDown();
  }

  /** A request that must not run twice would be lost on it. */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void anIdleConnectionThatEndsAsItIsTakenGetsNoRequest(Ending ending) throws Exception {
    try (StubServer upstream = new StubServer(this::takeOne);
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.get("/api/x", ""));
      StubServer.Connection idle = held.next();
      idle.answer(200, "", "first");
      assertEquals("first", client.read().text());
      try (EventLoopBlocker gate = fixture.holdLoop()) {
        client.send(
            TestClient.post("publish", "", "x").replace("r1", "r2")); // The loop finds this first.
        ending.on(idle);
      }
      StubServer.Connection other = held.next();
      assertTrue(other.number() != idle.number(), "on a connection of its own");
      other.answer(200, "", "second");
      assertEquals("second", client.read().text());
    }
  }

  /** It may have run, whatever came of it. */
  @Test
  void aResetAfterTheLastByteOfAnUnsafeRequestIsAFailure() throws Exception {
    try (StubServer upstream = held.upstream();
        BalancerFixture fixture = new BalancerFixture().upstream(upstream).start();
        TestClient client = fixture.client()) {
      client.send(TestClient.post("publish", "", "x"));
      held.next().reset();
      assertEquals(502, client.read().status());
      assertTrue(held.isEmpty(), "and it is not sent again");
    }
  }

  /**
   * Its attempt has failed by then, but the connection is as good as any: the next call takes it.
   */
  @Test
  void aConnectionThatComesUpAfterItsAttemptFailedIsUsedByTheNext() throws Exception {
    List<Socket> full = new ArrayList<>();
    try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      upstream.setSoTimeout(20_000);
      InetSocketAddress address = (InetSocketAddress) upstream.getLocalSocketAddress();
      for (int i = 0; i < 2; i++) {
        Socket socket = new Socket();
        socket.connect(address, 30_000);
        full.add(socket);
      }
      try (BalancerFixture fixture =
              new BalancerFixture()
                  .limit("dial_timeout_ns", 100 * BalancerFixture.MS)
                  .limit("most_tries", 1)
                  .address("127.0.0.1:" + address.getPort())
                  .start();
          TestClient first = fixture.client();
          TestClient second = fixture.client()) {
        assertEquals(503, first.call(TestClient.post("publish", "", "x")).status(), "it never ran");
        for (int i = 0; i < full.size(); i++) {
          upstream.accept().close();
        }
        try (Socket late = upstream.accept()) {
          Await.until("it is kept", () -> fixture.connections() == 3);
          second.send(TestClient.post("publish", "", "x").replace("r1", "r2"));
          assertEquals("r2", RawHttp.read(late.getInputStream()).headers().get("x-request-id"));
        }
      }
    } finally {
      for (Socket socket : full) {
        socket.close();
      }
    }
  }

  /** Its attempt has been given up by then: not a byte goes out on it. */
  @Test
  void aConnectionThatComesUpAfterItsClientLeftCarriesNothing() throws Exception {
    List<Socket> full = new ArrayList<>();
    try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      InetSocketAddress address = (InetSocketAddress) upstream.getLocalSocketAddress();
      for (int i = 0; i < 2; i++) { // So many wait for an accept; the next one gets no answer.
        Socket socket = new Socket();
        socket.connect(address, 30_000);
        full.add(socket);
      }
      try (BalancerFixture fixture =
              new BalancerFixture().address("127.0.0.1:" + address.getPort()).start();
          TestClient client = fixture.client()) {
        client.send(TestClient.post("publish", "", "x"));
        fixture.awaitLive(1);
        client.close();
        fixture.awaitLive(0);
        for (int i = 0; i < full.size(); i++) {
          upstream.accept().close();
        }
        try (TestClient later = fixture.client()) {
          later.send(TestClient.get("/later", ""));
          try (Socket next = upstream.accept()) {
            assertEquals("GET /later HTTP/1.1", RawHttp.read(next.getInputStream()).start());
          }
        }
      }
    } finally {
      for (Socket socket : full) {
        socket.close();
      }
    }
  }
}
