package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Balancer processes whose clients leave while their requests are on the way. */
@Timeout(60)
class DepartedClientTest {
  private static final int SERVERS = 3;
  private static final long WORK_MILLIS = 600;
  private static final int ANSWER_TIMEOUT_MILLIS = 5000;

  /** New connections are spread over the processes of an upgrade by chance. */
  private static final int REPEATS = 24;

  /** Several megabytes. */
  private static final int REQUESTS_BEHIND = 30_000;

  private static final PlatformSettings SETTINGS = new PlatformSettings(3000, 6000, 512, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));
  private final List<String> started = Collections.synchronizedList(new ArrayList<>());
  private final List<ScriptedServer> servers = new ArrayList<>();
  private PlatformFleet fleet;

  @BeforeEach
  void startServers() throws IOException {
    fleet = new PlatformFleet(99, SETTINGS, UNUSED_SHAPE);
    for (int i = 0; i < SERVERS; i++) {
      servers.add(ScriptedServer.start(fleet, this::work));
    }
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  /** Works for a while and then turns the request away or serves it, as its path says. */
  private void work(RawHead request, InputStream in, Socket connection) throws Exception {
    request.readBody(in);
    started.add(request.header("x-request-id"));
    Thread.sleep(WORK_MILLIS);
    String answer =
        request.pathPart(2).equals("turn-away")
            ? "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    connection.getOutputStream().write(answer.getBytes(US_ASCII));
  }

  private static String request(String path, String id) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: publish\r\nX-Tenant: school\r\nX-Deadline: 3.0\r\n"
        + "Content-Length: 0\r\n\r\n";
  }

  private static Socket send(PlatformBalancer balancer, String text) throws IOException {
    Socket socket = new Socket();
    socket.connect(balancer.listen(), ANSWER_TIMEOUT_MILLIS);
    socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
    socket.getOutputStream().write(text.getBytes(US_ASCII));
    return socket;
  }

  private static int statusOf(Socket socket) throws IOException {
    return RawHead.read(new BufferedInputStream(socket.getInputStream())).status();
  }

  private void awaitStarted(int requests) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_TIMEOUT_MILLIS);
    while (started.size() < requests && System.nanoTime() < endNanos) {
      Thread.sleep(5);
    }
    assertEquals(requests, started.size());
  }

  /** Guards against an id that runs again when it comes again after its client has left. */
  @Test
  void idOfDepartedClientDoesNotRunAgain() throws Exception {
    fleet.startBalancers(1);
    PlatformBalancer balancer = fleet.balancers().get(0);
    Socket first = send(balancer, request("/api/x", "same"));
    awaitStarted(1);
    first.close();
    for (int i = 0; i < 3; i++) {
      Thread.sleep(50);
      try (Socket second = send(balancer, request("/api/x", "same"))) {
        assertEquals(400, statusOf(second));
      }
    }
    assertEquals(List.of("same"), started);
  }

  /** Guards against an id that runs at both processes of an upgrade. */
  @Test
  void idDoesNotRunAtBothProcessesOfAnUpgrade() throws Exception {
    fleet.enableOperations();
    PlatformBalancer balancer = fleet.addBalancer();
    fleet.start(balancer);
    fleet.start(fleet.addSuccessor(balancer));
    List<Socket> repeats = new ArrayList<>();
    Socket first = send(balancer, request("/api/x", "same"));
    awaitStarted(1);
    for (int i = 0; i < REPEATS; i++) {
      repeats.add(send(balancer, request("/api/x", "same")));
    }
    first.close();
    for (Socket repeat : repeats) {
      assertEquals(400, statusOf(repeat));
      repeat.close();
    }
    for (int i = 0; i < REPEATS; i++) {
      try (Socket repeat = send(balancer, request("/api/x", "same"))) {
        assertEquals(400, statusOf(repeat));
      }
    }
    assertEquals(List.of("same"), started);
  }

  /** Guards against another attempt for a client that has left behind much that is unread. */
  @Test
  void requestIsNotSentAgainWhenItsClientHasLeftBehindUnreadInput() throws Exception {
    fleet.startBalancers(1);
    PlatformBalancer balancer = fleet.balancers().get(0);
    Socket client = send(balancer, request("/api/turn-away", "gone"));
    awaitStarted(1);
    ScriptedServer.daemon(
        () -> {
          try (client) {
            byte[] behind = request("/api/x", "behind").repeat(REQUESTS_BEHIND).getBytes(US_ASCII);
            client.getOutputStream().write(behind);
          } catch (IOException e) {
            // The balancer has closed the connection.
          }
        });
    Thread.sleep(2 * WORK_MILLIS);
    assertEquals(List.of("gone"), started);
  }
}
