import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send bodies in tiny chunks; usual clients send theirs in chunks of 400 bytes. */
final class SmallChunks {
  static final int BAD_CLIENTS = 120;
  static final double DEADLINE = 1.5;
  static final double LATE = 0.5 + 0.05;
  static final double TOLD_SLACK = 0.15 + 0.05;

  private SmallChunks() {}

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery discovery = new Discovery(record);
    Map<String, Double> sentAt = new ConcurrentHashMap<>();
    AtomicInteger toldTooMuch = new AtomicInteger();
    Kit.Behaviour behaviour =
        (upstream, exchange) -> {
          Kit.Message request = exchange.request;
          String id = request.header("x-request-id");
          Thread.sleep(1100);
          Double sent = sentAt.get(id);
          double told = Double.parseDouble(request.header("x-deadline"));
          if (sent != null && told > DEADLINE - (request.firstByteAt - sent) + TOLD_SLACK) {
            toldTooMuch.incrementAndGet();
            record.add(
                String.format(
                    Locale.ROOT,
                    "TOLD TOO MUCH: %s says %.3f s, its client waits %.3f s more",
                    id,
                    told,
                    DEADLINE - (request.firstByteAt - sent)));
          }
          exchange.answer(200, "", ("done " + id).getBytes());
        };
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, behaviour));
    }
    discovery.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("publish", "non_idempotent", "all", 1500, 5000),
            ",\"may_duplicate\":true,\"most_tries\":4",
            "",
            true);
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, 512, 192);
    balancer.configure(discovery.port(), discovery.whole());
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    double end = Kit.now() + 25;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      clients.add(
          Kit.run(
              "client " + i,
              () -> {
                while (Kit.now() < end) {
                  usual(balancer.port, record, sentAt, answered, lost);
                  Thread.sleep(150);
                }
              }));
    }
    Thread.sleep(4000);
    AtomicInteger turnedAway = new AtomicInteger();
    for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
      Kit.run(
          "bad client " + i,
          () -> {
            while (Kit.now() < end) {
              bad(balancer.port);
              turnedAway.incrementAndGet();
            }
          });
    }
    for (Thread client : clients) {
      client.join();
    }
    record.add(
        "usual requests answered in time "
            + answered
            + ", lost "
            + lost
            + ", told too much time "
            + toldTooMuch
            + "; bad clients turned away "
            + turnedAway);
    boolean ran = balancer.process.isAlive() && answered.get() + lost.get() >= 20;
    System.exit(lost.get() + toldTooMuch.get() > 0 ? 1 : ran ? 0 : 2);
  }

  private static String head(String id) {
    return "POST /api/k"
        + id
        + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: publish\r\nX-Deadline: "
        + DEADLINE
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  /** Sends a body of 60,000 bytes at once, and waits for the answer on the open connection. */
  private static void usual(
      int port,
      Kit.Record record,
      Map<String, Double> sentAt,
      AtomicInteger answered,
      AtomicInteger lost)
      throws IOException {
    String id = Kit.newId();
    String chunk = "190\r\n" + "b".repeat(400) + "\r\n";
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) ((DEADLINE + 2 * LATE) * 1000));
      socket.getOutputStream().write((head(id) + chunk.repeat(150) + "0\r\n\r\n").getBytes());
      double sent = Kit.now();
      sentAt.put(id, sent);
      record.add("sent " + id);
      try {
        Kit.Message answer = Kit.read(new BufferedInputStream(socket.getInputStream()), false);
        double took = Kit.now() - sent;
        if (took > DEADLINE + LATE) {
          lost.incrementAndGet();
          record.add(
              String.format(
                  Locale.ROOT, "LOST: %s answered %s after %.3f s", id, answer.first, took));
        } else {
          answered.incrementAndGet();
          record.add(String.format(Locale.ROOT, "answered %s %s %.3f s", id, answer.first, took));
        }
      } catch (SocketTimeoutException e) {
        lost.incrementAndGet();
        record.add("LOST: " + id + " has no answer, its connection is open");
      } catch (IOException e) {
        lost.incrementAndGet();
        record.add("LOST: connection of " + id + " ended with no answer");
      }
    }
  }

  /** A body of 60 MB in chunks of one byte, at full speed, until it is turned away. */
  private static void bad(int port) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      Kit.run(
          "what a bad client is sent",
          () -> {
            try (socket) {
              while (socket.getInputStream().read() >= 0) {
                // It reads its error, and goes when the balancer has ended the connection.
              }
            }
          });
      byte[] chunks = "1\r\nb\r\n".repeat(10000).getBytes();
      socket.getOutputStream().write(head(Kit.newId()).getBytes());
      for (int i = 0; i < 1000; i++) {
        socket.getOutputStream().write(chunks);
      }
    } catch (IOException e) {
      // It is turned away, and comes again.
    }
  }
}
