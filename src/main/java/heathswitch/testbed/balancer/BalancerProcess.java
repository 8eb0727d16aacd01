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

/** Handle of a balancer in a separate process, with access to its admin pages over HTTP. */
public final class BalancerProcess implements AutoCloseable {
  private static final long START_TIMEOUT_MILLIS = 60_000;
  private static final int REQUEST_TIMEOUT_MILLIS = 10_000;

  /** Start of the port range used, below the ephemeral ports of the operating system. */
  private static final int FIRST_PORT = 20_000;

  private static final int PORT_COUNT = 12_000;

  /**
   * Distinguishes two test beds that run side by side. Without it one could take the port of a
   * process of the other that has just exited.
   */
  private static final int TESTBED_INDEX = Integer.getInteger("heathswitch.testbed.beside", 0);

  /**
   * Starts at an offset that depends on the process, so that independent test beds rarely collide.
   */
  private static final AtomicInteger NEXT_PORT_OFFSET =
      new AtomicInteger(
          (int) (ProcessHandle.current().pid() * 97 % PORT_COUNT)
              + TESTBED_INDEX * (PORT_COUNT / 2));

  private final Process process;
  private final Path logFile;
  private final InetSocketAddress listen;
  private final InetSocketAddress admin;

  private BalancerProcess(
      Process process, Path logFile, InetSocketAddress listen, InetSocketAddress admin) {
    this.process = process;
    this.logFile = logFile;
    this.listen = listen;
    this.admin = admin;
  }

  /**
   * Returns a loopback address with a port that is currently free. The port is outside the
   * ephemeral range, so that no outgoing connection takes it before the balancer listens or while
   * it restarts.
   */
  public static InetSocketAddress freeAddress() throws IOException {
    for (int tries = 0; tries < PORT_COUNT; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT_OFFSET.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
      } catch (BindException e) {
        // This port is in use; try the next one.
      }
    }
    throw new IOException("no free port found");
  }

  /** Starts a balancer from the current class path and returns when its admin listener answers. */
  public static BalancerProcess start(
      Path config,
      Path logFile,
      InetSocketAddress listen,
      InetSocketAddress admin,
      List<String> flags)
      throws IOException, InterruptedException {
    return start(config, logFile, listen, admin, flags, System.getProperty("java.class.path"));
  }

  /** Starts a balancer from the given class path and returns when its admin listener answers. */
  public static BalancerProcess start(
      Path config,
      Path logFile,
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
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile())
            .start();
    BalancerProcess balancer = new BalancerProcess(process, logFile, listen, admin);
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    while (true) {
      try {
        balancer.get("status");
        return balancer;
      } catch (IOException e) {
        if (!process.isAlive() || System.nanoTime() > deadline) {
          process.destroyForcibly();
          throw new IOException("the balancer did not start:\n" + Files.readString(logFile));
        }
        Thread.sleep(20);
      }
    }
  }

  public InetSocketAddress listen() {
    return listen;
  }

  /** Gets a page of the admin listener. */
  public Map<String, Object> get(String page) throws IOException {
    return readResponse(openConnection(page));
  }

  /** Sends a POST request to the admin listener. */
  public Map<String, Object> post(String page) throws IOException {
    HttpURLConnection connection = openConnection(page);
    connection.setRequestMethod("POST");
    connection.setRequestProperty(AdminServer.INTENT_HEADER, "rig");
    connection.setDoOutput(true);
    connection.getOutputStream().close();
    return readResponse(connection);
  }

  private HttpURLConnection openConnection(String page) throws IOException {
    String host = admin.getAddress().getHostAddress();
    URL url = new URL("http", host, admin.getPort(), "/" + page);
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    connection.setConnectTimeout(REQUEST_TIMEOUT_MILLIS);
    connection.setReadTimeout(REQUEST_TIMEOUT_MILLIS);
    return connection;
  }

  /**
   * Parses the response body.
   *
   * @throws IOException with status and reason if the response is an error
   */
  private static Map<String, Object> readResponse(HttpURLConnection connection) throws IOException {
    int status = connection.getResponseCode();
    if (status >= 400) {
      try (InputStream in = connection.getErrorStream()) {
        throw new IOException(
            status + ": " + (in == null ? "" : JSON.std.mapFrom(in).get("error")));
      }
    }
    try (InputStream in = connection.getInputStream()) {
      return JSON.std.mapFrom(in); // Reads to the end, so that the connection can be reused.
    }
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  public Path logFile() {
    return logFile;
  }

  /**
   * Runs a full garbage collection in the JVM of the balancer, so that only live objects remain.
   */
  public void collectGarbage() throws IOException, InterruptedException {
    String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process jcmdProcess =
        new ProcessBuilder(jcmd, Long.toString(process.pid()), "GC.run")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    if (!jcmdProcess.waitFor(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        || jcmdProcess.exitValue() != 0) {
      throw new IOException("could not run a garbage collection in the JVM of the balancer");
    }
  }

  /** Sends a signal by its name, such as STOP or CONT, to the process. */
  public void sendSignal(String name) throws IOException, InterruptedException {
    runCommand("kill", "-" + name, Long.toString(process.pid()));
  }

  /** Limits the size of files that the process can write. */
  public void limitFileSize(long bytes) throws IOException, InterruptedException {
    runCommand("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + bytes + ':');
  }

  private void runCommand(String... command) throws IOException, InterruptedException {
    if (new ProcessBuilder(command).start().waitFor() != 0) {
      throw new IOException(String.join(" ", command) + " failed");
    }
  }

  /** Kills the process without a drain. */
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
