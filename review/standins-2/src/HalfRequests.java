import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Hundreds of bad clients send half a request and stay; usual clients go on beside them. */
final class HalfRequests {
  static final int BAD_CLIENTS = 300;
  static final int SOCKETS = 256;
  static final double DEADLINE = 1.5;
  static final double SLACK = 0.5 + 0.05;

  private HalfRequests() {}

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery discovery = new Discovery(record);
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, Kit.serves(40)));
    }
    discovery.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("view", "read_like", "all", 1500, 5000)
                + ","
                + Kit.requestClass("publish", "non_idempotent", "all", 1500, 5000),
            ",\"may_duplicate\":true,\"most_tries\":4",
            "",
            true);
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, SOCKETS, 192);
    balancer.configure(discovery.port(), discovery.whole());
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    double end = Kit.now() + 12;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      int number = i;
      clients.add(
          Kit.run("client " + i, () -> usual(balancer, record, number, end, answered, lost)));
    }
    Thread.sleep(3000);
    AtomicInteger errors = new AtomicInteger();
    for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
      Kit.run(
          "bad client " + i,
          () -> {
            double from = Kit.now();
            try (Socket socket = new Socket("127.0.0.1", balancer.port)) {
              socket.getOutputStream().write("GET /api/k1 HTTP/1.1\r\nX-Requ".getBytes());
              socket.getInputStream().read(); // Its error, or the close.
              errors.incrementAndGet();
              record.add(
                  String.format(
                      Locale.ROOT, "bad client: error or close after %.3f s", Kit.now() - from));
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
            + "; bad clients with an error or a close "
            + errors);
    boolean ran = balancer.process.isAlive() && answered.get() >= 100;
    System.exit(lost.get() > 0 ? 1 : ran ? 0 : 2);
  }

  /** A usual client: one request at a time on a connection that it keeps. */
  private static void usual(
      Kit.Balancer balancer,
      Kit.Record record,
      int number,
      double end,
      AtomicInteger answered,
      AtomicInteger lost)
      throws Exception {
    Kit.Client client = new Kit.Client(balancer.port);
    while (Kit.now() < end) {
      String id = Kit.newId();
      boolean unsafe = number % 4 == 0;
      String head =
          Kit.request(
              unsafe ? "POST" : "GET", id, unsafe ? "publish" : "view", DEADLINE, "", 0);
      record.add("sent " + id);
      double sent = Kit.now();
      try {
        Kit.Message answer = client.call(head, new byte[0], DEADLINE + 2 * SLACK);
        double took = Kit.now() - Math.max(sent, client.lastSentAt);
        if (answer == null) {
          record.add("connection of " + id + " closed with no answer"); // Unread: not counted.
        } else if (took > DEADLINE + SLACK) {
          lost.incrementAndGet();
          record.add(String.format(Locale.ROOT, "LOST: %s answered after %.3f s", id, took));
        } else {
          answered.incrementAndGet();
          record.add("answered " + id + " " + answer.first);
        }
      } catch (SocketTimeoutException e) {
        lost.incrementAndGet();
        record.add(
            String.format(
                Locale.ROOT,
                "LOST: %s has no answer after %.3f s on a connection that is open",
                id,
                Kit.now() - client.lastSentAt));
      }
      Thread.sleep(100);
    }
  }
}
