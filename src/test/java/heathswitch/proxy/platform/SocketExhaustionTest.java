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

/**
 * Idle clients use up the descriptors while discovery is down. The balancer must reach discovery
 * and serve again without a restart.
 */
@Timeout(60)
class SocketExhaustionTest {
  private static final int MAX_SOCKETS = 100;
  private static final int IDLE_CLIENTS = 300;

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private static Socket connectIdle(BalancerFixture fixture) throws Exception {
    Socket socket = new Socket();
    socket.connect(fixture.address(), 30_000);
    return socket;
  }

  @Test
  void discoveryAndUpstreamsAreReachedDespiteIdleClients() throws Exception {
    int port = freePort();
    BlockingQueue<StubServer.Connection> watches = new LinkedBlockingQueue<>();
    List<Socket> idleClients = new ArrayList<>();
    try (StubServer upstream = StubServer.answering("found");
        BalancerFixture fixture =
            new BalancerFixture().maxSockets(MAX_SOCKETS).pushedFrom("127.0.0.1:" + port).start()) {
      for (int i = 0; i < IDLE_CLIENTS; i++) {
        idleClients.add(connectIdle(fixture));
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
        assertNotNull(watch, "discovery was not called again");
        String member = BalancerFixture.json("s-9", upstream.address(), "in_service");
        String line = "{\"revision\":50,\"complete\":true,\"members\":[" + member + "]}\n";
        watch.send(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        Await.until("the list is applied", () -> fixture.hasUpstream("s-9"));
        try (TestClient client = fixture.client()) {
          assertEquals("found", client.call(TestClient.get("/api/x", "")).text());
        }
      }
    } finally {
      for (Socket each : idleClients) {
        each.close();
      }
    }
  }

  /** Closed connections must no longer count towards the socket limit. */
  @Test
  void closedIdleClientsReleaseTheirSockets() throws Exception {
    try (StubServer upstream = StubServer.answering("ok");
        BalancerFixture fixture =
            new BalancerFixture().maxSockets(MAX_SOCKETS).upstream(upstream).start()) {
      for (int round = 0; round < 3; round++) {
        List<Socket> idleClients = new ArrayList<>();
        for (int i = 0; i < IDLE_CLIENTS; i++) {
          idleClients.add(connectIdle(fixture));
        }
        for (Socket each : idleClients) {
          each.close();
        }
      }
      try (TestClient client = fixture.client()) {
        assertEquals("ok", client.call(TestClient.get("/api/x", "")).text());
      }
      // One connection to the upstream stays open.
      Await.until("no client connection is left", () -> fixture.connections() <= 1);
    }
  }
}
