package maplehall.platform;

import java.util.Map;
import maplehall.node.Node;
import maplehall.runtime.Log;
import maplehall.runtime.Signals;

/**
 * SIGHUP: the configuration is read again. Requests that are taken from then on go by its settings,
 * those that are open keep theirs, and discovery is asked at the address that it names now. Without
 * this the JVM takes the signal for one to end on.
 *
 * <p>The file is read and handed to the loop in one turn, so that what was read last comes into
 * force last. A file that could not be read is read again until it can be, or a newer signal has
 * come: a signal is told once, and nothing would ever tell what it stood for. A file whose text is
 * no configuration changes nothing, since a balancer that runs on its old settings is better than
 * none.
 */
public final class Reload {
  private static final long FIRST_WAIT_MILLIS = 50;
  private static final long MOST_WAIT_MILLIS = 1000;

  /** Some minutes; an operator who finds the last line of it sends another signal. */
  private static final int MOST_TRIES = 200;

  private final Node node;
  private final NodeConfig started;
  private final Map<String, String> environment;
  private final DiscoveryClient discovery;

  /** Signals so far; the number of each stands in the log, when it is read and when in force. */
  private int signals;

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
  public synchronized void reload() {
    signals++;
    if (!read(signals)) {
      readAgain(signals);
    }
  }

  /** Whether nothing is left to do for a signal. */
  private boolean read(int number) {
    try {
      NodeConfig config = NodeConfig.load(environment);
      Log.info("reload", "file of signal " + number + ": discovery is at " + config.discovery());
      if (!config.sameProcess(started)) {
        Log.warn(
            "reload", "other addresses, limits of sockets or ways of discovery need a restart");
      }
      node.loop().execute(() -> take(number, config));
      return true;
    } catch (NodeConfig.Unreadable e) {
      Log.warn("reload", "signal " + number + ": " + e.getMessage() + "; it is read again");
      return false;
    } catch (NodeConfig.Invalid | RuntimeException e) {
      Log.warn("reload", "signal " + number + ": configuration left as it was: " + e.getMessage());
      return true;
    }
  }

  /** One thread at a time goes on trying: it ends when a newer signal has come. */
  private void readAgain(int number) {
    Thread thread = new Thread(() -> retry(number), "reload of signal " + number);
    thread.setDaemon(true);
    thread.start();
  }

  private void retry(int number) {
    long waitMillis = FIRST_WAIT_MILLIS;
    for (int i = 0; i < MOST_TRIES; i++) {
      try {
        Thread.sleep(waitMillis);
      } catch (InterruptedException e) {
        return;
      }
      if (readIfNewest(number)) {
        return;
      }
      waitMillis = Math.min(2 * waitMillis, MOST_WAIT_MILLIS);
    }
    Log.warn("reload", "signal " + number + " given up: its file could not be read");
  }

  private synchronized boolean readIfNewest(int number) {
    return number != signals || read(number);
  }

  private void take(int number, NodeConfig config) {
    Log.info("reload in force", "file of signal " + number);
    node.reload(config.settings());
    discovery.reload(config.settings());
    discovery.moveTo(config.discovery());
  }
}
