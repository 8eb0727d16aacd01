import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A connection to an upstream comes up late. A keyed request may be sent again only within the
 * time for which the upstreams drop its repeats.
 */
final class LateRepeat {
  static final double WINDOW = 0.7;

  /** The balancer may be held up for 0.15 s, and each time limit is 50 ms longer. */
  static final double SLACK = 0.15 + 0.05;

  private static final Map<String, Double> FIRST_RUN = new HashMap<>();
  private static volatile String lastUpstream = "";
  private static int twice;

  private LateRepeat() {}

  /** Notes that a request has come whole. */
  private static synchronized void ran(Kit.Record record, String upstream, String id) {
    lastUpstream = upstream;
    Double first = FIRST_RUN.putIfAbsent(id, Kit.now());
    if (first == null) {
      record.add("run " + upstream + " " + id);
      return;
    }
    double later = Kit.now() - first;
    record.add(
        String.format(Locale.ROOT, "run %s %s AGAIN, %.3f s after the first", upstream, id, later));
    twice += later > WINDOW + SLACK ? 1 : 0;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery discovery = new Discovery(record);
    Kit.Upstream steady =
        new Kit.Upstream(
            "s-1",
            record,
            (upstream, exchange) -> {
              String id = exchange.request.header("x-request-id");
              ran(record, upstream.id, id);
              Thread.sleep(id.startsWith("slow") ? 1300 : 5);
              exchange.answer(200, "", ("saved " + id).getBytes());
            });
    // Its queue of new connections holds two: while it accepts none, a third one comes up late.
    LateUpstream late = new LateUpstream(record);
    discovery.putQuietly(List.of(steady));
    String known =
        Kit.list(
            41,
            true,
            List.of(
                steady.entry(), steady.entry().replace("s-1", "s-2").replace(
                    ":" + steady.port() + "\"", ":" + late.server.getLocalPort() + "\"")));
    discovery.whole = known;
    String settings =
        Kit.settings(
                Kit.requestClass("save-draft", "idempotency_key", "all", 6000, (long) (WINDOW * 1000)),
                ",\"may_duplicate\":true,\"most_tries\":4",
                "",
                true)
            .replace("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":1500000000");
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, 256, 192);
    balancer.configure(discovery.port(), known);
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    Kit.Client client = new Kit.Client(balancer.port);
    int answered = 0;
    for (int round = 0; round < 5; round++) {
      // The next request goes to the upstream that was used longest ago.
      for (int i = 0; i < 30 || !lastUpstream.equals("s-1"); i++) {
        answered += send(record, client, "quick" + Kit.newId());
        Thread.sleep(10);
      }
      List<Socket> fillers = new ArrayList<>();
      if (trouble) {
        late.accepts = false;
        Thread.sleep(100);
        for (int i = 0; i < 2; i++) {
          Socket filler = new Socket();
          filler.connect(new InetSocketAddress("127.0.0.1", late.server.getLocalPort()), 500);
          fillers.add(filler);
        }
        record.add("s-2 takes no new connection for 0.7 s");
        Kit.run(
            "s-2 accepts again",
            () -> {
              Thread.sleep(700);
              late.accepts = true;
              fillers.forEach(Kit::close);
            });
      }
      answered += send(record, client, "slow" + Kit.newId());
      Thread.sleep(600);
    }
    record.add("requests answered " + answered + ", run again after the window " + twice);
    System.exit(twice > 0 ? 1 : answered > 100 ? 0 : 2);
  }

  private static int send(Kit.Record record, Kit.Client client, String id) throws IOException {
    String key = "Idempotency-Key: key-" + id + "\r\n";
    record.add("sent " + id);
    Kit.Message answer =
        client.call(Kit.request("POST", id, "save-draft", 6, key, 5), "draft".getBytes(), 7);
    record.add("answered " + id + " " + (answer == null ? "none" : answer.first));
    return answer != null && answer.status() == 200 ? 1 : 0;
  }

  /** Serves each request on a connection of its own. */
  private static final class LateUpstream {
    final ServerSocket server = Kit.listen(1);
    volatile boolean accepts = true;
    private final Kit.Record record;

    LateUpstream(Kit.Record record) throws IOException {
      this.record = record;
      server.setSoTimeout(20);
      Kit.run("s-2", this::accept);
    }

    private void accept() throws Exception {
      while (true) {
        if (!accepts) {
          Thread.sleep(5);
          continue;
        }
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          Kit.run("connection of s-2", () -> serve(socket));
        } catch (SocketTimeoutException e) {
          // None has come.
        }
      }
    }

    private void serve(Socket socket) throws Exception {
      try (socket) {
        Kit.Exchange exchange = new Kit.Exchange(socket);
        exchange.request = Kit.read(new BufferedInputStream(socket.getInputStream()), true);
        String id = exchange.request.header("x-request-id");
        ran(record, "s-2", id);
        Thread.sleep(5);
        exchange.answer(200, "Connection: close\r\n", ("saved " + id).getBytes());
      }
    }
  }
}
