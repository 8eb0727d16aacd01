import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A connection to an upstream comes up late. A keyed request may be sent again only within the
 * window in which the upstreams drop its repeats.
 */
final class LateConnection {
  private static final long WINDOW_MILLIS = 400;
  private static final long SLACK_MILLIS = 50;
  private static final long DIAL_TIMEOUT_MILLIS = 1500;
  private static final String KEYED = "last";

  /** The key of each request that has come whole, and when. */
  private record Run(String server, String id, long nanos) {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.play(folder.resolve("record.txt"), record -> play(root, folder, record));
  }

  private static boolean play(Path root, Path folder, Kit.Record record) throws Exception {
    List<Run> runs = new ArrayList<>();
    String[] lastServer = new String[1];
    Kit.Upstream steady =
        new Kit.Upstream(
            "s-steady",
            (self, connection, request) -> {
              String id = request.header("X-Request-Id");
              run(record, runs, lastServer, self.name, id);
              Kit.sleep(id.equals(KEYED) ? 1500 : 5);
              connection.getOutputStream().write(Kit.answer(200, "", Kit.bytes("answer to " + id)));
            });
    // Takes connections from a short queue, so that a full queue makes a connection late.
    ServerSocket listener = new ServerSocket(0, 1, Kit.loopback());
    Object gate = new Object();
    boolean[] shut = new boolean[1];
    Kit.daemon(
        () -> {
          while (true) {
            try {
              synchronized (gate) {
                while (shut[0]) {
                  gate.wait();
                }
              }
              listener.setSoTimeout(20);
              Socket connection;
              try {
                connection = listener.accept();
              } catch (java.net.SocketTimeoutException e) {
                continue;
              }
              connection.setTcpNoDelay(true);
              Kit.daemon(
                  () -> {
                    try (connection) {
                      Kit.Message request =
                          Kit.read(new BufferedInputStream(connection.getInputStream()));
                      if (request == null) {
                        return;
                      }
                      String id = request.header("X-Request-Id");
                      run(record, runs, lastServer, "s-late", id);
                      Kit.sleep(5);
                      connection
                          .getOutputStream()
                          .write(
                              Kit.answer(
                                  200, "Connection: close\r\n", Kit.bytes("answer to " + id)));
                    } catch (IOException e) {
                      // The balancer has left.
                    }
                  });
            } catch (IOException | InterruptedException e) {
              return;
            }
          }
        });
    String list =
        Kit.list(
            1,
            List.of(
                Kit.entry("s-steady", steady.port()),
                Kit.entry("s-late", listener.getLocalPort())));
    Kit.Balancer balancer =
        Kit.Balancer.start(
            root,
            folder.resolve("balancer.log"),
            new Kit.Discovery(list),
            list,
            128,
            256,
            Kit.settings(
                Kit.requestClass("save-draft", "idempotency_key", 2500, 6000, WINDOW_MILLIS),
                DIAL_TIMEOUT_MILLIS,
                0));
    record.add("balancer ready: window " + WINDOW_MILLIS + " ms, dial timeout " + DIAL_TIMEOUT_MILLIS);
    try (Kit.Client client = new Kit.Client(balancer.port)) {
      for (int i = 0; i < 60 || !"s-steady".equals(lastServer[0]); i++) {
        if (i > 200) {
          throw new IOException("s-steady gets nothing");
        }
        send(record, client, "first-" + i);
        Kit.sleep(10);
      }
      List<Socket> fillers = new ArrayList<>();
      if (Kit.trouble()) {
        synchronized (gate) {
          shut[0] = true;
        }
        Kit.sleep(100);
        for (int i = 0; i < 2; i++) {
          Socket filler = new Socket();
          filler.connect(new InetSocketAddress(Kit.loopback(), listener.getLocalPort()), 500);
          fillers.add(filler);
        }
        record.add("s-late takes no connection for 700 ms");
        Kit.daemon(
            () -> {
              Kit.sleep(700);
              synchronized (gate) {
                shut[0] = false;
                gate.notifyAll();
              }
              for (Socket filler : fillers) {
                try {
                  filler.close();
                } catch (IOException e) {
                  // Closed.
                }
              }
              record.add("s-late takes connections again");
            });
      }
      send(record, client, KEYED);
      Kit.sleep(500);
    }
    Map<String, Long> first = new ConcurrentHashMap<>();
    boolean held = true;
    synchronized (runs) {
      for (Run run : runs) {
        Long earlier = first.putIfAbsent(run.id, run.nanos);
        if (earlier != null) {
          long later = (run.nanos - earlier) / 1_000_000;
          record.add(run.id + " came whole again at " + run.server + " after " + later + " ms");
          held &= later <= WINDOW_MILLIS + SLACK_MILLIS;
        }
      }
    }
    return held;
  }

  private static void run(
      Kit.Record record, List<Run> runs, String[] lastServer, String server, String id) {
    synchronized (runs) {
      runs.add(new Run(server, id, System.nanoTime()));
      lastServer[0] = server;
    }
    record.add(server + " ran " + id);
  }

  private static void send(Kit.Record record, Kit.Client client, String id) throws IOException {
    client.send(
        "POST",
        "/api/draft",
        id,
        "save-draft",
        "X-Deadline: 6.000\r\nIdempotency-Key: key-of-" + id + "\r\n",
        Kit.bytes("draft"));
    record.add(id + " sent");
    Kit.Message answer = client.answer(6600);
    record.add(id + " got " + (answer == null ? "nothing" : answer.first));
  }
}
