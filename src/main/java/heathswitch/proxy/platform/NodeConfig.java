package heathswitch.proxy.platform;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.policy.adapter.SettingsReader;
import heathswitch.policy.api.Settings;
import heathswitch.proxy.node.NodeSettings;
import heathswitch.proxy.runtime.Addresses;
import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/**
 * The configuration file of one balancer on the platform.
 *
 * @param name the name of the balancer
 * @param listen the address at which clients connect
 * @param operationsAddress the address of the operations API, or null if there is none
 * @param discovery the address of discovery
 * @param seed the seed of the random decisions
 * @param maxSockets how many descriptors the process may have open
 * @param knownList the last known list of upstreams, in discovery's JSON form
 * @param settings the settings of the policy module
 */
public record NodeConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress operationsAddress,
    InetSocketAddress discovery,
    long seed,
    int maxSockets,
    Map<String, Object> knownList,
    Settings settings) {

  /** Fewer would not be enough for the JVM's own files, discovery and a handful of requests. */
  static final int MIN_SOCKETS = 64;

  /** Five seconds in total: most processes have to be ready within ten. */
  private static final int MAX_STARTUP_READS = 100;

  private static final long STARTUP_RETRY_NANOS = 50_000_000L;

  /** Thrown for an invalid configuration; the message names the field. */
  public static class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String message) {
      super(message);
    }
  }

  /** Thrown if the file could not be read; a later attempt may succeed. */
  public static final class UnreadableConfigException extends InvalidConfigException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigException(String message) {
      super(message);
    }
  }

  NodeSettings nodeSettings() {
    return new NodeSettings(name, listen, operationsAddress != null, seed, maxSockets, settings);
  }

  /**
   * Whether a process that was started with another configuration can apply all of this one without
   * a restart.
   */
  boolean isReloadableFrom(NodeConfig startupConfig) {
    return listen.equals(startupConfig.listen)
        && maxSockets == startupConfig.maxSockets
        && settings.subscribes() == startupConfig.settings.subscribes();
  }

  /**
   * Reads the file at startup. Reading is retried for a while if the file exists but cannot be
   * read, as the process cannot start without it.
   */
  public static NodeConfig loadAtStartup(Map<String, String> environment)
      throws InvalidConfigException {
    for (int i = 1; ; i++) {
      try {
        return load(environment);
      } catch (UnreadableConfigException e) {
        if (i == MAX_STARTUP_READS || Files.notExists(Path.of(environment.get("EDGE_CONFIG")))) {
          throw e;
        }
        Log.warn("start", e.getMessage() + "; retrying");
        LockSupport.parkNanos(STARTUP_RETRY_NANOS);
      }
    }
  }

  /** Reads the file named by the environment variable {@code EDGE_CONFIG}. */
  public static NodeConfig load(Map<String, String> environment) throws InvalidConfigException {
    String path = environment.get("EDGE_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new InvalidConfigException("EDGE_CONFIG is not set");
    }
    String text;
    try {
      text = Files.readString(Path.of(path));
    } catch (CharacterCodingException | RuntimeException e) {
      throw new InvalidConfigException("EDGE_CONFIG: cannot read " + path + ": " + firstLine(e));
    } catch (IOException e) {
      throw new UnreadableConfigException("EDGE_CONFIG: cannot read " + path + ": " + firstLine(e));
    }
    Map<String, Object> json;
    try {
      json = JSON.std.mapFrom(text);
    } catch (IOException | RuntimeException e) {
      throw new InvalidConfigException("EDGE_CONFIG: cannot read " + path + ": " + firstLine(e));
    }
    return parse(json, environment);
  }

  /**
   * Reads the parsed JSON of the file. {@code EDGE_CONSOLE} in the environment overrides the
   * address of the operations API.
   */
  public static NodeConfig parse(Map<String, Object> json, Map<String, String> environment)
      throws InvalidConfigException {
    if (json == null) {
      throw new InvalidConfigException("EDGE_CONFIG: expected a JSON object");
    }
    Object name = json.get("name");
    if (!(name instanceof String) || ((String) name).isEmpty()) {
      throw new InvalidConfigException("name: expected a non-empty string");
    }
    Settings settings;
    try {
      settings = SettingsReader.read(map(json, "settings"));
    } catch (RuntimeException e) {
      throw new InvalidConfigException("settings: " + firstLine(e));
    }
    Object knownList = json.get("known");
    return new NodeConfig(
        (String) name,
        address(json, "listen"),
        operationsAddress(json, environment.get("EDGE_CONSOLE")),
        address(json, "discovery"),
        seed(json.get("seed")),
        sockets(json.get("limits")),
        knownList == null ? Map.of() : map(json, "known"),
        settings);
  }

  /**
   * The address in the environment takes precedence over the one in the file, because it was set
   * for this process alone.
   */
  private static InetSocketAddress operationsAddress(Map<String, Object> json, String override)
      throws InvalidConfigException {
    if (override != null && !override.isEmpty()) {
      InetSocketAddress address = Addresses.parse(override);
      if (address == null) {
        throw new InvalidConfigException("EDGE_CONSOLE: expected ADDRESS:PORT, not " + override);
      }
      return address;
    }
    return json.get("console") == null ? null : address(json, "console");
  }

  private static InetSocketAddress address(Map<String, Object> json, String field)
      throws InvalidConfigException {
    InetSocketAddress address =
        json.get(field) instanceof String text ? Addresses.parse(text) : null;
    if (address == null) {
      throw new InvalidConfigException(field + ": expected ADDRESS:PORT, not " + json.get(field));
    }
    return address;
  }

  private static long seed(Object seed) throws InvalidConfigException {
    if (seed instanceof Number number) {
      return number.longValue();
    }
    if (seed instanceof String text) {
      try {
        return Long.parseUnsignedLong(text, 16);
      } catch (NumberFormatException e) {
        throw new InvalidConfigException("seed: expected 16 hexadecimal digits, not " + text);
      }
    }
    throw new InvalidConfigException("seed: missing");
  }

  private static int sockets(Object limits) throws InvalidConfigException {
    Object sockets = limits instanceof Map<?, ?> map ? map.get("sockets") : null;
    if (!(sockets instanceof Number number) || number.longValue() < MIN_SOCKETS) {
      throw new InvalidConfigException(
          "limits.sockets: expected a number of at least " + MIN_SOCKETS + ", not " + sockets);
    }
    return (int) Math.min(Integer.MAX_VALUE, number.longValue());
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> map(Map<String, Object> json, String field)
      throws InvalidConfigException {
    if (json.get(field) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new InvalidConfigException(field + ": expected a JSON object");
  }

  private static String firstLine(Exception e) {
    if (e instanceof NoSuchFileException) {
      return "no such file"; // The message of the exception is only the path.
    }
    return String.valueOf(e.getMessage()).lines().findFirst().orElse(e.toString());
  }
}
