package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One balancer process with a small heap that receives large heads on many connections. */
@Timeout(120)
class HeadMemoryTest {
  private static final int CONNECTIONS = 220;

  /** Under the length at which a head is rejected. */
  private static final int HEAD_BYTES = 16_000;

  private static final int ANSWER_TIMEOUT_MILLIS = 8000;
  private static final PlatformSettings SETTINGS = new PlatformSettings(6000, 6000, 672, false);
  private static final ServerProfile SHAPE =
      ServerProfile.alwaysWarm(100, 100, ServiceTime.fixed(300));

  /** Where the bytes of a large head are when its client sends no more. */
  private enum Input {
    UNFINISHED_HEAD,
    HEAD_WITHOUT_ITS_BODY,
    HEAD_WITH_PART_OF_A_STREAMED_BODY,
    WHOLE_REQUEST,
    UNFINISHED_HEAD_BEHIND_REQUEST;

    String text(int number) {
      return switch (this) {
        case UNFINISHED_HEAD -> largeHead("GET", number, "view");
        case HEAD_WITHOUT_ITS_BODY ->
            largeHead("POST", number, "publish") + "Content-Length: 9\r\n\r\n";
        case HEAD_WITH_PART_OF_A_STREAMED_BODY ->
            largeHead("POST", number, "publish")
                + "Content-Length: 2000000\r\n\r\n"
                + "x".repeat(20_000);
        case WHOLE_REQUEST -> largeHead("GET", number, "view") + "\r\n";
        case UNFINISHED_HEAD_BEHIND_REQUEST ->
            startOfHead("GET", number, "view")
                + "\r\n"
                + largeHead("GET", CONNECTIONS + number, "view");
      };
    }
  }

  private static String startOfHead(String method, int number, String requestClass) {
    return method
        + " /api/x HTTP/1.1\r\nHost: b\r\nX-Request-Id: r"
        + number
        + "\r\nX-Class: "
        + requestClass
        + "\r\nX-Tenant: school\r\nX-Deadline: 6.0\r\n";
  }

  private static String largeHead(String method, int number, String requestClass) {
    return shortLines(startOfHead(method, number, requestClass));
  }

  private static String shortLines(String start) {
    StringBuilder head = new StringBuilder(start);
    while (head.length() < HEAD_BYTES - 60) {
      head.append("X-N: 1\r\n");
    }
    return head.toString();
  }

  private static PlatformBalancer startWithSmallHeap(PlatformFleet fleet) throws Exception {
    PlatformBalancer balancer = fleet.addBalancer();
    balancer.heapMegabytes(36);
    balancer.environment(Map.of("JDK_JAVA_OPTIONS", "-XX:+ExitOnOutOfMemoryError"));
    fleet.start(balancer);
    return balancer;
  }

  private static Socket connect(PlatformBalancer balancer) throws IOException {
    Socket socket = new Socket();
    socket.connect(balancer.listen(), 5000);
    socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
    return socket;
  }

  private static String statusOf(Socket socket) throws IOException {
    return new String(socket.getInputStream().readNBytes(12), US_ASCII);
  }

  /** Sends a small request, which may be refused while the servers are busy. */
  private static String sendSmallRequest(PlatformBalancer balancer, int number) throws IOException {
    try (Socket socket = connect(balancer)) {
      String request = startOfHead("GET", number, "view") + "\r\n";
      socket.getOutputStream().write(request.getBytes(US_ASCII));
      return statusOf(socket);
    }
  }

  /** Guards against a heap that is filled by heads of clients that send no more. */
  @ParameterizedTest
  @EnumSource(Input.class)
  void largeHeadsOfManyClientsDoNotExhaustTheHeap(Input input) throws Exception {
    List<Socket> clients = new ArrayList<>();
    try (PlatformFleet fleet = new PlatformFleet(91, SETTINGS, SHAPE)) {
      for (int i = 0; i < 6; i++) {
        fleet.addServer(false);
      }
      PlatformBalancer balancer = startWithSmallHeap(fleet);
      for (int i = 0; i < CONNECTIONS && balancer.alive(); i++) {
        Socket client = connect(balancer);
        clients.add(client);
        client.getOutputStream().write(input.text(i).getBytes(US_ASCII));
      }
      for (int i = 0; i < 5; i++) {
        String status = sendSmallRequest(balancer, 2 * CONNECTIONS + i);
        assertTrue(status.matches("HTTP/1.1 (200|503)"), "status: " + status);
      }
      int number = 3 * CONNECTIONS;
      while (!sendSmallRequest(balancer, number++).equals("HTTP/1.1 200")) {
        Thread.sleep(50); // Refused until the servers have done their work.
      }
      String log = Files.readString(balancer.log());
      assertTrue(balancer.alive() && !log.contains("Exception"), log);
    } finally {
      for (Socket client : clients) {
        client.close();
      }
    }
  }

  /** Guards against the same through large heads of answers, which may be complete or not. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void largeHeadsOfAnswersDoNotExhaustTheHeap(boolean complete) throws Exception {
    List<Socket> clients = new ArrayList<>();
    try (ServerSocket upstream = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        PlatformFleet fleet = new PlatformFleet(92, SETTINGS, SHAPE)) {
      Thread answering = new Thread(() -> answerWithLargeHeads(upstream, complete));
      answering.setDaemon(true);
      answering.start();
      for (int i = 0; i < CONNECTIONS; i++) {
        fleet.addServerAt(new InetSocketAddress("127.0.0.1", upstream.getLocalPort()));
      }
      PlatformBalancer balancer = startWithSmallHeap(fleet);
      for (int i = 0; i < CONNECTIONS && balancer.alive(); i++) {
        Socket client = connect(balancer);
        clients.add(client);
        client.getOutputStream().write((startOfHead("GET", i, "view") + "\r\n").getBytes(US_ASCII));
      }
      for (Socket client : clients) {
        String status = statusOf(client);
        assertTrue(status.matches("HTTP/1.1 (200|50[23])"), "status: " + status);
      }
      String log = Files.readString(balancer.log());
      assertTrue(balancer.alive() && !log.contains("Exception"), log);
    } finally {
      for (Socket client : clients) {
        client.close();
      }
    }
  }

  private static void answerWithLargeHeads(ServerSocket listener, boolean complete) {
    String end = complete ? "Content-Length: 0\r\n\r\n" : "";
    byte[] head = (shortLines("HTTP/1.1 200 OK\r\n") + end).getBytes(US_ASCII);
    List<Socket> open = new ArrayList<>(); // Kept, as an end of the connection would end the head.
    try {
      while (true) {
        Socket connection = listener.accept();
        open.add(connection);
        Thread reader =
            new Thread(
                () -> {
                  try {
                    connection.getInputStream().read(new byte[4096]);
                    connection.getOutputStream().write(head);
                  } catch (IOException e) {
                    // The balancer has closed the connection.
                  }
                });
        reader.setDaemon(true);
        reader.start();
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }
}
