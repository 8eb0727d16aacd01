package heathswitch.proxy.runtime;

import java.time.Instant;
import java.util.function.Supplier;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log, written to standard error and rate-limited per kind of line: a failing upstream or a
 * hostile client must not cause a flood that takes up the event loop's time. A line may carry
 * fields for programs, as pairs of a name and a value; the message alone is complete for a human
 * reader.
 */
public final class Log {
  private static final Logger LOGGER = Logger.getLogger("heathswitch.proxy");
  private static final LogRateLimiter RATE_LIMITER = new LogRateLimiter();

  /** Receives the lines that pass the rate limiter; null for the JDK's own log. */
  private static volatile Sink sink;

  /** Receives lines in place of the JDK's log, from any thread, but never concurrently. */
  public interface Sink {
    /**
     * Writes one line.
     *
     * @param cause the exception, or null
     * @param fields alternating names and values
     */
    void write(Level level, String kind, String message, Throwable cause, String... fields);
  }

  private Log() {}

  /** Writes the JDK's log, including Netty's, to standard error with one line per record. */
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

  /** Sets the sink of all lines; null for the JDK's own log. */
  public static void setSink(Sink newSink) {
    sink = newSink;
  }

  public static void info(String kind, String message, String... fields) {
    write(Level.INFO, kind, message, null, fields);
  }

  /** Logs a line whose text is built only if it passes the rate limiter. */
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
    emit(Level.WARNING, kind, lines + " more lines suppressed", null);
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
