package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One balancer process between usual clients and servers, whose messages consist of some hundred
 * chunks, and many others that send chunks of one byte at full speed.
 */
@Timeout(60)
class ChunkedFloodTest {
  private static final int SERVERS = 4;
  private static final int FLOODING_CLIENTS = 60;
  private static final int USUAL_CLIENTS = 6;
  private static final long DEADLINE_MILLIS = 1500;
  private static final long WORK_MILLIS = 300;
  private static final long REQUEST_INTERVAL_MILLIS = 150;

  /** How much later than its time a request may get its final answer. */
  private static final long ANSWER_GRACE_MILLIS = 500;

  /** How much more time than its client has left a server may be told. */
  private static final long DEADLINE_SLACK_MILLIS = 150;

  private static final long WARM_UP_MILLIS = 1000;
  private static final long DURATION_MILLIS = 4000;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private static final PlatformSettings SETTINGS =
      new PlatformSettings(DEADLINE_MILLIS, 6000, 512, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));
  private static final byte[] TINY_CHUNKS = "1\r\nx\r\n".repeat(5000).getBytes(US_ASCII);

  /** The form of the usual messages. */
  private enum Form {
    FEW_CHUNKS(60_000, 400),
    MANY_CHUNKS(60_000, 100),
    SHORT_IN_TINY_CHUNKS(400, 1),
    NO_CHUNKS(60_000, 0);

    private final int bytes;
    private final int chunkBytes;

    Form(int bytes, int chunkBytes) {
      this.bytes = bytes;
      this.chunkBytes = chunkBytes;
    }

    /** The headers of the framing and the body. */
    String framedBody() {
      if (chunkBytes == 0) {
        return "Content-Length: " + bytes + "\r\n\r\n" + "b".repeat(bytes);
      }
      String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "b".repeat(chunkBytes) + "\r\n";
      return "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(bytes / chunkBytes) + "0\r\n\r\n";
    }
  }

  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();

  /** When the last byte of each usual request was written. */
  private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();

  private final Queue<String> faults = new ConcurrentLinkedQueue<>();

  private String newId() {
    return "r" + ids.incrementAndGet();
  }

  private static String head(String method, String requestClass, String path, String id) {
    return method
        + " /api/"
        + path
        + " HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: "
        + requestClass
        + "\r\nX-Tenant: school\r\nX-Deadline: "
        + DEADLINE_MILLIS / 1000.0
        + "\r\n";
  }

  private static Socket connect(PlatformBalancer balancer) throws IOException {
    Socket socket = new Socket();
    socket.connect(balancer.listen(), READ_TIMEOUT_MILLIS);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Sends one request and checks that its final answer comes in time. */
  private void sendUsual(PlatformBalancer balancer, String id, String message) {
    requests.incrementAndGet();
    try (Socket socket = connect(balancer)) {
      socket.getOutputStream().write(message.getBytes(US_ASCII));
      long startNanos = System.nanoTime();
      sentNanos.put(id, startNanos);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      RawHead answer = RawHead.read(in);
      answer.readBody(in);
      long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
      if (tookMillis > DEADLINE_MILLIS + ANSWER_GRACE_MILLIS) {
        faults.add(id + ": " + answer.status() + " after " + tookMillis + " ms");
      }
      served.addAndGet(answer.status() == 200 ? 1 : 0);
    } catch (IOException | RuntimeException e) {
      faults.add(id + ": no answer, " + e);
    }
  }

  private void checkDeadlineTold(RawHead request) {
    Long sent = sentNanos.get(request.header("x-request-id"));
    if (sent != null) {
      long leftMillis = DEADLINE_MILLIS - (System.nanoTime() - sent) / 1_000_000;
      long toldMillis = (long) (1000 * Double.parseDouble(request.header("x-deadline")));
      if (toldMillis > leftMillis + DEADLINE_SLACK_MILLIS) {
        faults.add(request.lines().get(0) + ": told " + toldMillis + " ms of " + leftMillis);
      }
    }
  }

  private void answer(RawHead request, InputStream in, Socket connection) throws Exception {
    checkDeadlineTold(request);
    request.readBody(in);
    if (request.pathPart(2).equals("endless")) {
      String start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      connection.getOutputStream().write(start.getBytes(US_ASCII));
      while (!stopped.get()) {
        connection.getOutputStream().write(TINY_CHUNKS);
      }
    }
    Thread.sleep(WORK_MILLIS);
    String body = Form.valueOf(request.pathPart(2)).framedBody();
    connection.getOutputStream().write(("HTTP/1.1 200 OK\r\n" + body).getBytes(US_ASCII));
  }

  /** Sends a body without end; connects again whenever it is turned away. */
  private void flood(PlatformBalancer balancer) {
    while (!stopped.get()) {
      try (Socket socket = connect(balancer)) {
        String start = head("POST", "publish", "flood", newId());
        ScriptedServer.daemon(() -> readUntilEnd(socket));
        socket.getOutputStream().write((start + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
        while (!stopped.get()) {
          socket.getOutputStream().write(TINY_CHUNKS);
        }
      } catch (IOException e) {
        // Turned away.
      }
    }
  }

  /** Asks for an answer without end, and reads it. */
  private void askForEndlessAnswers(PlatformBalancer balancer) {
    while (!stopped.get()) {
      try (Socket socket = connect(balancer)) {
        String request = head("GET", "view", "endless", newId()) + "\r\n";
        socket.getOutputStream().write(request.getBytes(US_ASCII));
        readUntilEnd(socket);
      } catch (IOException e) {
        // Given up.
      }
    }
  }

  private static void readUntilEnd(Socket socket) {
    try (socket) {
      byte[] ignored = new byte[64 << 10];
      int read = 0;
      while (read >= 0) {
        read = socket.getInputStream().read(ignored);
      }
    } catch (IOException e) {
      // The balancer has closed the connection.
    }
  }

  private interface Task {
    void run(PlatformBalancer balancer);
  }

  /** Lets usual clients send, at first alone and then beside the others, and checks the result. */
  private void play(Task other, int others, Task usual) throws Exception {
    List<ScriptedServer> servers = new ArrayList<>();
    try (PlatformFleet fleet = new PlatformFleet(99, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(ScriptedServer.start(fleet, this::answer));
      }
      PlatformBalancer balancer = fleet.addBalancer();
      balancer.jvmFlags(Deployment.jvmFlags());
      fleet.start(balancer);
      long endNanos = System.nanoTime() + (WARM_UP_MILLIS + DURATION_MILLIS) * 1_000_000;
      List<Thread> usualClients = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        usualClients.add(
            ScriptedServer.daemon(
                () -> {
                  while (System.nanoTime() < endNanos) {
                    usual.run(balancer);
                    LockSupport.parkNanos(REQUEST_INTERVAL_MILLIS * 1_000_000);
                  }
                }));
      }
      Thread.sleep(WARM_UP_MILLIS);
      for (int i = 0; i < others; i++) {
        ScriptedServer.daemon(() -> other.run(balancer));
      }
      for (Thread client : usualClients) {
        client.join();
      }
      assertEquals(List.of(), List.copyOf(faults));
      assertTrue(2 * served.get() >= requests.get(), served + " of " + requests + " served");
      int megabytes = balancer.peakMemoryMegabytes();
      assertTrue(megabytes <= Deployment.MAX_MEGABYTES, megabytes + " MB");
    } finally {
      stopped.set(true);
      for (ScriptedServer server : servers) {
        server.close();
      }
    }
  }

  // Guards against usual requests that wait, unread and uncounted, behind costly ones of others.
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NO_CHUNKS")
  void usualRequestsAreAnsweredInTime(Form form) throws Exception {
    play(
        this::flood,
        FLOODING_CLIENTS,
        balancer -> {
          String id = newId();
          String message = head("POST", "publish", "NO_CHUNKS", id) + form.framedBody();
          sendUsual(balancer, id, message);
        });
  }

  // Guards against usual answers that wait behind costly ones until their requests' time is over.
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NO_CHUNKS")
  void usualAnswersArriveInTime(Form form) throws Exception {
    play(
        this::askForEndlessAnswers,
        FLOODING_CLIENTS,
        balancer -> {
          String id = newId();
          sendUsual(balancer, id, head("GET", "view", form.name(), id) + "\r\n");
        });
  }
}
