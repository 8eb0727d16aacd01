package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/** Idle clients fill the descriptors while discovery is down; it serves again by itself. */
@Timeout(60)
class SocketExhaustionTest {
  private static final int SOCKETS = 100;
  private static final int CROWD = 300;

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private static Socket idle(BalancerFixture fixture) throws Exception {
    Socket socket = new Socket();
    socket.connect(fixture.address(), 30_000);
    return socket;
  }

  @Test
  void discoveryAndUpstreamsStillGetTheirs() throws Exception {
    int port = freePort();
    BlockingQueue<StubServer.Connection> watches = new LinkedBlockingQueue<>();
    List<Socket> crowd = new ArrayList<>();
    try (StubServer upstream = StubServer.serving("found");
        BalancerFixture fixture =
            new BalancerFixture().sockets(SOCKETS).pushedAt("127.0.0.1:" + port).start()) {
      for (int i = 0; i < CROWD; i++) {
        crowd.add(idle(fixture));
      }
      try (StubServer discovery =
          new StubServer(
              port,
              connection -> {
                RawHttp.readHead(connection.in());
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watches.add(connection);
                connection.in().read();
              })) {
        StubServer.Connection watch = watches.poll(30, TimeUnit.SECONDS);
        assertNotNull(watch, "discovery is not asked again");
        String member = BalancerFixture.json("s-9", upstream.address(), "in_service");
        String line = "{\"revision\":50,\"complete\":true,\"members\":[" + member + "]}\n";
        watch.send(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        Await.until("the list is known", () -> fixture.knows("s-9"));
        try (TestClient client = fixture.client()) {
          assertEquals("found", client.call(TestClient.get("/api/x", "")).text());
        }
      }
    } finally {
      for (Socket each : crowd) {
        each.close();
      }
    }
  }

  /** They leave nothing behind: not a descriptor is counted that is not held. */
  @Test
  void nothingIsLeftOfThem() throws Exception {
    try (StubServer upstream = StubServer.serving("ok");
        BalancerFixture fixture =
            new BalancerFixture().sockets(SOCKETS).upstream(upstream).start()) {
      for (int round = 0; round < 3; round++) {
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
          crowd.add(idle(fixture));
        }
        for (Socket each : crowd) {
          each.close();
        }
      }
      try (TestClient client = fixture.client()) {
        assertEquals("ok", client.call(TestClient.get("/api/x", "")).text());
      }
      // One is kept to the upstream.
      Await.until("no connection is left", () -> fixture.connections() <= 1);
    }
  }
}
