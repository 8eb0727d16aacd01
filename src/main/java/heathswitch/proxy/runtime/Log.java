package heathswitch.proxy.runtime;

import java.time.Instant;
import java.util.function.Supplier;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log on standard error, limited for each kind of line: a failing upstream or a hostile client
 * must not turn into a flood that costs the loop its time. A line may carry fields for programs
 * that read it, as pairs of a name and a value; the message says all that a person needs without
 * them.
 */
public final class Log {
  private static final Logger LOGGER = Logger.getLogger("heathswitch.proxy");
  private static final LogRateLimiter RATE_LIMITER = new LogRateLimiter();

  /** Where lines go that the limit lets through; null for the JDK's own log. */
  private static volatile Sink sink;

  /** Takes lines in place of the JDK's log; from any thread, one at a time. */
  public interface Sink {
    /**
     * One line.
     *
     * @param cause what was thrown, or null
     * @param fields names and values in turn
     */
    void write(Level level, String kind, String message, Throwable cause, String... fields);
  }

  private Log() {}

  /** Sends the JDK's log, Netty's lines included, to standard error with one line a record. */
  public static void installConsoleHandler() {
    Logger root = Logger.getLogger("");
    for (var handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(new OneLineFormatter());
    root.addHandler(handler);
    Logger.getLogger("io.netty").setLevel(Level.SEVERE);
  }

  /** Sends all lines from now on there; null for the JDK's own log. */
  public static void setSink(Sink newSink) {
    sink = newSink;
  }

  public static void info(String kind, String message, String... fields) {
    write(Level.INFO, kind, message, null, fields);
  }

  /** A line whose text costs something, and is made only if the limit lets it through. */
  public static void info(String kind, Supplier<String> message) {
    if (tryAcquire(kind)) {
      emit(Level.INFO, kind, message.get(), null);
    }
  }

  private static synchronized boolean tryAcquire(String kind) {
    return RATE_LIMITER.tryAcquire(kind, Log::logSuppressed);
  }

  public static void warn(String kind, String message, String... fields) {
    write(Level.WARNING, kind, message, null, fields);
  }

  public static void error(String kind, String message, Throwable cause, String... fields) {
    write(Level.SEVERE, kind, message, cause, fields);
  }

  private static synchronized void write(
      Level level, String kind, String message, Throwable cause, String... fields) {
    if (RATE_LIMITER.tryAcquire(kind, Log::logSuppressed)) {
      emit(level, kind, message, cause, fields);
    }
  }

  private static void logSuppressed(String kind, int lines) {
    emit(Level.WARNING, kind, lines + " more lines left out", null);
  }

  private static void emit(
      Level level, String kind, String message, Throwable cause, String... fields) {
    Sink currentSink = sink;
    if (currentSink == null) {
      LOGGER.log(level, kind + ": " + message, cause);
    } else {
      currentSink.write(level, kind, message, cause, fields);
    }
  }

  private static final class OneLineFormatter extends Formatter {
    @Override
    public String format(LogRecord entry) {
      StringBuilder line =
          new StringBuilder()
              .append(Instant.ofEpochMilli(entry.getMillis()))
              .append(' ')
              .append(entry.getLevel())
              .append(' ')
              .append(formatMessage(entry).replace('\n', ' '));
      for (Throwable t = entry.getThrown(); t != null; t = t.getCause()) {
        line.append(" | ").append(t);
        StackTraceElement[] trace = t.getStackTrace();
        for (int i = 0; i < Math.min(6, trace.length); i++) {
          line.append(" at ").append(trace[i]);
        }
      }
      return line.append('\n').toString();
    }
  }
}
