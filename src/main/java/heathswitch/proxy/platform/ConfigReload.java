package heathswitch.proxy.platform;

import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.SignalFileReader;
import heathswitch.proxy.runtime.Signals;
import java.util.Map;

/**
 * SIGHUP: the configuration is read again. Requests that are taken from then on go by its settings,
 * those that are open keep theirs, and discovery is asked at the address that it names now. Without
 * this the JVM takes the signal for one to end on. A file whose text is no configuration changes
 * nothing, since a balancer that runs on its old settings is better than none.
 */
public final class ConfigReload {
  private final Node node;
  private final NodeConfig started;
  private final Map<String, String> environment;
  private final DiscoveryClient discovery;
  private final SignalFileReader file = new SignalFileReader(this::read);

  ConfigReload(
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
    file.onSignal();
  }

  private boolean read(int signal) {
    try {
      NodeConfig config = NodeConfig.load(environment);
      Log.info("reload", "file of signal " + signal + ": discovery is at " + config.discovery());
      if (!config.sameProcess(started)) {
        Log.warn(
            "reload", "other addresses, limits of sockets or ways of discovery need a restart");
      }
      node.loop().execute(() -> take(signal, config));
      return true;
    } catch (NodeConfig.UnreadableConfigException e) {
      Log.warn("reload", "signal " + signal + ": " + e.getMessage() + "; it is read again");
      return false;
    } catch (NodeConfig.InvalidConfigException | RuntimeException e) {
      Log.warn("reload", "signal " + signal + ": configuration left as it was: " + e.getMessage());
      return true;
    }
  }

  private void take(int signal, NodeConfig config) {
    Log.info("reload in force", "file of signal " + signal);
    node.reload(config.settings());
    discovery.reload(config.settings());
    discovery.moveTo(config.discovery());
  }
}
