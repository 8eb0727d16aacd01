package heathswitch.proxy.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import heathswitch.proxy.runtime.LogRateLimiter;
import org.slf4j.Logger;

/**
 * Limits the rate of the log lines of libraries, separately for each logger: with a full disk, for
 * example, a library logs an error for every message that it receives. The balancer's own lines
 * pass, since {@link heathswitch.proxy.runtime.Log} has already limited them.
 */
final class LogRateLimitFilter extends Filter<ILoggingEvent> {
  private final LogRateLimiter rateLimiter = new LogRateLimiter();
  private final Logger summaryLogger;

  /** Creates a filter that reports the numbers of suppressed lines to this logger. */
  LogRateLimitFilter(Logger summaryLogger) {
    this.summaryLogger = summaryLogger;
  }

  @Override
  public FilterReply decide(ILoggingEvent event) {
    boolean own = event.getLoggerName().startsWith(StructuredLog.OWN_LOGGER);
    return own || rateLimiter.tryAcquire(event.getLoggerName(), this::logSuppressed)
        ? FilterReply.NEUTRAL
        : FilterReply.DENY;
  }

  private void logSuppressed(String logger, int lines) {
    summaryLogger.warn("{}: {} more lines suppressed", logger, lines);
  }
}
