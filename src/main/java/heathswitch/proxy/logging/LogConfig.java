package heathswitch.proxy.logging;

import heathswitch.proxy.config.ConfigSection;

/**
 * The configuration table {@code [log]}.
 *
 * @param format the format of log lines
 * @param minLevel the lowest level that is logged
 */
public record LogConfig(Format format, Level minLevel) {
  /** Formats of log lines. */
  public enum Format {
    /** Time, level, kind and message, followed by the fields. */
    TEXT,
    /** One JSON object per line. */
    JSON
  }

  /** Levels of log lines, from the least to the most severe. */
  public enum Level {
    INFO,
    WARN,
    ERROR
  }

  /** Used if the table is absent. */
  public static final LogConfig DEFAULT = new LogConfig(Format.TEXT, Level.INFO);

  /** Reads and validates the table. */
  public static LogConfig read(ConfigSection root) {
    ConfigSection table = root.table("log");
    if (table == null) {
      return DEFAULT;
    }
    Format format = table.enumValue("format", Format.TEXT, Format.class);
    Level minLevel = table.enumValue("level", Level.INFO, Level.class);
    table.rejectUnknownKeys();
    return new LogConfig(format, minLevel);
  }
}
