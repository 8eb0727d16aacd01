package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Several balancer processes whose upstreams, some milliseconds away, repeat some of their answers
 * a little later, while no other request has reached them on the connection.
 */
@Timeout(120)
class LateAnswerCopiesTest {
  private static final int BALANCERS = 6;
  private static final int UPSTREAMS = 2;
  private static final int CLIENTS = 8;
  private static final int REQUESTS = 150;

  /** No answer is repeated before; connections are reused quickly only under a steady load. */
  private static final int WARM_UP_REQUESTS = BALANCERS * CLIENTS * REQUESTS / 4;

  private static final double COPIED_SHARE = 0.03;
  private static final double REFUSED_SHARE = 0.05;
  private static final double SLOW_SHARE = 0.03;
  private static final int ONE_WAY_MILLIS = 8;
  private static final int MAX_COPY_DELAY_MILLIS = 9;
  private static final int ANSWER_TIMEOUT_MILLIS = 8000;
  private static final PlatformSettings SETTINGS = new PlatformSettings(6000, 6000, 512, false);
  private static final ServerProfile UNUSED_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));

  /** A request that got the answer to another one. */
  private record ForeignAnswer(Instant at, String balancer, String id, String answer) {}

  private final Queue<ForeignAnswer> foreign = new ConcurrentLinkedQueue<>();
  private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- upstreams ----

  private void acceptOnUpstream(ServerSocket listener, long seed) {
    Random seeds = new Random(seed);
    try {
      while (true) {
        Socket connection = listener.accept();
        connection.setTcpNoDelay(true);
        Random random = new Random(seeds.nextLong());
        daemon(() -> serveOnUpstream(connection, random));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serveOnUpstream(Socket connection, Random random) {
    try (connection) {
      InputStream in = connection.getInputStream();
      for (String id = readRequest(in); id != null; id = readRequest(in)) {
        sleep(ONE_WAY_MILLIS);
        byte[] answer = answer(id, random);
        sleep(ONE_WAY_MILLIS);
        connection.getOutputStream().write(answer);
        if (served.get() > WARM_UP_REQUESTS && random.nextDouble() < COPIED_SHARE) {
          sendCopy(connection, answer, 1 + random.nextInt(MAX_COPY_DELAY_MILLIS));
        }
      }
    } catch (IOException e) {
      // The balancer has closed the connection.
    }
  }

  /**
   * Repeats an answer. A request that the balancer sends meanwhile is still on its way: it takes
   * longer than the delay. On a machine that is too busy for the delay no copy is sent.
   */
  private void sendCopy(Socket connection, byte[] answer, int delayMillis) throws IOException {
    long written = System.nanoTime();
    sleep(delayMillis);
    if (System.nanoTime() - written <= (MAX_COPY_DELAY_MILLIS + 1) * 1_000_000L) {
      connection.getOutputStream().write(answer);
      copies.incrementAndGet();
    }
  }

  private byte[] answer(String id, Random random) {
    if (random.nextDouble() < REFUSED_SHARE) {
      return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII);
    }
    sleep(random.nextDouble() < SLOW_SHARE ? 300 + random.nextInt(900) : 1 + random.nextInt(4));
    runs.merge(id, 1, Integer::sum);
    return ("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id)
        .getBytes(US_ASCII);
  }

  /** Reads a request without a body, byte by byte, and returns its id; null at the end. */
  private static String readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      head.append((char) next);
    }
    for (String line : head.toString().split("\r\n")) {
      if (line.toLowerCase().startsWith("x-request-id:")) {
        return line.substring("x-request-id:".length()).trim();
      }
    }
    throw new IOException("a request without an id");
  }

  // ---- clients ----

  private void sendRequests(PlatformBalancer balancer, int client) {
    Random random = new Random(client);
    Socket socket = null;
    for (int i = 0; i < REQUESTS; i++) {
      String kind = random.nextBoolean() ? "view" : "publish";
      String id = kind + "-" + balancer.name() + "-" + client + "-" + i;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.connect(balancer.listen(), ANSWER_TIMEOUT_MILLIS);
          socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
          socket.setTcpNoDelay(true);
        }
        if (!exchange(socket, balancer, kind, id)) {
          socket.close();
          socket = null;
        }
      } catch (IOException e) {
        unanswered.add(id + ": " + e);
        socket = null;
      }
      sleep(random.nextInt(5));
    }
  }

  /** Sends a request and reads its answer; returns whether the connection stays open. */
  private boolean exchange(Socket socket, PlatformBalancer balancer, String kind, String id)
      throws IOException {
    boolean safe = kind.equals("view");
    String request =
        (safe ? "GET" : "POST")
            + " /api/x HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
            + id
            + "\r\nX-Class: "
            + kind
            + "\r\nX-Tenant: school\r\nX-Deadline: 6.0\r\n"
            + (safe ? "\r\n" : "Content-Length: 0\r\n\r\n");
    socket.getOutputStream().write(request.getBytes(US_ASCII));
    InputStream in = new BufferedInputStream(socket.getInputStream());
    String status = readLine(in);
    int length = 0;
    boolean keptOpen = true;
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      String lower = line.toLowerCase();
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring("content-length:".length()).trim());
      }
      keptOpen &= !lower.equals("connection: close");
    }
    String body = new String(in.readNBytes(length), US_ASCII);
    if (status.startsWith("HTTP/1.1 200")) {
      served.incrementAndGet();
      if (!body.equals(id)) {
        foreign.add(new ForeignAnswer(Instant.now(), balancer.name(), id, body));
      }
    }
    return keptOpen;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("closed without a whole answer");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  // ---- the test ----

  /** Guards against answers that go to the request after their own, from a first late copy on. */
  @Test
  void noRequestGetsTheAnswerToAnother() throws Exception {
    List<ServerSocket> listeners = new ArrayList<>();
    try (PlatformFleet fleet = new PlatformFleet(93, SETTINGS, UNUSED_SHAPE)) {
      for (int i = 0; i < UPSTREAMS; i++) {
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        listeners.add(listener);
        long seed = 930 + i;
        daemon(() -> acceptOnUpstream(listener, seed));
        fleet.addServerAt(new InetSocketAddress("127.0.0.1", listener.getLocalPort()));
      }
      fleet.startBalancers(BALANCERS);
      List<Thread> clients = new ArrayList<>();
      for (PlatformBalancer balancer : fleet.balancers()) {
        for (int i = 0; i < CLIENTS; i++) {
          int client = i;
          clients.add(daemon(() -> sendRequests(balancer, client)));
        }
      }
      for (Thread client : clients) {
        client.join();
      }
      assertTrue(copies.get() > 20, "copies of answers sent: " + copies);
      assertTrue(served.get() > BALANCERS * CLIENTS * REQUESTS / 2, "served: " + served);
      assertEquals(0, foreign.size(), () -> foreign + "\n" + surplusLines(fleet));
      assertEquals(0, unanswered.size(), unanswered::toString);
      runs.forEach(
          (id, count) -> assertTrue(count == 1 || id.startsWith("view"), id + " ran " + count));
    } finally {
      for (ServerSocket listener : listeners) {
        listener.close();
      }
    }
  }

  private static String surplusLines(PlatformFleet fleet) {
    StringBuilder lines = new StringBuilder();
    for (PlatformBalancer balancer : fleet.balancers()) {
      try {
        Files.readAllLines(balancer.log()).stream()
            .filter(line -> line.contains("unasked bytes") || line.contains("excess bytes"))
            .forEach(line -> lines.append(balancer.name()).append(' ').append(line).append('\n'));
      } catch (IOException e) {
        lines.append(balancer.name()).append(": ").append(e).append('\n');
      }
    }
    return lines.toString();
  }
}
