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
 * The figures of one balancer. Each is read when somebody asks, on the event loop; there are as
 * many as are added here, and their one label is the balancer's name.
 */
public final class Metrics {
  private static final String PREFIX = "heathswitch.";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** The library holds what a counter reads from weakly: collected, it would stand still. */
  private final List<DoubleSupplier> held = new ArrayList<>();

  /** None yet. */
  public Metrics(String instance) {
    registry.config().commonTags("instance", instance);
  }

  /** Adds one that goes up and down. */
  public Metrics gauge(String name, String says, DoubleSupplier now) {
    Gauge.builder(PREFIX + name, now::getAsDouble).description(says).register(registry);
    return this;
  }

  /** Adds one that only grows. */
  public Metrics counter(String name, String says, DoubleSupplier now) {
    held.add(now);
    FunctionCounter.builder(PREFIX + name, now, DoubleSupplier::getAsDouble)
        .description(says)
        .register(registry);
    return this;
  }

  /** Adds the page to the admin listener. */
  public void addPage(AdminServer admin) {
    admin.get(
        "metrics", (rest, reply) -> reply.accept(AdminServer.Reply.figures(registry.scrape())));
  }
}
