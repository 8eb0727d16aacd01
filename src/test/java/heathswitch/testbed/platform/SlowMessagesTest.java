package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Balancer processes between servers that write long answers with pauses, or read long requests
 * slowly, and clients that do neither.
 */
@Timeout(120)
class SlowMessagesTest {
  private static final int SERVERS = 4;
  private static final long CLIENT_WAIT_MILLIS = 2500;

  /** How much later than its time a request may get its final answer. */
  private static final long ANSWER_GRACE_MILLIS = 500;

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /** What a server reads of a long request at once, before it pauses. */
  private static final int SLOW_READ_BYTES = 64 << 10;

  private static final int LAST_LUMP_BYTES = 20_000;
  private static final PlatformSettings SETTINGS =
      new PlatformSettings(CLIENT_WAIT_MILLIS, 6000, 512, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));

  /** The pace at which a server writes an answer, chosen by the path of the request. */
  private enum AnswerPace {
    /** The body follows the head after a pause. */
    LATE_BODY(900),
    /** The body comes in a few pieces; the first ones are short. */
    LUMPS(800),
    /** The head itself is interrupted. */
    LATE_HEAD(900),
    /** A large piece follows the head, the next ones come after long pauses. */
    LONG_PAUSES(3000);

    private final long pauseMillis;

    AnswerPace(long pauseMillis) {
      this.pauseMillis = pauseMillis;
    }

    void write(Socket connection, Framing framing, byte[] body) throws Exception {
      OutputStream out = connection.getOutputStream();
      byte[] head = framing.head(body.length).getBytes(US_ASCII);
      int headBytes = this == LATE_HEAD ? head.length / 2 : head.length;
      out.write(head, 0, headBytes);
      if (this == LATE_BODY || this == LATE_HEAD) {
        Thread.sleep(pauseMillis);
        out.write(head, headBytes, head.length - headBytes);
        framing.writePart(out, body, 0, body.length);
      } else {
        int first = this == LUMPS ? 30_000 : 100_000;
        framing.writePart(out, body, 0, first);
        Thread.sleep(pauseMillis);
        framing.writePart(out, body, first, body.length - LAST_LUMP_BYTES);
        Thread.sleep(pauseMillis);
        framing.writePart(out, body, body.length - LAST_LUMP_BYTES, body.length);
      }
      framing.writeEnd(connection);
    }
  }

  /** How the end of a body is marked. */
  private enum Framing {
    LENGTH,
    CHUNKED,
    CLOSE;

    String head(int length) {
      return "HTTP/1.1 200 OK\r\n"
          + switch (this) {
            case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
            case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
            case CLOSE -> "Connection: close\r\n\r\n";
          };
    }

    void writePart(OutputStream out, byte[] bytes, int from, int until) throws IOException {
      if (this == CHUNKED) {
        out.write((Integer.toHexString(until - from) + "\r\n").getBytes(US_ASCII));
      }
      out.write(bytes, from, until - from);
      if (this == CHUNKED) {
        out.write("\r\n".getBytes(US_ASCII));
      }
    }

    void writeEnd(Socket connection) throws IOException {
      if (this == CHUNKED) {
        connection.getOutputStream().write("0\r\n\r\n".getBytes(US_ASCII));
      } else if (this == CLOSE) {
        connection.close();
      }
    }
  }

  /** The answer that a server makes for the request of this id. */
  private static byte[] answerTo(String id) {
    byte[] body = new byte[150_000 + (id.hashCode() & 0x1ffff)];
    new Random(id.hashCode()).nextBytes(body);
    return body;
  }

  // ---- servers ----

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static ServerSocket startServer(PlatformFleet fleet) throws IOException {
    ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    fleet.addServerAt(new InetSocketAddress("127.0.0.1", listener.getLocalPort()));
    daemon(
        () -> {
          try {
            while (true) {
              Socket connection = listener.accept();
              connection.setTcpNoDelay(true);
              daemon(() -> serve(connection));
            }
          } catch (IOException e) {
            // The listener was closed.
          }
        });
    return listener;
  }

  private static void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      for (List<String> head = readHead(in); !head.isEmpty(); head = readHead(in)) {
        String[] path = head.get(0).split(" ")[1].split("/");
        if (path[2].equals("upload")) {
          readSlowly(in, head, Long.parseLong(path[3]));
          byte[] answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(US_ASCII);
          connection.getOutputStream().write(answer);
        } else {
          AnswerPace pace = AnswerPace.valueOf(path[2]);
          pace.write(connection, Framing.valueOf(path[3]), answerTo(header(head, "x-request-id")));
        }
      }
    } catch (Exception e) {
      // The balancer has closed the connection.
    }
  }

  private static void readSlowly(InputStream in, List<String> head, long bytesPerSecond)
      throws Exception {
    boolean chunked = header(head, "transfer-encoding") != null;
    int left = chunked ? Integer.parseInt(readLine(in), 16) : contentLength(head);
    while (left > 0) {
      int read = in.readNBytes(Math.min(left, SLOW_READ_BYTES)).length;
      left -= read;
      Thread.sleep(1000L * SLOW_READ_BYTES / bytesPerSecond);
      if (chunked && left == 0) {
        readLine(in);
        left = Integer.parseInt(readLine(in), 16);
      }
    }
    if (chunked) {
      readLine(in);
    }
  }

  private static int contentLength(List<String> head) {
    String value = header(head, "content-length");
    return value == null ? 0 : Integer.parseInt(value);
  }

  private static String header(List<String> head, String name) {
    for (String line : head) {
      if (line.toLowerCase().startsWith(name + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return null;
  }

  /** Reads the lines of a head; none at the end of the connection. */
  private static List<String> readHead(InputStream in) throws IOException {
    List<String> lines = new ArrayList<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      lines.add(line);
    }
    return lines;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(US_ASCII);
  }

  // ---- clients ----

  private static Socket connect(PlatformBalancer balancer) throws IOException {
    Socket socket = new Socket();
    socket.connect(balancer.listen(), READ_TIMEOUT_MILLIS);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private static String head(String requestClass, String path, String id) {
    return (requestClass.equals("view") ? "GET " : "POST ")
        + path
        + " HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: "
        + requestClass
        + "\r\nX-Tenant: school\r\nX-Deadline: "
        + CLIENT_WAIT_MILLIS / 1000.0
        + "\r\n";
  }

  private static byte[] readBody(InputStream in, List<String> head) throws IOException {
    if (header(head, "transfer-encoding") == null) {
      return in.readNBytes(contentLength(head));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (String size = readLine(in); size != null; size = readLine(in)) {
      body.write(in.readNBytes(Integer.parseInt(size, 16)));
      readLine(in);
      if (size.equals("0")) {
        return body.toByteArray();
      }
    }
    throw new IOException("connection ended after " + body.size() + " bytes of the body");
  }

  /** Sends a request and returns what is wrong with its answer, or null. */
  private static String faultOfAnswer(
      PlatformBalancer balancer, String requestClass, AnswerPace pace, Framing framing) {
    String id = requestClass + "-" + pace + "-" + framing;
    try (Socket socket = connect(balancer)) {
      String path = "/api/" + pace + "/" + framing;
      String end = requestClass.equals("view") ? "\r\n" : "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write((head(requestClass, path, id) + end).getBytes(US_ASCII));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      List<String> answerHead = readHead(in);
      byte[] body = readBody(in, answerHead);
      boolean served = answerHead.get(0).contains(" 200 ") && Arrays.equals(body, answerTo(id));
      return served ? null : id + ": " + answerHead.get(0) + ", " + body.length + " bytes";
    } catch (Exception e) {
      return id + ": " + e;
    }
  }

  /** Guards against a sound answer that is cut off because its server pauses while writing it. */
  @Test
  void longAnswersWithPausesArriveWhole() throws Exception {
    List<ServerSocket> servers = new ArrayList<>();
    ExecutorService clients = Executors.newCachedThreadPool();
    try (PlatformFleet fleet = new PlatformFleet(95, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(startServer(fleet));
      }
      fleet.startBalancers(2);
      List<Future<String>> requests = new ArrayList<>();
      for (AnswerPace pace : AnswerPace.values()) {
        for (Framing framing : Framing.values()) {
          for (String requestClass : List.of("view", "publish")) {
            PlatformBalancer balancer = fleet.balancers().get(requests.size() % 2);
            Callable<String> request = () -> faultOfAnswer(balancer, requestClass, pace, framing);
            requests.add(clients.submit(request));
          }
        }
      }
      List<String> faults = new ArrayList<>();
      for (Future<String> request : requests) {
        if (request.get() != null) {
          faults.add(request.get());
        }
      }
      assertEquals(List.of(), faults, () -> log(fleet));
    } finally {
      clients.shutdownNow();
      for (ServerSocket server : servers) {
        server.close();
      }
    }
  }

  private static String log(PlatformFleet fleet) {
    try {
      return Files.readString(fleet.balancers().get(0).log());
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** An upload of this size to a server that reads at this pace. */
  private record Upload(String id, int bytes, boolean chunked, long bytesPerSecond) {
    /** Sends it and returns by how much the final answer came too late, in milliseconds. */
    long lateness(PlatformBalancer balancer) throws Exception {
      try (Socket socket = connect(balancer)) {
        String framing =
            chunked
                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bytes) + "\r\n"
                : "Content-Length: " + bytes + "\r\n\r\n";
        long[] writtenNanos = {Long.MAX_VALUE};
        Thread writer =
            daemon(
                () -> {
                  try {
                    OutputStream out = socket.getOutputStream();
                    String path = "/api/upload/" + bytesPerSecond;
                    out.write((head("publish", path, id) + framing).getBytes(US_ASCII));
                    out.write(new byte[bytes]);
                    out.write(chunked ? "\r\n0\r\n\r\n".getBytes(US_ASCII) : new byte[0]);
                    writtenNanos[0] = System.nanoTime();
                  } catch (IOException e) {
                    // Answered before it was written; then it is not late.
                  }
                });
        String status = readHead(new BufferedInputStream(socket.getInputStream())).get(0);
        long answeredNanos = System.nanoTime();
        writer.join(100);
        assertTrue(status.matches("HTTP/1.1 (200|50[234]) .*"), id + ": " + status);
        return writtenNanos[0] == Long.MAX_VALUE
            ? 0
            : (answeredNanos - writtenNanos[0]) / 1_000_000 - CLIENT_WAIT_MILLIS;
      }
    }
  }

  /** Guards against a final answer that is late because the server reads the request slowly. */
  @Test
  void longRequestsToSlowReadersAreAnsweredInTime() throws Exception {
    List<ServerSocket> servers = new ArrayList<>();
    ExecutorService clients = Executors.newCachedThreadPool();
    try (PlatformFleet fleet = new PlatformFleet(96, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(startServer(fleet));
      }
      fleet.startBalancers(2);
      List<Upload> uploads = new ArrayList<>();
      for (int bytes : new int[] {300_000, 1_500_000, 3_000_000, 6_000_000, 12_000_000}) {
        for (long bytesPerSecond : new long[] {100_000, 400_000, 1_000_000}) {
          String id = "u-" + bytes + "-" + bytesPerSecond;
          uploads.add(new Upload(id + "-l", bytes, false, bytesPerSecond));
          uploads.add(new Upload(id + "-c", bytes, true, bytesPerSecond));
        }
      }
      List<Future<String>> requests = new ArrayList<>();
      for (Upload upload : uploads) {
        PlatformBalancer balancer = fleet.balancers().get(requests.size() % 2);
        requests.add(clients.submit(() -> upload.id() + ": " + upload.lateness(balancer)));
      }
      List<String> late = new ArrayList<>();
      for (Future<String> request : requests) {
        String[] result = request.get().split(": ");
        if (Long.parseLong(result[1]) > ANSWER_GRACE_MILLIS) {
          late.add(request.get());
        }
      }
      assertEquals(List.of(), late, () -> log(fleet));
    } finally {
      clients.shutdownNow();
      for (ServerSocket server : servers) {
        server.close();
      }
    }
  }
}
