package heathswitch.testbed.fleet;

import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.balancer.Folders;
import heathswitch.testbed.server.SimulatedServer;
import heathswitch.testbed.site.DatagramProxy;
import heathswitch.testbed.site.DelayProxy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** One balancer instance of a fleet; its process can be paused, killed and restarted. */
public final class Node {
  private static final int CONNECT_MILLIS = 1000;

  /**
   * Size of the header of a log segment. Each entry after it consists of a length in base-128
   * encoding, the content and a checksum.
   */
  private static final int LOG_HEADER_BYTES = 8;

  private static final int CHECKSUM_BYTES = 4;

  /** Space left for the lines of the process log when the disk is full for all other writes. */
  private static final long PROCESS_LOG_HEADROOM_BYTES = 32_768;

  /** The beginning of a torn log entry: of its 200 bytes, 38 were written. */
  private static final byte[] TORN_ENTRY = new byte[40];

  static {
    Arrays.fill(TORN_ENTRY, (byte) 0x5a);
    TORN_ENTRY[0] = (byte) 0xc8;
    TORN_ENTRY[1] = 1;
  }

  final String name;
  final InetSocketAddress listen;
  final InetSocketAddress admin;
  final InetSocketAddress consensusAddress;
  final BalancerFolder folder;

  /** Proxies to the other instances, by instance name. */
  final Map<String, DelayProxy> peerProxies;

  private final List<String> jvmFlags;

  /** Proxies to servers, by server name; empty if the instance connects to them directly. */
  final Map<String, DelayProxy> serverProxies = new HashMap<>();

  /** Address on which it receives gossip datagrams; null without gossip. */
  InetSocketAddress gossipAddress;

  /** Datagram proxies to the other instances, by instance name. */
  final Map<String, DatagramProxy> datagramProxies = new HashMap<>();

  /** JVM flags of this instance only. */
  private List<String> extraJvmFlags = List.of();

  private String classPath = System.getProperty("java.class.path");
  Path config;
  private volatile BalancerProcess process;
  private volatile boolean paused;

  Node(
      String name,
      InetSocketAddress listen,
      InetSocketAddress admin,
      InetSocketAddress consensusAddress,
      BalancerFolder workplace,
      Map<String, DelayProxy> peerProxies,
      List<String> jvmFlags) {
    this.name = name;
    this.listen = listen;
    this.admin = admin;
    this.consensusAddress = consensusAddress;
    this.folder = workplace;
    this.peerProxies = peerProxies;
    this.jvmFlags = jvmFlags;
  }

  public String name() {
    return name;
  }

  /** Returns the address for clients, which stays the same across restarts. */
  public InetSocketAddress listen() {
    return listen;
  }

  public Path config() {
    return config;
  }

  /** Returns the path of its server list. */
  public Path serverListFile() {
    return folder.serverListFile();
  }

  public Path logFile() {
    return folder.path().resolve("log");
  }

  /** Sets JVM flags of its next process in addition to those of all instances. */
  public void setExtraJvmFlags(String... flags) {
    extraJvmFlags = List.of(flags);
  }

  /** Sets the class path of its next process, for example that of another release. */
  public void setClassPath(String classPath) {
    this.classPath = classPath;
  }

  /** Returns its proxy to a server, or null if it connects to the server directly. */
  public DelayProxy serverProxy(SimulatedServer server) {
    return serverProxies.get(server.name());
  }

  /** Returns its datagram proxy to another instance. */
  public DatagramProxy datagramProxy(Node to) {
    return datagramProxies.get(to.name);
  }

  /** Returns the address on which it receives gossip datagrams. */
  public InetSocketAddress gossipAddress() {
    return gossipAddress;
  }

  /** Returns the path of the file with the keys that authenticate its datagrams. */
  public Path gossipKeyFile() {
    return folder.path().resolve("peers.keys");
  }

