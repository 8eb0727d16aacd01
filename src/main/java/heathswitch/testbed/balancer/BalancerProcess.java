package heathswitch.testbed.balancer;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.admin.AdminServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
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
import java.util.concurrent.atomic.AtomicInteger;

/** A balancer in a process of its own, started from a configuration file and asked over HTTP. */
public final class BalancerProcess implements AutoCloseable {
  private static final long START_MILLIS = 60_000;
  private static final int ASK_MILLIS = 10_000;

  /** Below those that the system gives to connections by itself. */
  private static final int FIRST_PORT = 20_000;

  private static final int PORTS = 12_000;

  /** A number for each of two rigs side by side, or a port of one that is dead might be taken. */
  private static final int BESIDE = Integer.getInteger("heathswitch.testbed.beside", 0);

  /** Begins anywhere, so that rigs that know nothing of each other seldom meet. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORTS) + BESIDE * (PORTS / 2));

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

  /**
   * A loopback address with a port that nobody uses just now. It is not one of those that the
   * system gives to connections, so that none of them takes it before the balancer listens, or
   * while it is being started again.
   */
  public static InetSocketAddress freeAddress() throws IOException {
    for (int tries = 0; tries < PORTS; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
      } catch (BindException e) {
        // Somebody listens there; the next one may be free.
      }
    }
    throw new IOException("no port is free");
  }

  /** Starts a balancer and returns when its admin listener answers. */
  public static BalancerProcess start(
      Path config, Path log, InetSocketAddress listen, InetSocketAddress admin, List<String> flags)
      throws IOException, InterruptedException {
    return start(config, log, listen, admin, flags, System.getProperty("java.class.path"));
  }

  /** Likewise of another build of the program. */
  public static BalancerProcess start(
      Path config,
      Path log,
      InetSocketAddress listen,
      InetSocketAddress admin,
      List<String> flags,
      String classPath)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.add("-cp");
    command.add(classPath);
    command.add("heathswitch.proxy.Main");
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
    connection.setRequestProperty(AdminServer.INTENT_HEADER, "rig");
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

  /** The answer; a refusal is an error that says its status and its reason. */
  private static Map<String, Object> read(HttpURLConnection connection) throws IOException {
    int status = connection.getResponseCode();
    if (status >= 400) {
      try (InputStream in = connection.getErrorStream()) {
        throw new IOException(
            status + ": " + (in == null ? "" : JSON.std.mapFrom(in).get("error")));
      }
    }
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
    tell("kill", "-" + name, Long.toString(process.pid()));
  }

  /** Its files can't grow beyond so many bytes from now on. */
  public void limitFiles(long bytes) throws IOException, InterruptedException {
    tell("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + bytes + ':');
  }

  private void tell(String... command) throws IOException, InterruptedException {
    if (new ProcessBuilder(command).start().waitFor() != 0) {
      throw new IOException(String.join(" ", command) + " failed");
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
