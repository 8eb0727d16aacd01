import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Common parts of the cases: record, HTTP messages, balancer processes, upstreams, clients. */
final class Kit {
  static final long START = System.nanoTime();
  static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffL);

  static {
    // No case runs for longer; the exit ends the balancers as well.
    run(
        "time limit",
        () -> {
          Thread.sleep(115_000);
          System.exit(2);
        });
  }

  private Kit() {}

  /** Seconds since the start of the case. */
  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static void sleepUntil(double seconds) throws InterruptedException {
    long millis = (long) ((seconds - now()) * 1000);
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
  }

  static Thread run(String name, Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The stand-in's connection has ended.
              }
            },
            name,
            256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws Exception;
  }

  /** What was sent, answered and run, one event a line. */
  static final class Record {
    private final PrintWriter out;

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String text) {
      out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    }
  }

  /** One HTTP message: first line, headers in lower case, body. */
  static final class Message {
    String first;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    double firstByteAt;
    double lastByteAt;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static String readLine(InputStream in, boolean[] any) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); ; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      any[0] = true;
      if (c == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(c);
    }
  }

  /** Reads one message; an end of the connection before its last byte is an EOFException. */
  static Message read(InputStream in, boolean request) throws IOException {
    Message message = new Message();
    boolean[] any = new boolean[1];
    in.mark(1);
    int begun = in.read();
    if (begun < 0) {
      throw new EOFException();
    }
    in.reset();
    message.firstByteAt = now();
    message.first = readLine(in, any);
    for (String line = readLine(in, any); !line.isEmpty(); line = readLine(in, any)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in, any).split(";")[0].trim(), 16);
        body.write(exactly(in, size));
        readLine(in, any);
        if (size == 0) {
          break;
        }
      }
      message.body = body.toByteArray();
    } else if (!message.header("content-length").isEmpty()) {
      message.body = exactly(in, Integer.parseInt(message.header("content-length")));
    } else if (!request) {
      message.body = in.readAllBytes();
    }
    message.lastByteAt = now();
    return message;
  }

  static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException();
    }
    return bytes;
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  static void close(AutoCloseable it) {
    try {
      it.close();
    } catch (Exception e) {
      // It is closed.
    }
  }

  static ServerSocket listen(int backlog) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), backlog);
    return server;
  }

  static int freePort() throws IOException {
    try (ServerSocket server = listen(1)) {
      return server.getLocalPort();
    }
  }

  /** One connection that an upstream has accepted. */
  static final class Exchange {
    final Socket socket;
    final OutputStream out;
    Message request;

    Exchange(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void answer(int status, String headers, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      String head =
          "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      out.write(all.toByteArray());
      out.flush();
    }
  }

  interface Behaviour {
    void handle(Upstream upstream, Exchange exchange) throws Exception;
  }

  /** Serves after some time; the body names the upstream and the request. */
  static Behaviour serves(long millis) {
    return (upstream, exchange) -> {
      Thread.sleep(millis);
      String body = upstream.id + " " + exchange.request.header("x-request-id");
      exchange.answer(200, "", body.getBytes(StandardCharsets.UTF_8));
    };
  }

  /** An upstream that begins a request when its last byte has come. */
  static final class Upstream {
    final String id;
    final ServerSocket server;
    final Record record;
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile Behaviour behaviour;
    String zone = "a";
    int cell = 0;
    String phase = "in_service";
    long upSinceMillis = 0;

    Upstream(String id, Record record, Behaviour behaviour) throws IOException {
      this.id = id;
      this.record = record;
      this.behaviour = behaviour;
      this.server = listen(1024);
      run("upstream " + id, this::accept);
    }

    int port() {
      return server.getLocalPort();
    }

    private void accept() throws IOException {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        run("connection of " + id, () -> serve(socket));
      }
    }

    private void serve(Socket socket) throws Exception {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
        Exchange exchange = new Exchange(socket);
        while (true) {
          exchange.request = read(in, true);
          record.add(
              "run "
                  + id
                  + " "
                  + exchange.request.header("x-request-id")
                  + " class "
                  + exchange.request.header("x-class")
                  + " deadline "
                  + exchange.request.header("x-deadline"));
          behaviour.handle(this, exchange);
        }
      } finally {
        open.remove(socket);
      }
    }

    /** The process dies. */
    void die() {
      close(server);
      open.forEach(Kit::reset);
    }

    String entry() {
      return String.format(
          Locale.ROOT,
          "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"%s\",\"flavor\":\"m1\","
              + "\"cell\":%d,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
          id,
          port(),
          zone,
          cell,
          phase,
          upSinceMillis);
    }
  }

  /** The settings of a small deployment in the form of the simulator's first message. */
  static String settings(String classes, String limits, String rules, boolean ask) {
    return "{\"classes\":["
        + classes
        + "],\"client_habits\":{\"marks_retry\":true},\"family\":\"chain\","
        + "\"family_info\":{\"passes_deadline\":true},"
        + "\"limits\":{\"cancelling\":true,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":800000,"
        + "\"dial_timeout_ns\":250000000,\"keepalive_ns\":5000000000,\"max_open\":40000,"
        + "\"max_retry_after_ns\":2000000000,\"max_streams\":1,\"may_tell\":false,"
        + "\"probes\":false,\"retry_after\":true"
        + limits
        + "},\"load_report\":{\"names\":[],\"source\":\"none\"},\"me\":0,\"membership_mode\":\""
        + (ask ? "subscribe" : "automatic")
        + "\",\"obligations\":{\"fall_ns\":2000000000,\"grace_to_answer_ns\":20000000,"
        + "\"must_ask_in_ns\":10000000000,\"start_capacity\":0.13,"
        + "\"stop_sending_within_ns\":2000000000,\"tip_multiple\":2.5,"
        + "\"warm_up_ns\":23000000000"
        + rules
        + "},\"over_share_worth\":0.05,\"period_ns\":5000000,\"prices\":{},"
        + "\"replicas_of_me\":1,\"shapes\":[\"m1\"],\"stages\":[\"front\"],"
        + "\"tenants\":[],\"tier\":0,\"weights\":\"none\",\"worth_by\":\"request\",\"zone\":\"a\","
        + "\"zones\":[\"a\",\"b\"]}";
  }

  static String requestClass(String name, String effect, String group, long deadlineMs, long windowMs) {
    return String.format(
        Locale.ROOT,
        "{\"aim_ns\":%d,\"group\":\"%s\",\"hard_limit_ns\":%d,\"idempotency\":\"%s\","
            + "\"importance\":1.0,\"late_worth\":0.25,\"name\":\"%s\",\"stream\":false,"
            + "\"window_ns\":%d}",
        deadlineMs * 500_000L,
        group,
        deadlineMs * 1_000_000L,
        effect,
        name,
        windowMs * 1_000_000L);
  }

  /** A balancer, started with the command of the deploy file. */
  static final class Balancer {
    final Path folder;
    final Path config;
    final Path log;
    final int port;
    final String name;
    final String settings;
    final int sockets;
    final int memory;
    Process process;

    Balancer(Path folder, String name, String settings, int sockets, int memory)
        throws IOException {
      this.folder = Files.createDirectories(folder.resolve(name));
      this.name = name;
      this.settings = settings;
      this.sockets = sockets;
      this.memory = memory;
      this.port = freePort();
      this.config = this.folder.resolve("config.json");
      this.log = this.folder.resolve("balancer.log");
    }

    void configure(int discoveryPort, String known) throws IOException {
      Path next = folder.resolve("config.next");
      Files.writeString(
          next,
          "{\"name\":\""
              + name
              + "\",\"listen\":\"127.0.0.1:"
              + port
              + "\",\"discovery\":\"127.0.0.1:"
              + discoveryPort
              + "\",\"seed\":\""
              + newId()
              + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
              + memory
              + ",\"sockets\":"
              + sockets
              + "},\"known\":"
              + known
              + ",\"settings\":"
              + settings
              + "}");
      Files.move(
          next,
          config,
          java.nio.file.StandardCopyOption.REPLACE_EXISTING,
          java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      discovery = discoveryPort;
    }

    private int discovery;

    static String deployLine(String key) throws IOException {
      for (String line : Files.readAllLines(Path.of("deploy", "balancer.toml"))) {
        if (line.startsWith(key + " = \"")) {
          return line.substring(key.length() + 4, line.lastIndexOf('"'));
        }
      }
      throw new IOException("no line " + key);
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
      Map<String, String> env = builder.environment();
      env.put("EDGE_NAME", name);
      env.put("EDGE_LISTEN", "127.0.0.1:" + port);
      env.put("EDGE_DISCOVERY", "127.0.0.1:" + discovery);
      env.put("EDGE_CONFIG", config.toAbsolutePath().toString());
      env.put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toAbsolutePath().toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until GET /up answers 200; false after 30 s. */
    boolean awaitReady() throws InterruptedException {
      double end = now() + 30;
      while (now() < end && process.isAlive()) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
          socket.setSoTimeout(2000);
          socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n".getBytes());
          if (read(new BufferedInputStream(socket.getInputStream()), false).status() == 200) {
            return true;
          }
        } catch (IOException e) {
          // Not yet.
        }
        Thread.sleep(50);
      }
      return false;
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }
  }

  /** One request as a client sends it. */
  static String request(
      String method, String id, String requestClass, double deadline, String more, int bodyBytes) {
    return method
        + " /api/k"
        + id
        + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: "
        + requestClass
        + "\r\nX-Deadline: "
        + String.format(Locale.ROOT, "%.3f", deadline)
        + "\r\n"
        + more
        + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n")
        + "\r\n";
  }

  /** A client's connection: one request at a time, kept alive, opened anew when it has ended. */
  static final class Client {
    final int port;
    Socket socket;
    InputStream in;

    /** When the last byte of the newest request was written. */
    double lastSentAt;

    Client(int port) {
      this.port = port;
    }

    /** Sends a request and returns its answer; null if the connection ended with none. */
    Message call(String head, byte[] body, double seconds) throws IOException {
      boolean fresh = socket == null;
      try {
        return exchange(head, body, seconds);
      } catch (java.net.SocketTimeoutException e) {
        disconnect();
        throw e;
      } catch (IOException e) {
        disconnect();
        if (fresh) {
          return null;
        }
      }
      try {
        return exchange(head, body, seconds); // Once more on a new connection.
      } catch (java.net.SocketTimeoutException e) {
        disconnect();
        throw e;
      } catch (IOException e) {
        disconnect();
        return null;
      }
    }

    private Message exchange(String head, byte[] body, double seconds) throws IOException {
      if (socket == null) {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
      }
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      socket.setSoTimeout(Math.max(1, (int) (seconds * 1000)));
      socket.getOutputStream().write(all.toByteArray());
      lastSentAt = now();
      Message answer = read(in, false);
      if (answer.header("connection").equalsIgnoreCase("close")) {
        disconnect();
      }
      return answer;
    }

    void disconnect() {
      if (socket != null) {
        close(socket);
        socket = null;
      }
    }
  }

  static List<String> entries(List<Upstream> upstreams) {
    List<String> entries = new ArrayList<>();
    upstreams.forEach(each -> entries.add(each.entry()));
    return entries;
  }

  static String list(long revision, boolean complete, List<String> entries) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", entries)
        + "]}";
  }
}
