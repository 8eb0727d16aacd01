package heathswitch.proxy.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import heathswitch.proxy.runtime.LogRateLimiter;
import org.slf4j.Logger;

/**
 * Limits what libraries write, for each of their loggers: one whose disk is full says so with every
 * message that it gets. The balancer's own lines have been limited before they come here.
 */
final class Limited extends Filter<ILoggingEvent> {
  private final LogRateLimiter limit = new LogRateLimiter();
  private final Logger says;

  Limited(Logger says) {
    this.says = says;
  }

  @Override
  public FilterReply decide(ILoggingEvent event) {
    boolean own = event.getLoggerName().startsWith(StructuredLog.OWN);
    return own || limit.tryAcquire(event.getLoggerName(), this::leftOut)
        ? FilterReply.NEUTRAL
        : FilterReply.DENY;
  }

  private void leftOut(String logger, int lines) {
    says.warn("{}: {} more lines left out", logger, lines);
  }
}
