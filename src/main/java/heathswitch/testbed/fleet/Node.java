package heathswitch.testbed.fleet;

import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.balancer.Folders;
import heathswitch.testbed.balancer.Workplace;
import heathswitch.testbed.server.StandIn;
import heathswitch.testbed.site.DatagramLine;
import heathswitch.testbed.site.DelayLine;
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

/** One instance of a fleet: a process that may be stopped, killed and started again. */
public final class Node {
  private static final int CONNECT_MILLIS = 1000;

  /** Entries of the log's files begin here: a length of seven bits a byte, content, checksum. */
  private static final int FIRST_ENTRY = 8;

  private static final int CHECKSUM = 4;

  /** For the lines of its log on a disk that is full for all else. */
  private static final long ROOM = 32_768;

  /** An entry of 200 bytes, of which 38 were written. */
  private static final byte[] TORN = new byte[40];

  static {
    Arrays.fill(TORN, (byte) 0x5a);
    TORN[0] = (byte) 0xc8;
    TORN[1] = 1;
  }

  final String name;
  final InetSocketAddress listen;
  final InetSocketAddress admin;
  final InetSocketAddress agreement;
  final Workplace workplace;

  /** Its ways to the other instances, by their names. */
  final Map<String, DelayLine> ways;

  private final List<String> flags;

  /** Its ways to servers, by their names; empty where it reaches them without a relay. */
  final Map<String, DelayLine> toServers = new HashMap<>();

  /** Where it takes the datagrams of peers; null where there is no gossip. */
  InetSocketAddress gossip;

  /** Its ways for datagrams to the other instances, by their names. */
  final Map<String, DatagramLine> datagrams = new HashMap<>();

  /** Of this instance's program alone. */
  private List<String> ownFlags = List.of();

  private String program = System.getProperty("java.class.path");
  Path config;
  private volatile BalancerProcess process;
  private volatile boolean paused;

  Node(
      String name,
      InetSocketAddress listen,
      InetSocketAddress admin,
      InetSocketAddress agreement,
      Workplace workplace,
      Map<String, DelayLine> ways,
      List<String> flags) {
    this.name = name;
    this.listen = listen;
    this.admin = admin;
    this.agreement = agreement;
    this.workplace = workplace;
    this.ways = ways;
    this.flags = flags;
  }

  public String name() {
    return name;
  }

  /** Where clients connect, whichever process it is. */
  public InetSocketAddress listen() {
    return listen;
  }

  public Path config() {
    return config;
  }

  /** Its list of servers. */
  public Path members() {
    return workplace.members();
  }

  public Path log() {
    return workplace.folder().resolve("log");
  }

  /** Flags of its next process beside those that all have. */
  public void flags(String... only) {
    ownFlags = List.of(only);
  }

  /** The class path of its next process, that of another release for one. */
  public void program(String classPath) {
    program = classPath;
  }

  /** Its way to a server, where there are relays between them. */
  public DelayLine way(StandIn server) {
    return toServers.get(server.name());
  }

  /** Its way for datagrams to another instance. */
  public DatagramLine datagrams(Node to) {
    return datagrams.get(to.name);
  }

  /** Where it takes the datagrams of peers. */
  public InetSocketAddress gossip() {
    return gossip;
  }

  /** The file of keys that its datagrams are sealed by. */
  public Path keys() {
    return workplace.folder().resolve("peers.keys");
  }

  /** Starts its process; it may not have joined yet. */
  public void start() throws IOException, InterruptedException {
    List<String> all = new ArrayList<>(flags);
    all.addAll(ownFlags);
    process = BalancerProcess.start(config, log(), listen, admin, all, program);
  }

  /** Whether it takes clients. */
  public boolean serves() {
    try (Socket socket = new Socket()) {
      socket.connect(listen, CONNECT_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether it can be asked at all: it runs, and is not stopped. */
  public boolean answers() {
    return alive() && !paused;
  }

  public boolean alive() {
    return process != null && process.alive();
  }

  /** SIGSTOP: it does nothing, and its connections stay open. */
  public void pause() throws IOException, InterruptedException {
    process.signal("STOP");
    paused = true;
  }

  /** SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    process.signal("CONT");
    paused = false;
  }

  /** SIGKILL. */
  public void kill() {
    process.kill();
    process.close();
  }

  /** SIGTERM, and waits for its end. */
  public void end() {
    process.close();
  }

  /**
   * No file of its process can grow beyond a size from now on: a write that would make it longer
   * fails, as on a disk that is full. The next process is free of it.
   */
  public void fillDisk(long bytes) throws IOException, InterruptedException {
    process.limitFiles(bytes);
  }

  /** Likewise at about the size that its log has now. */
  public void fillDisk() throws IOException, InterruptedException {
    long end = entries(Files.readAllBytes(written())).end();
    // What it says itself goes to a file, too, and is not to be lost.
    fillDisk(Math.max(end, Files.size(log()) + ROOM));
  }

  /** The file of the log that is being written, of one that does not run. */
  private Path written() throws IOException {
    try (Stream<Path> all = Files.walk(workplace.folder().resolve("work"))) {
      return all.filter(path -> path.getFileName().toString().startsWith("log_inprogress"))
          .findFirst()
          .orElseThrow(() -> new IOException(name + " has no open log"));
    }
  }

  /**
   * Leaves the beginning of an entry behind the last whole one, as a process does whose machine
   * loses power while it writes; how many whole ones there are.
   */
  public int tearLog() throws IOException {
    Path path = written();
    byte[] bytes = Files.readAllBytes(path);
    Entries whole = entries(bytes);
    byte[] torn = Arrays.copyOf(bytes, Math.max(bytes.length, whole.end() + TORN.length));
    System.arraycopy(TORN, 0, torn, whole.end(), TORN.length);
    Files.write(path, torn);
    return whole.count();
  }

  /** Whole entries in a file of the log, and where the last one ends. */
  private record Entries(int count, int end) {}

  private static Entries entries(byte[] file) {
    int at = FIRST_ENTRY;
    for (int count = 0; ; count++) {
      int from = at;
      int length = 0;
      for (int shift = 0; from < file.length; shift += 7) {
        length |= (file[from] & 0x7f) << shift;
        if ((file[from++] & 0x80) == 0) {
          break;
        }
      }
      if (length <= 0 || from + length + CHECKSUM > file.length) {
        return new Entries(count, at);
      }
      at = from + length + CHECKSUM;
    }
  }

  /** Takes away all that it has written of the log. */
  public void loseDisk() throws IOException {
    Folders.delete(workplace.folder().resolve("work"));
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
    ways.values().forEach(DelayLine::close);
    toServers.values().forEach(DelayLine::close);
    datagrams.values().forEach(DatagramLine::close);
    workplace.close();
  }
}
