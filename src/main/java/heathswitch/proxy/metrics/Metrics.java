package heathswitch.proxy.metrics;

import heathswitch.proxy.admin.AdminServer;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * The metrics of one balancer, with the instance name as their only label. The number of meters is
 * fixed by those that are added; each is read on the event loop at every scrape.
 */
public final class Metrics {
  private static final String PREFIX = "heathswitch.";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /**
   * Strong references to the sources of counters: Micrometer refers to them weakly, and a counter
   * whose source is garbage collected stops counting.
   */
  private final List<DoubleSupplier> counterSources = new ArrayList<>();

  /** Creates an empty registry for a balancer with this instance name. */
  public Metrics(String instance) {
    registry.config().commonTags("instance", instance);
  }

  /** Adds a gauge, whose value may rise and fall. */
  public Metrics gauge(String name, String help, DoubleSupplier value) {
    Gauge.builder(PREFIX + name, value::getAsDouble).description(help).register(registry);
    return this;
  }

  /** Adds a counter, whose value only grows. */
  public Metrics counter(String name, String help, DoubleSupplier value) {
    counterSources.add(value);
    FunctionCounter.builder(PREFIX + name, value, DoubleSupplier::getAsDouble)
        .description(help)
        .register(registry);
    return this;
  }

  /** Adds the page {@code /metrics} to the admin listener. */
  public void addPage(AdminServer admin) {
    admin.get(
        "metrics",
        (subPath, reply) -> reply.accept(AdminServer.Reply.prometheusText(registry.scrape())));
  }
}
