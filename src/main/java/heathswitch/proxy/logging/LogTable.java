package heathswitch.proxy.logging;

import heathswitch.proxy.config.Section;

/**
 * The table {@code [log]} of the configuration.
 *
 * @param form how a line is written
 * @param least lines below it are left out
 */
public record LogTable(Form form, Least least) {
  /** How a line is written. */
  public enum Form {
    /** Time, level, kind and message, and the fields behind them. */
    TEXT,
    /** One JSON object. */
    JSON
  }

  /** Levels of lines, the least important first. */
  public enum Least {
    INFO,
    WARN,
    ERROR
  }

  /** What holds where no table says otherwise. */
  public static final LogTable DEFAULT = new LogTable(Form.TEXT, Least.INFO);

  /** Reads and checks the table. */
  public static LogTable read(Section root) {
    Section table = root.table("log");
    if (table == null) {
      return DEFAULT;
    }
    Form form = table.choice("format", Form.TEXT, Form.class);
    Least least = table.choice("level", Least.INFO, Least.class);
    table.end();
    return new LogTable(form, least);
  }
}
