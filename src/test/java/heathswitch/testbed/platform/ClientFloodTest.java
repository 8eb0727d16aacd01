package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** One balancer process that one client floods on one connection, beside other clients. */
@Timeout(60)
class ClientFloodTest {
  private static final int SERVERS = 4;
  private static final long DEADLINE_MILLIS = 2500;
  private static final long DURATION_MILLIS = 4000;

  private static final PlatformSettings SETTINGS =
      new PlatformSettings(DEADLINE_MILLIS, 6000, 512, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));

  /** What the client sends over and over. */
  private enum Flood {
    TINY_CHUNKS,
    PIPELINED_REQUESTS,
    UNKNOWN_CLASSES,
    READINESS_PROBES;

    String first() {
      return this == TINY_CHUNKS
          ? head("POST", "publish", "flood") + "Transfer-Encoding: chunked\r\n\r\n"
          : "";
    }

    String next(int number) {
      return switch (this) {
        case TINY_CHUNKS -> "1\r\nx\r\n".repeat(1000);
        case PIPELINED_REQUESTS ->
            head("GET", "view", "f" + number) + "X-" + number + ": x\r\n\r\n";
        case UNKNOWN_CLASSES -> head("GET", "c" + number, "f" + number) + "\r\n";
        case READINESS_PROBES -> "GET /up HTTP/1.1\r\nHost: b\r\n\r\n".repeat(100);
      };
    }
  }

  private static String head(String method, String requestClass, String id) {
    return method
        + " /api/x HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: "
        + requestClass
        + "\r\nX-Tenant: school\r\nX-Deadline: 2.5\r\n";
  }

  /** Sends at full speed and reads nothing; connects again whenever it is turned away. */
  private static void flood(PlatformBalancer balancer, Flood flood, AtomicBoolean stopped) {
    int number = 0;
    while (!stopped.get()) {
      try (Socket socket = new Socket()) {
        socket.connect(balancer.listen(), 1000);
        socket.getOutputStream().write(flood.first().getBytes(US_ASCII));
        while (!stopped.get()) {
          socket.getOutputStream().write(flood.next(number++).getBytes(US_ASCII));
        }
      } catch (IOException e) {
        // Turned away.
      }
    }
  }

  private static int statusOfSmallRequest(PlatformBalancer balancer, int number)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(balancer.listen(), (int) DEADLINE_MILLIS);
      socket.setSoTimeout((int) DEADLINE_MILLIS);
      String request = head("GET", "view", "s" + number) + "\r\n";
      socket.getOutputStream().write(request.getBytes(US_ASCII));
      return RawHead.read(new BufferedInputStream(socket.getInputStream())).status();
    }
  }

  /** Guards against one client that takes the time, or the memory, of all others. */
  @ParameterizedTest
  @EnumSource(Flood.class)
  void otherClientsAreServedInTime(Flood flood) throws Exception {
    AtomicBoolean stopped = new AtomicBoolean();
    List<ScriptedServer> servers = new ArrayList<>();
    try (PlatformFleet fleet = new PlatformFleet(98, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(
            ScriptedServer.start(
                fleet,
                (request, in, connection) -> {
                  request.readBody(in);
                  String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                  connection.getOutputStream().write(answer.getBytes(US_ASCII));
                }));
      }
      PlatformBalancer balancer = fleet.addBalancer();
      balancer.jvmFlags(Deployment.jvmFlags());
      fleet.start(balancer);
      ScriptedServer.daemon(() -> flood(balancer, flood, stopped));
      long endNanos = System.nanoTime() + DURATION_MILLIS * 1_000_000;
      for (int number = 0; System.nanoTime() < endNanos; number++) {
        assertEquals(200, statusOfSmallRequest(balancer, number));
      }
      int megabytes = balancer.peakMemoryMegabytes();
      assertTrue(megabytes <= Deployment.MAX_MEGABYTES, megabytes + " MB");
    } finally {
      stopped.set(true);
      for (ScriptedServer server : servers) {
        server.close();
      }
    }
  }
}
