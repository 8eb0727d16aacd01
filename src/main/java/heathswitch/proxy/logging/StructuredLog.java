package heathswitch.proxy.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import heathswitch.proxy.runtime.Log;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;
import org.slf4j.event.KeyValuePair;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Leads all lines to standard error through Logback: the balancer's own by {@link Log}, which keeps
 * its limit for each kind, and warnings of the libraries. Logback itself finds this class as its
 * configurator, so that it reads no file.
 */
public final class StructuredLog extends ContextAwareBase implements Configurator {
  static final String OWN = "heathswitch";

  /** Its warnings tell of every retry; what matters of them the balancer says itself. */
  private static final String AGREEMENT = "org.apache.ratis";

  /** That the end of a file was torn and is cut off nobody else says. */
  private static final String AGREEMENT_FILES = "org.apache.ratis.server.raftlog.segmented";

  /** Says how many lines of the libraries were left out. */
  private static final String OTHERS = "heathswitch.libraries";

  private static final String NETTY = "io.netty";

  /**
   * Has all lines written so from now on.
   *
   * @param instance whose lines they are
   */
  public static void install(LogTable table, String instance) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    set(context, table, instance);
    SLF4JBridgeHandler.removeHandlersForRootLogger();
    SLF4JBridgeHandler.install();
    Logger own = context.getLogger(OWN);
    Log.setSink(
        (level, kind, message, cause, fields) -> write(own, level, kind, message, cause, fields));
    // By itself the JDK writes such an end over many lines that no program can read.
    Thread.setDefaultUncaughtExceptionHandler(StructuredLog::ended);
  }

  private static void ended(Thread thread, Throwable thrown) {
    Log.error("thread", thread.getName() + " has ended by an error", thrown);
  }

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    set(context, LogTable.DEFAULT, "");
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static void set(LoggerContext context, LogTable table, String instance) {
    context.reset();
    Lines lines = new Lines(table.form(), instance);
    lines.setContext(context);
    lines.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget("System.err");
    console.setEncoder(lines);
    Limited limited = new Limited(context.getLogger(OTHERS));
    limited.start();
    console.addFilter(limited);
    console.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(console);
    context.getLogger(OWN).setLevel(Level.toLevel(table.least().name()));
    context.getLogger(AGREEMENT).setLevel(Level.ERROR);
    context.getLogger(AGREEMENT_FILES).setLevel(Level.WARN);
    context.getLogger(NETTY).setLevel(Level.ERROR);
  }

  private static void write(
      Logger own,
      java.util.logging.Level level,
      String kind,
      String message,
      Throwable cause,
      String... fields) {
    LoggingEventBuilder line =
        level == java.util.logging.Level.INFO
            ? own.atInfo()
            : level == java.util.logging.Level.WARNING ? own.atWarn() : own.atError();
    line = line.addKeyValue(Lines.KIND, kind);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line = line.addKeyValue(fields[i], fields[i + 1]);
    }
    line.setCause(cause).log(message);
  }

  /** Whether a pair is the kind of the line, which stands in a place of its own. */
  static boolean isKind(KeyValuePair pair) {
    return pair.key.equals(Lines.KIND);
  }
}
