import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Discovery as one service for all balancers: it works through calls in turn, so many a second; a
 * call that has waited for 3 s ends with 503. Watches get each change and an empty line every 2 s.
 */
final class Discovery {
  static final long CALL_TIMEOUT_NANOS = 3_000_000_000L;

  private static final class Call {
    final Socket socket;
    final String path;
    final String caller;
    final long arrived = System.nanoTime();
    boolean ended;

    Call(Socket socket, String path, String caller) {
      this.socket = socket;
      this.path = path;
      this.caller = caller;
    }
  }

  final ServerSocket server = Kit.listen(1024);
  final Kit.Record record;
  private final Map<String, String> members = new LinkedHashMap<>();
  private final Map<String, Long> changed = new LinkedHashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final LinkedBlockingQueue<Call> queue = new LinkedBlockingQueue<>();
  private long revision = 41;

  /** Calls answered a second. */
  volatile double capacity = 1000;

  /** When a list was last written to the balancer under test, and whether it has a watch. */
  volatile double toldAt = -1;

  /** While discovery is down, its agent on the balancer's machine accepts and is silent. */
  volatile boolean silent;

  volatile int answeredOthers;
  volatile int rejectedOthers;

  Discovery(Kit.Record record) throws IOException {
    this.record = record;
    Kit.run("discovery", this::accept);
    Kit.run("discovery's queue", this::work);
    Kit.run("discovery's heartbeat", this::beat);
  }

  int port() {
    return server.getLocalPort();
  }

  private static final class Watch {
    final Socket socket;
    final OutputStream out;
    final String caller;

    Watch(Socket socket, OutputStream out, String caller) {
      this.socket = socket;
      this.out = out;
      this.caller = caller;
    }
  }

  synchronized void put(Kit.Upstream upstream) {
    members.put(upstream.id, upstream.entry());
    changed.put(upstream.id, ++revision);
    String line = Kit.list(revision, false, List.of(upstream.entry()));
    record.add("discovery has: " + upstream.id + " " + upstream.phase);
    for (Watch watch : new ArrayList<>(watches)) {
      if (write(watch, line) && watch.caller.isEmpty()) {
        toldAt = Kit.now();
        record.add("discovery told the balancer: " + upstream.id + " " + upstream.phase);
      }
    }
  }

  synchronized void putQuietly(List<Kit.Upstream> upstreams) {
    upstreams.forEach(each -> members.put(each.id, each.entry()));
  }

  /** The whole list in place of that of the members, or null. */
  volatile String whole;

  synchronized String whole() {
    return whole != null ? whole : Kit.list(revision, true, new ArrayList<>(members.values()));
  }

  /** Ends all watches with a reset. */
  synchronized void resetWatches() {
    record.add("discovery resets " + watches.size() + " watches");
    watches.forEach(watch -> Kit.reset(watch.socket));
    watches.clear();
  }

  private boolean write(Watch watch, String line) {
    try {
      byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
      watch.out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
      watch.out.write(bytes);
      watch.out.write("\r\n".getBytes());
      watch.out.flush();
      return true;
    } catch (IOException e) {
      watches.remove(watch);
      Kit.close(watch.socket);
      return false;
    }
  }

  private void beat() throws InterruptedException {
    while (true) {
      Thread.sleep(2000);
      synchronized (this) {
        if (silent) {
          continue;
        }
        new ArrayList<>(watches).forEach(watch -> write(watch, ""));
      }
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      Kit.run("call", () -> receive(socket));
    }
  }

  private void receive(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    Kit.Message request = Kit.read(in, true);
    Call call = new Call(socket, request.first.split(" ")[1], request.header("x-caller"));
    if (call.caller.isEmpty()) {
      record.add("the balancer calls discovery: " + call.path);
    }
    while (silent) {
      Thread.sleep(5);
    }
    queue.add(call);
    Thread.sleep(CALL_TIMEOUT_NANOS / 1_000_000);
    synchronized (call) {
      if (!call.ended) {
        call.ended = true;
        socket
            .getOutputStream()
            .write("HTTP/1.1 503 busy\r\nContent-Length: 0\r\n\r\n".getBytes());
        if (call.caller.isEmpty()) {
          record.add("discovery answers the balancer 503: it has waited for 3 s");
        } else {
          rejectedOthers++;
        }
      }
    }
  }

  private void work() throws InterruptedException {
    while (true) {
      Call call = queue.take();
      synchronized (call) {
        if (call.ended) {
          continue;
        }
      }
      Thread.sleep((long) (1000 / capacity));
      synchronized (call) {
        if (!call.ended) {
          call.ended = true;
          try {
            answer(call);
          } catch (IOException e) {
            Kit.close(call.socket);
          }
        }
      }
    }
  }

  private synchronized void answer(Call call) throws IOException {
    OutputStream out = call.socket.getOutputStream();
    if (!call.path.contains("stream=1")) {
      byte[] body = whole().getBytes(StandardCharsets.UTF_8);
      out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
      out.write(body);
    } else {
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      Watch watch = new Watch(call.socket, out, call.caller);
      watches.add(watch);
      write(watch, first(call.path));
    }
    if (call.caller.isEmpty()) {
      toldAt = Kit.now();
      record.add("discovery answers the balancer");
    } else {
      answeredOthers++;
    }
  }

  /** What changed after the revision that the call names, or the whole list. */
  private String first(String path) {
    int at = path.indexOf("index=");
    if (at < 0) {
      return whole();
    }
    long since = Long.parseLong(path.substring(at + 6));
    List<String> entries = new ArrayList<>();
    changed.forEach(
        (id, when) -> {
          if (when > since) {
            entries.add(members.get(id));
          }
        });
    return Kit.list(revision, false, entries);
  }

  /** Another balancer: calls for a watch within 1.5 s, again after failures, and keeps it. */
  void otherBalancer(String name) {
    Kit.run(
        name,
        () -> {
          java.util.Random random = new java.util.Random(name.hashCode());
          Thread.sleep(500 + random.nextInt(1000));
          while (true) {
            try (Socket socket = new Socket("127.0.0.1", port())) {
              socket
                  .getOutputStream()
                  .write(
                      ("GET /discovery/hosts?stream=1 HTTP/1.1\r\nHost: d\r\nX-Caller: "
                              + name
                              + "\r\n\r\n")
                          .getBytes());
              InputStream in = socket.getInputStream();
              byte[] bytes = new byte[16];
              int read = in.readNBytes(bytes, 0, 12);
              if (read == 12 && new String(bytes, 9, 3).equals("200")) {
                while (in.read() >= 0) {
                  // It keeps its watch.
                }
              }
            } catch (IOException e) {
              // Again.
            }
            Thread.sleep(350 + random.nextInt(700));
          }
        });
  }
}
