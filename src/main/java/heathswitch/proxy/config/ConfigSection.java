package heathswitch.proxy.config;

import heathswitch.proxy.runtime.Addresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of the configuration file, read key by key. Errors are collected in the document with
 * their source position, and an invalid value is replaced by the default, the lower bound or null,
 * so that one pass finds all errors. Call {@link #rejectUnknownKeys} after the last key: every key
 * that has not been read by then is reported as unknown.
 */
public final class ConfigSection {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(ms|s|min|h)");

  private final ConfigDocument document;
  private final TomlTable table;
  private final String path;
  private final TomlPosition position;
  private final Set<String> knownKeys = new TreeSet<>();

  /** Creates a section for a table at this position, with its path of keys from the root. */
  ConfigSection(ConfigDocument document, TomlTable table, String path, TomlPosition position) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.position = position;
  }

  /** Returns whether the key is present, with a valid or an invalid value. */
  public boolean has(String key) {
    knownKeys.add(key);
    return table.contains(List.of(key));
  }

  /** Reports an error at the key, or at the table if the key is absent. */
  public void addError(String key, String message) {
    TomlPosition errorPosition =
        table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : position;
    document.addError(errorPosition, qualifiedName(key), message);
  }

  private String qualifiedName(String key) {
    return path.isEmpty() ? key : key.isEmpty() ? path : path + '.' + key;
  }

  /**
   * Returns the value, or null if it is absent or has another type; the latter is reported, and so
   * is an absent value that is required.
   */
  private <T> T value(String key, Class<T> type, String expected, boolean required) {
    if (!has(key)) {
      if (required) {
        addError(key, "missing; " + expected + " expected");
      }
      return null;
    }
    Object value = table.get(List.of(key));
    if (type.isInstance(value)) {
      return type.cast(value);
    }
    addError(key, "is " + describe(value) + "; " + expected + " expected");
    return null;
  }

  private static String describe(Object value) {
    if (value instanceof TomlTable) {
      return "a table";
    }
    if (value instanceof TomlArray) {
      return "a list";
    }
    String text = value instanceof String ? '"' + value.toString() + '"' : String.valueOf(value);
    return text.length() <= 60 ? text : text.substring(0, 60) + "...";
  }

  /**
   * Returns a non-blank string, or the default if it is absent or invalid. A null default makes the
   * key required.
   */
  public String string(String key, String defaultValue) {
    String value = value(key, String.class, "a text", defaultValue == null);
    if (value != null && value.isBlank()) {
      addError(key, "is empty; a text expected");
      return defaultValue;
    }
    return value == null ? defaultValue : value;
  }

  /** Returns a non-blank string, or null if it is absent or invalid. */
  public String optionalString(String key) {
    return has(key) ? string(key, null) : null;
  }

  /**
   * Returns an integer within inclusive bounds, or the default if it is absent or invalid. A null
   * default makes the key required; the lower bound then stands in for an invalid value.
   */
  public long integer(String key, Long defaultValue, long min, long max) {
    String expected = "a whole number from " + min + " to " + max;
    Long value = value(key, Long.class, expected, defaultValue == null);
    if (value != null && (value < min || value > max)) {
      addError(key, "is " + value + "; " + expected + " expected");
      value = null;
    }
    return value != null ? value : defaultValue != null ? defaultValue : min;
  }

  /** Returns a finite number within inclusive bounds; the default works as in {@link #integer}. */
  public double number(String key, Double defaultValue, double min, double max) {
    String expected = "a number from " + min + " to " + max;
    Number value = value(key, Number.class, expected, defaultValue == null);
    if (value != null && !(value.doubleValue() >= min && value.doubleValue() <= max)) {
      addError(key, "is " + value + "; " + expected + " expected");
      value = null;
    }
    return value != null ? value.doubleValue() : defaultValue != null ? defaultValue : min;
  }

  /** Returns a boolean, or the default if it is absent or invalid. */
  public boolean flag(String key, boolean defaultValue) {
    Boolean value = value(key, Boolean.class, "true or false", false);
    return value == null ? defaultValue : value;
  }

  /**
   * Returns a duration such as "250ms", "2s", "10min" or "1h" in nanoseconds. The bounds are
   * inclusive, and the default works as in {@link #integer}.
   */
  public long durationNanos(String key, String defaultValue, String min, String max) {
    long value = durationMillis(key, defaultValue, min, max);
    return value * 1_000_000L;
  }

  /** As {@link #durationNanos}, in milliseconds. */
  public long durationMillis(String key, String defaultValue, String min, String max) {
    String expected = "a time from \"" + min + "\" to \"" + max + "\"";
    String value = value(key, String.class, expected, defaultValue == null);
    long fallback = defaultValue == null ? parseDuration(min) : parseDuration(defaultValue);
    if (value == null) {
      return fallback;
    }
    long millis = parseDuration(value);
    if (millis < parseDuration(min) || millis > parseDuration(max)) {
      addError(key, "is " + describe(value) + "; " + expected + " expected");
      return fallback;
    }
    return millis;
  }

  /** Parses a duration to milliseconds; returns -1 if it is malformed. */
  private static long parseDuration(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      return -1;
    }
    long count = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> count;
      case "s" -> count * 1000;
      case "min" -> count * 60_000;
      default -> count * 3_600_000;
    };
  }

  /**
   * Returns a numeric IP address with a port, or null if it is absent or invalid; an absent one is
   * reported if it is required.
   */
  public InetSocketAddress address(String key, boolean required) {
    String expected = "ADDRESS:PORT, such as \"127.0.0.1:8080\",";
    String value = value(key, String.class, expected, required);
    InetSocketAddress address = value == null ? null : Addresses.parse(value);
    if (value != null && address == null) {
      addError(key, "is " + describe(value) + "; " + expected + " expected");
    }
    return address;
  }

  /**
   * Reports an error if the address is a wildcard address, or if it is outside loopback and the
   * network has not been declared private. A null address is ignored.
   *
   * @param reason why the traffic must not be exposed to others on the network
   */
  public void requireLoopbackOrPrivate(
      String key, InetSocketAddress address, boolean isPrivate, String reason) {
    if (address == null) {
      return;
    }
    if (address.getAddress().isAnyLocalAddress()) {
      addError(key, "is not the address of one machine; the one that other balancers use expected");
    } else if (!isPrivate && !address.getAddress().isLoopbackAddress()) {
      addError(
          key,
          "is not on loopback; "
              + reason
              + "; private_network = true is for a network that nobody else is on");
    }
  }

  /**
   * Returns the enum constant whose lower-case name is the value, or the default if it is absent or
   * invalid. A null default makes the key required.
   */
  public <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type) {
    return oneOf(
        key, defaultValue, Stream.of(type.getEnumConstants()).toList(), ConfigSection::lowerCase);
  }

  private <E> E oneOf(String key, E defaultValue, List<E> values, Function<E, String> name) {
    List<String> names = values.stream().map(name).toList();
    String expected =
        names.stream()
            .map(word -> '"' + word + '"')
            .collect(Collectors.joining(", ", "one of ", ""));
    String value = value(key, String.class, expected, defaultValue == null);
    if (value == null) {
      return defaultValue;
    }
    int index = names.indexOf(value);
    if (index < 0) {
      String closest = NameSuggestion.closest(value, names);
      addError(key, "is " + describe(value) + suggestion(closest) + "; " + expected + " expected");
      return defaultValue;
    }
    return values.get(index);
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the valid elements of a list of non-blank strings; invalid ones are reported. */
  public List<String> strings(String key, boolean required) {
    TomlArray array = value(key, TomlArray.class, "a list of texts", required);
    List<String> strings = new ArrayList<>();
    for (int i = 0; array != null && i < array.size(); i++) {
      if (array.get(i) instanceof String text && !text.isBlank()) {
        strings.add(text);
      } else {
        document.addError(
            array.inputPositionOf(i),
            qualifiedName(key) + '[' + i + ']',
            "is " + describe(array.get(i)) + "; a text expected");
      }
    }
    if (array != null && array.isEmpty() && required) {
      addError(key, "is empty; at least one text expected");
    }
    return strings;
  }

  /** Returns a nested table, or null if it is absent or invalid. */
  public ConfigSection table(String key) {
    TomlTable value = value(key, TomlTable.class, "a table", false);
    return value == null
        ? null
        : new ConfigSection(
            document, value, qualifiedName(key), table.inputPositionOf(List.of(key)));
  }

  /** Returns the tables of an array of tables ({@code [[key]]}); empty if it is absent. */
  public List<ConfigSection> tables(String key) {
    TomlArray array = value(key, TomlArray.class, "tables, written [[" + key + "]],", false);
    List<ConfigSection> sections = new ArrayList<>();
    for (int i = 0; array != null && i < array.size(); i++) {
      if (array.get(i) instanceof TomlTable value) {
        sections.add(
            new ConfigSection(
                document, value, qualifiedName(key) + '[' + i + ']', array.inputPositionOf(i)));
      } else {
        document.addError(
            array.inputPositionOf(i),
            qualifiedName(key),
            "is not a table; [[" + key + "]] expected");
      }
    }
    return sections;
  }

  /** Reports every key that has not been read, with the closest known one as a suggestion. */
  public void rejectUnknownKeys() {
    for (String key : table.keySet()) {
      if (!knownKeys.contains(key)) {
        String closest = NameSuggestion.closest(key, knownKeys);
        document.addError(
            table.inputPositionOf(List.of(key)),
            qualifiedName(key),
            "is not known" + suggestion(closest) + "; known here: " + String.join(", ", knownKeys));
      }
    }
  }

  private static String suggestion(String name) {
    return name == null ? "" : " (did you mean " + name + "?)";
  }
}
