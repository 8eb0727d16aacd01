package maplehall.platform;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import maplehall.node.Node;
import maplehall.runtime.Log;
import maplehall.runtime.Signals;

/**
 * SIGHUP: the configuration is read again. Requests that are taken from then on go by its settings,
 * those that are open keep theirs, and discovery is asked at the address that it names now. Without
 * this the JVM takes the signal for one to end on. A file that cannot be used changes nothing,
 * since a balancer that runs on its old settings is better than none.
 */
public final class Reload {
  private final Node node;
  private final NodeConfig started;
  private final Map<String, String> environment;
  private final DiscoveryClient discovery;

  /** Of each reload in the log: which signal read which file, and in which order they are taken. */
  private final AtomicInteger signals = new AtomicInteger();

  Reload(
      Node node, NodeConfig started, Map<String, String> environment, DiscoveryClient discovery) {
    this.node = node;
    this.started = started;
    this.environment = environment;
    this.discovery = discovery;
  }

  /** Reloads at SIGHUP. */
  public void install() {
    Signals.onHangUp(this::reload);
  }

  /** Reads the file on the calling thread and leaves the rest to the loop. */
  public void reload() {
    int number = signals.incrementAndGet();
    try {
      NodeConfig config = NodeConfig.load(environment);
      Log.info("reload", "file of signal " + number + ": discovery is at " + config.discovery());
      if (!config.sameProcess(started)) {
        Log.warn(
            "reload", "other addresses, limits of sockets or ways of discovery need a restart");
      }
      node.loop().execute(() -> take(number, config));
    } catch (NodeConfig.Invalid | RuntimeException e) {
      Log.warn("reload", "signal " + number + ": configuration left as it was: " + e.getMessage());
    }
  }

  private void take(int number, NodeConfig config) {
    Log.info("reload in force", "file of signal " + number);
    node.reload(config.settings());
    discovery.reload(config.settings());
    discovery.moveTo(config.discovery());
  }
}
