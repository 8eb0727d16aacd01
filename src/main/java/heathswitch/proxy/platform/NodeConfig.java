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
 * What the platform tells one balancer at its start.
 *
 * @param console the second address, or null where there is none
 */
public record NodeConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress console,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    Map<String, Object> known,
    Settings settings) {

  /** Fewer would not leave room for the JVM's own files, discovery and a handful of requests. */
  static final int LEAST_SOCKETS = 64;

  /** Five seconds in all: most processes are to be ready within ten. */
  private static final int MOST_START_TRIES = 100;

  private static final long START_WAIT_NANOS = 50_000_000L;

  /** A configuration that cannot be used; the message names the field. */
  public static class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String message) {
      super(message);
    }
  }

  /** A file that could not be read, which may go better in a moment. */
  public static final class UnreadableConfigException extends InvalidConfigException {
    private static final long serialVersionUID = 1L;

    UnreadableConfigException(String message) {
      super(message);
    }
  }

  NodeSettings node() {
    return new NodeSettings(name, listen, console != null, seed, sockets, settings);
  }

  /** Whether a process that was started by the other one can go by this one's settings. */
  boolean sameProcess(NodeConfig other) {
    return listen.equals(other.listen)
        && sockets == other.sockets
        && settings.subscribes() == other.settings.subscribes();
  }

  /**
   * Reads the file for a process that starts: one that is there and cannot be read for a moment is
   * read again for a while, as there is nothing to go on with without it.
   */
  public static NodeConfig loadAtStartup(Map<String, String> environment)
      throws InvalidConfigException {
    for (int i = 1; ; i++) {
      try {
        return load(environment);
      } catch (UnreadableConfigException e) {
        if (i == MOST_START_TRIES || Files.notExists(Path.of(environment.get("EDGE_CONFIG")))) {
          throw e;
        }
        Log.warn("start", e.getMessage() + "; it is read again");
        LockSupport.parkNanos(START_WAIT_NANOS);
      }
    }
  }

  /** Reads the file that {@code EDGE_CONFIG} names. */
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

  /** Reads what {@link #load} found in the file; the environment may name the second address. */
  public static NodeConfig parse(Map<String, Object> json, Map<String, String> environment)
      throws InvalidConfigException {
    if (json == null) {
      throw new InvalidConfigException("EDGE_CONFIG: an object expected");
    }
    Object name = json.get("name");
    if (!(name instanceof String) || ((String) name).isEmpty()) {
      throw new InvalidConfigException("name: text expected");
    }
    Settings settings;
    try {
      settings = SettingsReader.read(map(json, "settings"));
    } catch (RuntimeException e) {
      throw new InvalidConfigException("settings: " + firstLine(e));
    }
    Object known = json.get("known");
    return new NodeConfig(
        (String) name,
        address(json, "listen"),
        console(json, environment.get("EDGE_CONSOLE")),
        address(json, "discovery"),
        seed(json.get("seed")),
        sockets(json.get("limits")),
        known == null ? Map.of() : map(json, "known"),
        settings);
  }

  /** That of the environment is of this very process, should the two differ. */
  private static InetSocketAddress console(Map<String, Object> json, String named)
      throws InvalidConfigException {
    if (named != null && !named.isEmpty()) {
      InetSocketAddress address = Addresses.parse(named);
      if (address == null) {
        throw new InvalidConfigException("EDGE_CONSOLE: ADDRESS:PORT expected, not " + named);
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
      throw new InvalidConfigException(field + ": ADDRESS:PORT expected, not " + json.get(field));
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
        throw new InvalidConfigException("seed: 16 hexadecimal digits expected, not " + text);
      }
    }
    throw new InvalidConfigException("seed: missing");
  }

  private static int sockets(Object limits) throws InvalidConfigException {
    Object sockets = limits instanceof Map<?, ?> map ? map.get("sockets") : null;
    if (!(sockets instanceof Number number) || number.longValue() < LEAST_SOCKETS) {
      throw new InvalidConfigException(
          "limits.sockets: a number of at least " + LEAST_SOCKETS + " expected, not " + sockets);
    }
    return (int) Math.min(Integer.MAX_VALUE, number.longValue());
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> map(Map<String, Object> json, String field)
      throws InvalidConfigException {
    if (json.get(field) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new InvalidConfigException(field + ": an object expected");
  }

  private static String firstLine(Exception e) {
    if (e instanceof NoSuchFileException) {
      return "it is not there"; // Its message is the path alone.
    }
    return String.valueOf(e.getMessage()).lines().findFirst().orElse(e.toString());
  }
}
