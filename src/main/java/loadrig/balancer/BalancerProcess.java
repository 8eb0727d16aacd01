package loadrig.balancer;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import maplehall.admin.AdminServer;

/** A balancer in a process of its own, started from a configuration file and asked over HTTP. */
public final class BalancerProcess implements AutoCloseable {
  private static final long START_MILLIS = 60_000;
  private static final int ASK_MILLIS = 10_000;

  private final Process process;
  private final Path log;
  private final InetSocketAddress listen;
  private final InetSocketAddress admin;

  private BalancerProcess(
      Process process, Path log, InetSocketAddress listen, InetSocketAddress admin) {
    this.process = process;
    this.log = log;
    this.listen = listen;
    this.admin = admin;
  }

  /** A loopback address with a port that nobody uses just now. */
  public static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  /** Starts a balancer and returns when its admin listener answers. */
  public static BalancerProcess start(
      Path config, Path log, InetSocketAddress listen, InetSocketAddress admin, List<String> flags)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add("maplehall.Main");
    command.add("serve");
    command.add("--config");
    command.add(config.toString());
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    BalancerProcess balancer = new BalancerProcess(process, log, listen, admin);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
    while (true) {
      try {
        balancer.get("status");
        return balancer;
      } catch (IOException e) {
        if (!process.isAlive() || System.nanoTime() > until) {
          process.destroyForcibly();
          throw new IOException("the balancer did not start:\n" + Files.readString(log));
        }
        Thread.sleep(20);
      }
    }
  }

  public InetSocketAddress listen() {
    return listen;
  }

  /** A page of the admin listener. */
  public Map<String, Object> get(String page) throws IOException {
    return read(connection(page));
  }

  /** Has the admin listener change something. */
  public Map<String, Object> post(String page) throws IOException {
    HttpURLConnection connection = connection(page);
    connection.setRequestMethod("POST");
    connection.setRequestProperty(AdminServer.INTENT, "rig");
    connection.setDoOutput(true);
    connection.getOutputStream().close();
    return read(connection);
  }

  private HttpURLConnection connection(String page) throws IOException {
    String host = admin.getAddress().getHostAddress();
    URL url = new URL("http", host, admin.getPort(), "/" + page);
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    connection.setConnectTimeout(ASK_MILLIS);
    connection.setReadTimeout(ASK_MILLIS);
    return connection;
  }

  private static Map<String, Object> read(HttpURLConnection connection) throws IOException {
    try (InputStream in = connection.getInputStream()) {
      return JSON.std.mapFrom(in); // Read to its end, so that the connection is kept.
    }
  }

  public boolean alive() {
    return process.isAlive();
  }

  public Path log() {
    return log;
  }

  /** Has its JVM collect all garbage, so that the heap after it is what is in use. */
  public void collect() throws IOException, InterruptedException {
    String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process asked =
        new ProcessBuilder(jcmd, Long.toString(process.pid()), "GC.run")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    if (!asked.waitFor(START_MILLIS, TimeUnit.MILLISECONDS) || asked.exitValue() != 0) {
      throw new IOException("the balancer's JVM could not be asked to collect");
    }
  }

  /** Sends it a signal by its name, such as STOP or CONT. */
  public void signal(String name) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    if (kill.waitFor() != 0) {
      throw new IOException("no signal " + name + " to process " + process.pid());
    }
  }

  /** Ends it without its drain. */
  public void kill() {
    process.destroyForcibly();
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(15, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
