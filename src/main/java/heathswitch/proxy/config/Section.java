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
 * One table of the configuration, read key by key. What is wrong is collected with its place, and a
 * value that cannot be used is replaced by the default or by null, so that one reading finds all
 * faults. {@link #end} must follow the last key: what has not been asked for by then is unknown.
 */
public final class Section {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(ms|s|min|h)");

  private final Document document;
  private final TomlTable table;
  private final String path;
  private final TomlPosition position;
  private final Set<String> known = new TreeSet<>();

  Section(Document document, TomlTable table, String path, TomlPosition position) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.position = position;
  }

  /** Whether the key has a value, be it right or wrong. */
  public boolean has(String key) {
    known.add(key);
    return table.contains(List.of(key));
  }

  /** A fault of the key, or of the whole table where it has no such key. */
  public void fault(String key, String message) {
    TomlPosition at = table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : position;
    document.fault(at, name(key), message);
  }

  private String name(String key) {
    return path.isEmpty() ? key : key.isEmpty() ? path : path + '.' + key;
  }

  /** The value if it is there and of the type, else null with a fault for one that is wrong. */
  private <T> T value(String key, Class<T> type, String expected, boolean required) {
    if (!has(key)) {
      if (required) {
        fault(key, "missing; " + expected + " expected");
      }
      return null;
    }
    Object value = table.get(List.of(key));
    if (type.isInstance(value)) {
      return type.cast(value);
    }
    fault(key, "is " + shown(value) + "; " + expected + " expected");
    return null;
  }

  private static String shown(Object value) {
    if (value instanceof TomlTable) {
      return "a table";
    }
    if (value instanceof TomlArray) {
      return "a list";
    }
    String text = value instanceof String ? '"' + value.toString() + '"' : String.valueOf(value);
    return text.length() <= 60 ? text : text.substring(0, 60) + "...";
  }

  /** A text that is not empty; null for a wrong one, or a missing one where it is required. */
  public String text(String key, String otherwise) {
    String value = value(key, String.class, "a text", otherwise == null);
    if (value != null && value.isBlank()) {
      fault(key, "is empty; a text expected");
      return otherwise;
    }
    return value == null ? otherwise : value;
  }

  /** A text, or null where there is none. */
  public String optionalText(String key) {
    return has(key) ? text(key, null) : null;
  }

  /** A whole number within bounds; null as the default makes it required. */
  public long whole(String key, Long otherwise, long least, long most) {
    String expected = "a whole number from " + least + " to " + most;
    Long value = value(key, Long.class, expected, otherwise == null);
    if (value != null && (value < least || value > most)) {
      fault(key, "is " + value + "; " + expected + " expected");
      value = null;
    }
    return value != null ? value : otherwise != null ? otherwise : least;
  }

  /** A finite number within bounds. */
  public double number(String key, Double otherwise, double least, double most) {
    String expected = "a number from " + least + " to " + most;
    Number value = value(key, Number.class, expected, otherwise == null);
    if (value != null && !(value.doubleValue() >= least && value.doubleValue() <= most)) {
      fault(key, "is " + value + "; " + expected + " expected");
      value = null;
    }
    return value != null ? value.doubleValue() : otherwise != null ? otherwise : least;
  }

  public boolean flag(String key, boolean otherwise) {
    Boolean value = value(key, Boolean.class, "true or false", false);
    return value == null ? otherwise : value;
  }

  /** A time such as "250ms", "2s", "10min" or "1h", within bounds, in nanoseconds. */
  public long nanos(String key, String otherwise, String least, String most) {
    long value = millis(key, otherwise, least, most);
    return value * 1_000_000L;
  }

  /** As {@link #nanos}, in milliseconds. */
  public long millis(String key, String otherwise, String least, String most) {
    String expected = "a time from \"" + least + "\" to \"" + most + "\"";
    String value = value(key, String.class, expected, otherwise == null);
    long fallback = otherwise == null ? duration(least) : duration(otherwise);
    if (value == null) {
      return fallback;
    }
    long millis = duration(value);
    if (millis < duration(least) || millis > duration(most)) {
      fault(key, "is " + shown(value) + "; " + expected + " expected");
      return fallback;
    }
    return millis;
  }

  /** Milliseconds, or -1 for what is no time. */
  private static long duration(String text) {
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

  /** A numeric address with a port; null for a wrong one, or a missing one where required. */
  public InetSocketAddress address(String key, boolean required) {
    String expected = "ADDRESS:PORT, such as \"127.0.0.1:8080\",";
    String value = value(key, String.class, expected, required);
    InetSocketAddress address = value == null ? null : Addresses.parse(value);
    if (value != null && address == null) {
      fault(key, "is " + shown(value) + "; " + expected + " expected");
    }
    return address;
  }

  /**
   * A fault where an address is none of one machine, or is not on loopback although nobody said
   * that the network is private; null is passed over.
   *
   * @param why what may not be heard, or made, by others on the way
   */
  public void nearby(String key, InetSocketAddress address, boolean isPrivate, String why) {
    if (address == null) {
      return;
    }
    if (address.getAddress().isAnyLocalAddress()) {
      fault(key, "is no address of one machine; the one that others use expected");
    } else if (!isPrivate && !address.getAddress().isLoopbackAddress()) {
      fault(
          key,
          "is not on loopback; "
              + why
              + ": private_network = true says that nobody else is on that network");
    }
  }

  /** One of an enum's constants by its name in small letters. */
  public <E extends Enum<E>> E choice(String key, E otherwise, Class<E> type) {
    return choice(key, otherwise, Stream.of(type.getEnumConstants()).toList(), Section::lowerCase);
  }

  private <E> E choice(String key, E otherwise, List<E> values, Function<E, String> name) {
    List<String> names = values.stream().map(name).toList();
    String expected =
        names.stream()
            .map(word -> '"' + word + '"')
            .collect(Collectors.joining(", ", "one of ", ""));
    String value = value(key, String.class, expected, otherwise == null);
    if (value == null) {
      return otherwise;
    }
    int index = names.indexOf(value);
    if (index < 0) {
      String near = Nearest.to(value, names);
      fault(key, "is " + shown(value) + suggestion(near) + "; " + expected + " expected");
      return otherwise;
    }
    return values.get(index);
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** A list of texts; empty where there is none or it is wrong. */
  public List<String> texts(String key, boolean required) {
    TomlArray array = value(key, TomlArray.class, "a list of texts", required);
    List<String> texts = new ArrayList<>();
    for (int i = 0; array != null && i < array.size(); i++) {
      if (array.get(i) instanceof String text && !text.isBlank()) {
        texts.add(text);
      } else {
        document.fault(
            array.inputPositionOf(i),
            name(key) + '[' + i + ']',
            "is " + shown(array.get(i)) + "; a text expected");
      }
    }
    if (array != null && array.isEmpty() && required) {
      fault(key, "is empty; at least one text expected");
    }
    return texts;
  }

  /** A table within this one, or null where there is none. */
  public Section table(String key) {
    TomlTable value = value(key, TomlTable.class, "a table", false);
    return value == null
        ? null
        : new Section(document, value, name(key), table.inputPositionOf(List.of(key)));
  }

  /** The tables of a list, written with [[key]]; empty where there is none. */
  public List<Section> tables(String key) {
    TomlArray array = value(key, TomlArray.class, "tables, written [[" + key + "]],", false);
    List<Section> sections = new ArrayList<>();
    for (int i = 0; array != null && i < array.size(); i++) {
      if (array.get(i) instanceof TomlTable value) {
        sections.add(
            new Section(document, value, name(key) + '[' + i + ']', array.inputPositionOf(i)));
      } else {
        document.fault(
            array.inputPositionOf(i), name(key), "is no table; [[" + key + "]] expected");
      }
    }
    return sections;
  }

  /** Every key that nobody asked for is a fault, with the nearest known one. */
  public void end() {
    for (String key : table.keySet()) {
      if (!known.contains(key)) {
        String near = Nearest.to(key, known);
        document.fault(
            table.inputPositionOf(List.of(key)),
            name(key),
            "is not known" + suggestion(near) + "; known here: " + String.join(", ", known));
      }
    }
  }

  private static String suggestion(String near) {
    return near == null ? "" : " (did you mean " + near + "?)";
  }
}
