package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A balancer process whose servers are replaced while connections to them are in use. */
@Timeout(60)
class ReplacedServerTest {
  private static final long SLOW_MILLIS = 800;

  /** Until the balancer has applied a change of the list. */
  private static final long PROPAGATION_MILLIS = 300;

  /** Until a balancer that has started watches discovery, which then tells changes at once. */
  private static final long WATCH_MILLIS = 1500;

  /** Less than the time that an attempt waits for its connection, 250 ms. */
  private static final long CONNECTING_MILLIS = 100;

  /** When the system repeats a connection attempt that was not answered. */
  private static final long SYN_RETRY_MILLIS = 1000;

  private static final int REQUESTS = 6;
  private static final int READ_TIMEOUT_MILLIS = 5000;
  private static final PlatformSettings SETTINGS = new PlatformSettings(3000, 6000, 512, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));
  private final List<Socket> connectionsOfFirst = Collections.synchronizedList(new ArrayList<>());
  private final List<ScriptedServer> servers = new ArrayList<>();
  private PlatformFleet fleet;

  @BeforeEach
  void createFleet() {
    fleet = new PlatformFleet(100, SETTINGS, UNUSED_SHAPE);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  private ScriptedServer startServer() throws IOException {
    ScriptedServer server = ScriptedServer.start(fleet, this::answer);
    servers.add(server);
    return server;
  }

  private void answer(RawHead request, InputStream in, Socket connection) throws Exception {
    if (connection.getLocalPort() == servers.get(0).address().getPort()) {
      connectionsOfFirst.add(connection);
    }
    if (request.pathPart(2).equals("slow")) {
      Thread.sleep(SLOW_MILLIS);
    }
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    connection.getOutputStream().write(answer.getBytes(US_ASCII));
  }

  private Socket send(String path, int number) throws IOException {
    Socket socket = new Socket();
    socket.connect(fleet.balancers().get(0).listen(), READ_TIMEOUT_MILLIS);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: b\r\nX-Request-Id: r"
            + number
            + "\r\nX-Class: view\r\nX-Tenant: school\r\nX-Deadline: 3.0\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(US_ASCII));
    return socket;
  }

  private static int statusOf(Socket socket) throws IOException {
    try (socket) {
      return RawHead.read(new BufferedInputStream(socket.getInputStream())).status();
    }
  }

  /** Sends a slow request, changes the list while it runs, and sends some more after it. */
  private void changeDuringRequest(Runnable change) throws Exception {
    fleet.startBalancers(1);
    Socket slow = send("/api/slow", 0);
    Thread.sleep(PROPAGATION_MILLIS);
    change.run();
    assertEquals(200, statusOf(slow));
    int served = 0;
    for (int i = 1; served < REQUESTS; i++) {
      Thread.sleep(50);
      served += statusOf(send("/api/x", i)) == 200 ? 1 : 0; // A cold server takes few requests.
    }
  }

  /** Guards against work for a server that goes to the address that it has left. */
  @Test
  void requestsFollowServerToItsNewAddress() throws Exception {
    ScriptedServer old = startServer();
    ScriptedServer replacement = startServer();
    fleet.drain(replacement.id());
    changeDuringRequest(() -> fleet.move(old.id(), replacement.address(), 0));
    assertEquals(1, connectionsOfFirst.size(), "requests at the old address");
  }

  /** Guards against work that goes to the process that has gone and not to the new one. */
  @Test
  void connectionsToOldProcessAreNotUsedAfterRestart() throws Exception {
    ScriptedServer server = startServer();
    changeDuringRequest(
        () -> fleet.move(server.id(), server.address(), System.currentTimeMillis()));
    Socket beforeRestart = connectionsOfFirst.remove(0);
    assertFalse(connectionsOfFirst.isEmpty());
    for (Socket used : connectionsOfFirst) {
      assertNotSame(beforeRestart, used);
    }
  }

  /** Guards against a connection that comes up late, at whatever has the address by then. */
  @Test
  void lateConnectionToAnOldAddressIsNotUsed() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", full.getLocalPort());
      List<Socket> fillers = fillBacklog(address);
      String id = fleet.addServerAt(address);
      ScriptedServer replacement = startServer();
      fleet.drain(replacement.id());
      fleet.startBalancers(1);
      Thread.sleep(WATCH_MILLIS);
      Socket first = send("/api/x", 0);
      Thread.sleep(CONNECTING_MILLIS);
      fleet.move(id, replacement.address(), 0);
      Thread.sleep(PROPAGATION_MILLIS);
      List<Socket> accepted = Collections.synchronizedList(new ArrayList<>());
      ScriptedServer.daemon(() -> acceptAll(full, accepted));
      Thread.sleep(SYN_RETRY_MILLIS);
      first.close();
      for (int i = 1; i <= REQUESTS; i++) {
        assertEquals(200, statusOf(send("/api/x", i)));
      }
      for (Socket connection : accepted) {
        int bytes = connection.getInputStream().available();
        assertEquals("", new String(connection.getInputStream().readNBytes(bytes), US_ASCII));
        connection.close();
      }
      for (Socket filler : fillers) {
        filler.close();
      }
    }
  }

  /** Connects until the listener's queue is full and connections are no longer answered. */
  private static List<Socket> fillBacklog(InetSocketAddress address) throws IOException {
    List<Socket> fillers = new ArrayList<>();
    while (true) {
      Socket filler = new Socket();
      try {
        filler.connect(address, (int) PROPAGATION_MILLIS);
        fillers.add(filler);
      } catch (SocketTimeoutException e) {
        filler.close();
        return fillers;
      }
    }
  }

  private static void acceptAll(ServerSocket listener, List<Socket> accepted) {
    try {
      while (true) {
        accepted.add(listener.accept());
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }
}
