package loadrig.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import loadrig.balancer.BalancerProcess;
import loadrig.balancer.Workplace;
import loadrig.site.DelayLine;

/** One instance of a fleet: a process that may be stopped, killed and started again. */
public final class Node {
  private static final int CONNECT_MILLIS = 1000;

  final String name;
  final InetSocketAddress listen;
  final InetSocketAddress admin;
  final InetSocketAddress agreement;
  final Workplace workplace;

  /** Its ways to the other instances, by their names. */
  final Map<String, DelayLine> ways;

  private final List<String> flags;
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

  /** Starts its process; it may not have joined yet. */
  public void start() throws IOException, InterruptedException {
    process = BalancerProcess.start(config, log(), listen, admin, flags);
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

  /** Takes away all that it has written of the log. */
  public void loseDisk() throws IOException {
    try (Stream<Path> all = Files.walk(workplace.folder().resolve("work"))) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
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
    workplace.close();
  }
}
