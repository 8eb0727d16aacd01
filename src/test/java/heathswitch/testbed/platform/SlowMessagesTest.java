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

  private static void answer(RawHead request, InputStream in, Socket connection) throws Exception {
    if (request.pathPart(2).equals("upload")) {
      readSlowly(in, request, Long.parseLong(request.pathPart(3)));
      byte[] answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(US_ASCII);
      connection.getOutputStream().write(answer);
    } else {
      AnswerPace pace = AnswerPace.valueOf(request.pathPart(2));
      Framing framing = Framing.valueOf(request.pathPart(3));
      pace.write(connection, framing, answerTo(request.header("x-request-id")));
    }
  }

  private static void readSlowly(InputStream in, RawHead head, long bytesPerSecond)
      throws Exception {
    boolean chunked = head.isChunked();
    int left = chunked ? Integer.parseInt(RawHead.readLine(in), 16) : head.contentLength();
    while (left > 0) {
      int read = in.readNBytes(Math.min(left, SLOW_READ_BYTES)).length;
      left -= read;
      Thread.sleep(1000L * SLOW_READ_BYTES / bytesPerSecond);
      if (chunked && left == 0) {
        RawHead.readLine(in);
        left = Integer.parseInt(RawHead.readLine(in), 16);
      }
    }
    if (chunked) {
      RawHead.readLine(in);
    }
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

  /** Sends a request and returns what is wrong with its answer, or null. */
  private static String faultOfAnswer(
      PlatformBalancer balancer, String requestClass, AnswerPace pace, Framing framing) {
    String id = requestClass + "-" + pace + "-" + framing;
    try (Socket socket = connect(balancer)) {
      String path = "/api/" + pace + "/" + framing;
      String end = requestClass.equals("view") ? "\r\n" : "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write((head(requestClass, path, id) + end).getBytes(US_ASCII));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      RawHead answerHead = RawHead.read(in);
      byte[] body = answerHead.readBody(in);
      boolean served = answerHead.status() == 200 && Arrays.equals(body, answerTo(id));
      return served ? null : id + ": " + answerHead.status() + ", " + body.length + " bytes";
    } catch (Exception e) {
      return id + ": " + e;
    }
  }

  /** Guards against a sound answer that is cut off because its server pauses while writing it. */
  @Test
  void longAnswersWithPausesArriveWhole() throws Exception {
    List<ScriptedServer> servers = new ArrayList<>();
    ExecutorService clients = Executors.newCachedThreadPool();
    try (PlatformFleet fleet = new PlatformFleet(95, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(ScriptedServer.start(fleet, SlowMessagesTest::answer));
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
      for (ScriptedServer server : servers) {
        server.close();
      }
    }
  }

  private static String log(PlatformFleet fleet) {
    try {
      StringBuilder logs = new StringBuilder();
      for (PlatformBalancer balancer : fleet.balancers()) {
        logs.append(Files.readString(balancer.log()));
      }
      return logs.toString();
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
            ScriptedServer.daemon(
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
        int status = RawHead.read(new BufferedInputStream(socket.getInputStream())).status();
        long answeredNanos = System.nanoTime();
        writer.join(100);
        assertTrue(status == 200 || status >= 502 && status <= 504, id + ": " + status);
        return writtenNanos[0] == Long.MAX_VALUE
            ? 0
            : (answeredNanos - writtenNanos[0]) / 1_000_000 - CLIENT_WAIT_MILLIS;
      }
    }
  }

  /** Guards against a final answer that is late because the server reads the request slowly. */
  @Test
  void longRequestsToSlowReadersAreAnsweredInTime() throws Exception {
    List<ScriptedServer> servers = new ArrayList<>();
    ExecutorService clients = Executors.newCachedThreadPool();
    try (PlatformFleet fleet = new PlatformFleet(96, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(ScriptedServer.start(fleet, SlowMessagesTest::answer));
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
      for (ScriptedServer server : servers) {
        server.close();
      }
    }
  }
}
