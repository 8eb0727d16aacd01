package heathswitch.testbed.platform;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.balancer.Folders;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A balancer process as the platform starts it: the command {@code serve}, with the path of its
 * configuration in EDGE_CONFIG.
 */
public final class PlatformBalancer implements AutoCloseable {
  private static final List<String> DEFAULT_FLAGS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
  private static final int DEFAULT_HEAP_MEGABYTES = 64;
  private static final long PROCESS_TIMEOUT_MILLIS = 30_000;
  private static final int PROBE_TIMEOUT_MILLIS = 1000;

  /** The class path of the balancers: that of another build if given, else the test bed's own. */
  private static final String CLASS_PATH =
      System.getProperty("soak.program", System.getProperty("java.class.path"));

  private final String name;
  private final Path folder;
  private final InetSocketAddress listen;
  private final InetSocketAddress console = BalancerProcess.freeAddress();
  private final Path temporaryFolder;
  private final Map<String, String> environment = new HashMap<>();
  private Map<String, Object> config = Map.of();

  /** The flags of the next JVMs, or null for the default ones. */
  private List<String> jvmFlags;

  private int heapMegabytes = DEFAULT_HEAP_MEGABYTES;
  private Process process;
  private int starts;

  PlatformBalancer(String name) throws IOException {
    this.name = name;
    this.folder = Files.createTempDirectory("heathswitch-platform-");
    this.temporaryFolder = Files.createDirectories(folder.resolve("tmp"));
    this.listen = BalancerProcess.freeAddress();
  }

  /** Creates the next process of a balancer, for an upgrade while the previous one serves. */
  PlatformBalancer(PlatformBalancer previous) throws IOException {
    this.name = previous.name;
    this.folder = Files.createTempDirectory("heathswitch-platform-");
    this.temporaryFolder = previous.temporaryFolder;
    this.listen = previous.listen;
  }

  /** The address of the operations API of this process. */
  InetSocketAddress console() {
    return console;
  }

  public String name() {
    return name;
  }

  public InetSocketAddress listen() {
    return listen;
  }

  /** Adds environment variables for the next processes, beside those that the platform sets. */
  public void environment(Map<String, String> variables) {
    environment.putAll(variables);
  }

  /** Sets the maximum heap of the next processes. */
  public void heapMegabytes(int megabytes) {
    heapMegabytes = megabytes;
  }

  /** Sets the flags of the next JVMs, with the maximum heap among them. */
  public void jvmFlags(List<String> flags) {
    jvmFlags = List.copyOf(flags);
  }

  /** The largest resident set of the running process so far, in megabytes. */
  public int peakMemoryMegabytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    throw new IOException("no VmHWM for process " + process.pid());
  }

  /** The CPU time that the running process has used so far, in microseconds. */
  public long cpuMicros() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1000;
  }

  /** The number of descriptors that the running process has open. */
  public int openDescriptors() throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return (int) descriptors.count();
    }
  }

  /** Writes the configuration that the next start or SIGHUP reads. */
  void configure(Map<String, Object> next) throws IOException {
    config = next;
    Path temporary = folder.resolve("next");
    Files.writeString(temporary, JSON.std.asString(config));
    Files.move(temporary, configFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  Map<String, Object> config() {
    return config;
  }

  private Path configFile() {
    return folder.resolve("config.json");
  }

  /** The log file of the latest process. */
  public Path log() {
    return folder.resolve("log-" + starts);
  }

  /** Starts the process and waits until it is ready; returns the time taken, in milliseconds. */
  long start() throws IOException, InterruptedException {
    starts++;
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmFlags != null ? jvmFlags : DEFAULT_FLAGS);
    if (jvmFlags == null) {
      command.add("-Xmx" + heapMegabytes + "m");
    }
    command.addAll(List.of("-cp", CLASS_PATH, "heathswitch.proxy.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("EDGE_CONFIG", configFile().toString());
    builder.environment().put("TMPDIR", temporaryFolder.toString());
    builder.environment().putAll(environment);
    long began = System.nanoTime();
    process = builder.redirectOutput(log().toFile()).start();
    while (!ready()) {
      if (!process.isAlive() || System.nanoTime() - began > PROCESS_TIMEOUT_MILLIS * 1_000_000) {
        throw new IOException(
            name
                + " exited or was not ready within "
                + PROCESS_TIMEOUT_MILLIS
                + " ms:\n"
                + Files.readString(log()));
      }
      Thread.sleep(20);
    }
    return (System.nanoTime() - began) / 1_000_000;
  }

  private boolean ready() {
    boolean hasConsole = config.containsKey("console");
    int port = hasConsole ? console.getPort() : listen.getPort();
    try {
      URL url = new URL("http", "127.0.0.1", port, hasConsole ? "/v1/readyz" : "/up");
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(PROBE_TIMEOUT_MILLIS);
      connection.setReadTimeout(PROBE_TIMEOUT_MILLIS);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  public boolean alive() {
    return process != null && process.isAlive();
  }

  /** Sends a signal by name: HUP, TERM, STOP or CONT. */
  public void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Sends SIGKILL and waits for the end of the process. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(PROCESS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Waits for the end of the process; returns its exit code, or -1 if it is still running. */
  int awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.destroyForcibly().onExit().join();
    }
    Folders.deleteRecursively(folder);
  }
}
