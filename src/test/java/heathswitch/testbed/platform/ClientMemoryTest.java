package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** One balancer process with the memory of a deployment and as many clients as it can hold. */
@Timeout(120)
class ClientMemoryTest {
  private static final int SERVERS = 8;
  private static final int SOCKETS = 1024;
  private static final long DEADLINE_MILLIS = 6000;

  /** How long the clients stay. */
  private static final long DURATION_MILLIS = 5000;

  private static final long SETTLE_MILLIS = 500;
  private static final int READ_BYTES = 200;
  private static final int SLOW_READ_PAUSE_MILLIS = 100;
  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final PlatformSettings SETTINGS =
      new PlatformSettings(DEADLINE_MILLIS, 6000, SOCKETS, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));

  /** What the clients do with their connections. */
  private enum Behavior {
    READ_LONG_ANSWERS_SLOWLY(460),
    READ_ANSWERS_IN_TINY_CHUNKS_SLOWLY(200),
    STOP_IN_A_SHORT_BODY(460),
    STOP_IN_A_BODY_OF_TINY_CHUNKS(100),
    STOP_IN_A_LONG_BODY_OF_TINY_CHUNKS(30);

    private final int clients;

    Behavior(int clients) {
      this.clients = clients;
    }

    String request(int number) {
      return switch (this) {
        case READ_LONG_ANSWERS_SLOWLY -> head("GET", "/api/long", "view", number) + "\r\n";
        case READ_ANSWERS_IN_TINY_CHUNKS_SLOWLY ->
            head("GET", "/api/chunks", "view", number) + "\r\n";
        case STOP_IN_A_SHORT_BODY ->
            head("POST", "/api/x", "publish", number)
                + "Content-Length: 65000\r\n\r\n"
                + "x".repeat(64_000);
        case STOP_IN_A_BODY_OF_TINY_CHUNKS ->
            head("POST", "/api/x", "publish", number)
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "1\r\nx\r\n".repeat(60_000);
        case STOP_IN_A_LONG_BODY_OF_TINY_CHUNKS ->
            head("POST", "/api/x", "publish", number)
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "100000\r\n"
                + "x".repeat(1 << 20)
                + "\r\n"
                + "1\r\nx\r\n".repeat(100_000);
      };
    }
  }

  private static String head(String method, String path, String requestClass, int number) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: b\r\nX-Request-Id: r"
        + number
        + "\r\nX-Class: "
        + requestClass
        + "\r\nX-Tenant: school\r\nX-Deadline: 6.0\r\n";
  }

  private static void answer(RawHead request, InputStream in, Socket connection)
      throws IOException {
    request.readBody(in);
    OutputStream out = connection.getOutputStream();
    switch (request.pathPart(2)) {
      case "long" -> {
        out.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n".getBytes(US_ASCII));
        out.write(new byte[3_000_000]);
      }
      case "chunks" -> {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(US_ASCII));
        out.write("1\r\nx\r\n".repeat(300_000).getBytes(US_ASCII));
        out.write("0\r\n\r\n".getBytes(US_ASCII));
      }
      default -> out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
    }
  }

  private static Socket connect(PlatformBalancer balancer, int receiveBuffer) throws IOException {
    Socket socket = new Socket();
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(balancer.listen(), 5000);
    socket.setSoTimeout((int) DEADLINE_MILLIS);
    return socket;
  }

  /** Sends a request and reads a little at a time, until the connection or the test ends. */
  private static void useConnection(Socket socket, String request) {
    try (socket) {
      socket.getOutputStream().write(request.getBytes(US_ASCII));
      byte[] buffer = new byte[READ_BYTES];
      while (socket.getInputStream().read(buffer) >= 0) {
        Thread.sleep(SLOW_READ_PAUSE_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // Ended by the balancer or at the end of the test.
    }
  }

  private static int statusOfSmallRequest(PlatformBalancer balancer, int number)
      throws IOException {
    try (Socket socket = connect(balancer, 0)) {
      String request = head("GET", "/api/x", "view", number) + "\r\n";
      socket.getOutputStream().write(request.getBytes(US_ASCII));
      return RawHead.read(new BufferedInputStream(socket.getInputStream())).status();
    }
  }

  /** Guards against a process that is ended for its memory, or for an error of its heap. */
  @ParameterizedTest
  @EnumSource(Behavior.class)
  void processStaysWithinItsMemory(Behavior behavior) throws Exception {
    List<Socket> clients = new ArrayList<>();
    List<ScriptedServer> servers = new ArrayList<>();
    try (PlatformFleet fleet = new PlatformFleet(97, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(ScriptedServer.start(fleet, ClientMemoryTest::answer));
      }
      PlatformBalancer balancer = fleet.addBalancer();
      balancer.jvmFlags(Deployment.jvmFlags());
      fleet.start(balancer);
      long endNanos = System.nanoTime() + DURATION_MILLIS * 1_000_000;
      for (int i = 0; i < behavior.clients && balancer.alive(); i++) {
        Socket client = connect(balancer, RECEIVE_BUFFER_BYTES);
        clients.add(client);
        String request = behavior.request(i);
        ScriptedServer.daemon(() -> useConnection(client, request));
      }
      int number = behavior.clients;
      while (System.nanoTime() < endNanos && balancer.alive()) {
        int status = statusOfSmallRequest(balancer, number++); // In time, or the socket times out.
        assertTrue(status == 200 || status == 503, "status of a small request: " + status);
        Thread.sleep(100);
      }
      for (Socket client : clients) {
        client.close();
      }
      Thread.sleep(SETTLE_MILLIS);
      assertEquals(200, statusOfSmallRequest(balancer, number), "when the clients have left");
      String log = Files.readString(balancer.log());
      assertTrue(balancer.alive() && !log.contains("Error"), log);
      int megabytes = balancer.peakMemoryMegabytes();
      assertTrue(megabytes <= Deployment.MAX_MEGABYTES, megabytes + " MB");
    } finally {
      for (Socket client : clients) {
        client.close();
      }
      for (ScriptedServer server : servers) {
        server.close();
      }
    }
  }
}