  /** Starts its process, which may not have joined the others yet when this returns. */
  public void start() throws IOException, InterruptedException {
    List<String> all = new ArrayList<>(jvmFlags);
    all.addAll(extraJvmFlags);
    process = BalancerProcess.start(config, logFile(), listen, admin, all, classPath);
  }

  /** Returns whether it accepts connections from clients. */
  public boolean acceptsConnections() {
    try (Socket socket = new Socket()) {
      socket.connect(listen, CONNECT_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns whether its process is running and not paused. */
  public boolean isResponsive() {
    return isAlive() && !paused;
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Pauses the process with SIGSTOP; its connections stay open. */
  public void pause() throws IOException, InterruptedException {
    process.sendSignal("STOP");
    paused = true;
  }

  /** Resumes the paused process with SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    process.sendSignal("CONT");
    paused = false;
  }

  /** Kills the process with SIGKILL. */
  public void kill() {
    process.kill();
    process.close();
  }

  /** Terminates the process with SIGTERM and waits for its exit. */
  public void terminate() {
    process.close();
  }

  /**
   * Simulates a full disk by limiting the file size of its process: a write beyond the limit fails.
   * The limit does not apply to the next process.
   */
  public void fillDisk(long bytes) throws IOException, InterruptedException {
    process.limitFileSize(bytes);
  }

  /** Simulates a full disk with a limit near the current size of the maintenance log. */
  public void fillDisk() throws IOException, InterruptedException {
    long end = parseLogEntries(Files.readAllBytes(openLogSegment())).end();
    // The process also writes its own log lines to a file; these must not be lost.
    fillDisk(Math.max(end, Files.size(logFile()) + PROCESS_LOG_HEADROOM_BYTES));
  }

  /** Returns the segment of the maintenance log that is being written. */
  private Path openLogSegment() throws IOException {
    try (Stream<Path> all = Files.walk(folder.path().resolve("work"))) {
      return all.filter(path -> path.getFileName().toString().startsWith("log_inprogress"))
          .findFirst()
          .orElseThrow(() -> new IOException(name + " has no open log segment"));
    }
  }

  /**
   * Appends an incomplete entry after the last complete one, as left by a power loss during a
   * write.
   *
   * @return the number of complete entries
   */
  public int appendTornLogEntry() throws IOException {
    Path path = openLogSegment();
    byte[] bytes = Files.readAllBytes(path);
    LogEntries complete = parseLogEntries(bytes);
    byte[] torn = Arrays.copyOf(bytes, Math.max(bytes.length, complete.end() + TORN_ENTRY.length));
    System.arraycopy(TORN_ENTRY, 0, torn, complete.end(), TORN_ENTRY.length);
    Files.write(path, torn);
    return complete.count();
  }

  /** Number of complete entries in a log segment, and the offset at which the last one ends. */
  private record LogEntries(int count, int end) {}

  private static LogEntries parseLogEntries(byte[] file) {
    int offset = LOG_HEADER_BYTES;
    for (int count = 0; ; count++) {
      int position = offset;
      int length = 0;
      for (int shift = 0; position < file.length; shift += 7) {
        length |= (file[position] & 0x7f) << shift;
        if ((file[position++] & 0x80) == 0) {
          break;
        }
      }
      if (length <= 0 || position + length + CHECKSUM_BYTES > file.length) {
        return new LogEntries(count, offset);
      }
      offset = position + length + CHECKSUM_BYTES;
    }
  }

  /** Deletes the folder of the maintenance log, as after the loss of a disk. */
  public void deleteWorkFolder() throws IOException {
    Folders.deleteRecursively(folder.path().resolve("work"));
  }

  public Map<String, Object> get(String page) throws IOException {
    return process.get(page);
  }

  public Map<String, Object> post(String page) throws IOException {
    return process.post(page);
  }

  void close() throws IOException {
    if (process != null) {
      process.kill();
      process.close();
    }
    peerProxies.values().forEach(DelayProxy::close);
    serverProxies.values().forEach(DelayProxy::close);
    datagramProxies.values().forEach(DatagramProxy::close);
    folder.close();
  }
}
