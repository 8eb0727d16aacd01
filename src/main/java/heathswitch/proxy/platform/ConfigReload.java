package heathswitch.proxy.platform;

import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.SignalFileReader;
import heathswitch.proxy.runtime.Signals;
import java.util.Map;

/**
 * Reloads the configuration at SIGHUP. Requests accepted after the reload use the new settings,
 * open requests keep theirs, and discovery is asked at the address in the new file. Without a
 * handler, SIGHUP would end the JVM. An invalid file changes nothing, since a balancer with its old
 * settings is better than none.
 */
public final class ConfigReload {
  private final Node node;
  private final NodeConfig startupConfig;
  private final Map<String, String> environment;
  private final DiscoveryClient discovery;
  private final SignalFileReader file = new SignalFileReader(this::read);

  ConfigReload(
      Node node,
      NodeConfig startupConfig,
      Map<String, String> environment,
      DiscoveryClient discovery) {
    this.node = node;
    this.startupConfig = startupConfig;
    this.environment = environment;
    this.discovery = discovery;
  }

  /** Installs the handler of SIGHUP. */
  public void install() {
    Signals.onHangUp(this::reload);
  }

  /** Reads the file on the calling thread and applies it on the event loop. */
  public void reload() {
    file.onSignal();
  }

  private boolean read(int signal) {
    try {
      NodeConfig config = NodeConfig.load(environment);
      Log.info("reload", "file of signal " + signal + ": discovery is at " + config.discovery());
      if (!config.isReloadableFrom(startupConfig)) {
        Log.warn(
            "reload",
            "a change of the listen address, socket limit or membership mode needs a restart");
      }
      node.loop().execute(() -> apply(signal, config));
      return true;
    } catch (NodeConfig.UnreadableConfigException e) {
      Log.warn("reload", "signal " + signal + ": " + e.getMessage() + "; retrying");
      return false;
    } catch (NodeConfig.InvalidConfigException | RuntimeException e) {
      Log.warn("reload", "signal " + signal + ": configuration unchanged: " + e.getMessage());
      return true;
    }
  }

  private void apply(int signal, NodeConfig config) {
    Log.info("reload in force", "file of signal " + signal);
    node.reload(config.settings());
    discovery.reload(config.settings());
    discovery.changeAddress(config.discovery());
  }
}
