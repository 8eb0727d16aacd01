package heathswitch.policy.core;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.Tenant;
import java.util.ArrayList;
import java.util.List;

/** A balancer with a clock that the test advances; records its actions. */
final class BalancerHarness implements Actions {
  static final long MS = 1_000_000L;
  static final long SECOND = 1000 * MS;

  /** A sent attempt. ReplayTest compares its text form with a recording. */
  record Sent(long request, int attempt, long server, long atNanos) {}

  /** A timer that has been set and has not fired. */
  record Timer(long dueNanos, long token) {}

  final List<Sent> sent = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<String> cancelled = new ArrayList<>();
  final List<Timer> timers = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  int discoveryCalls;
  long now = 100 * SECOND;
  final Balancer balancer;

  BalancerHarness(Settings settings) {
    this(settings, 42);
  }

  BalancerHarness(Settings settings, long seed) {
    balancer = new Balancer(settings, seed, this);
    balancer.start(now);
  }

  static RequestClass safeClass(String name) {
    return requestClass(name, RequestClass.Effect.SAFE, RequestClass.Group.ALL);
  }

  static RequestClass requestClass(
      String name, RequestClass.Effect effect, RequestClass.Group group) {
    return new RequestClass(name, effect, group, 1000 * MS, 4000 * MS, 2000 * MS, 1, 0.2, false);
  }

  static Settings settings(int tier, RequestClass... classes) {
    return settings(tier, true, false, classes);
  }

  static Settings settings(int tier, boolean hedge, boolean subscribes, RequestClass... classes) {
    return new Settings(
        List.of(classes),
        List.<Tenant>of(),
        1,
        false,
        tier,
        0,
        4,
        "a",
        subscribes,
        new Settings.Limits(4, hedge, true, 5 * SECOND, 250 * MS, 2 * SECOND),
        new Settings.Obligations(20 * MS, SECOND, 10 * SECOND, 0.15, 20 * SECOND, 2.5, 2 * SECOND));
  }

  /** The same settings with another limit for subscribing at discovery. */
  static Settings withSubscribeLimit(Settings base, long limitNanos) {
    return withObligations(base, base.obligations().stopSendingWithinNanos(), limitNanos);
  }

  /** The same settings with another grace period for draining servers. */
  static Settings withGrace(Settings base, long graceNanos) {
    return withObligations(base, graceNanos, base.obligations().subscribeWithinNanos());
  }

  private static Settings withObligations(Settings base, long graceNanos, long subscribeNanos) {
    Settings.Obligations obligations = base.obligations();
    return new Settings(
        base.classes(),
        base.tenants(),
        base.overQuotaFactor(),
        base.worthByWork(),
        base.tier(),
        base.instance(),
        base.instances(),
        base.zone(),
        base.subscribes(),
        base.limits(),
        new Settings.Obligations(
            obligations.answerGraceNanos(),
            graceNanos,
            subscribeNanos,
            obligations.startCapacity(),
            obligations.warmUpNanos(),
            obligations.coldBudgetMultiple(),
            obligations.coldBudgetWindowNanos()));
  }

  static ServerEntry ready(long id) {
    return entry(id, Health.READY, 0);
  }

  static ServerEntry entry(long id, Health health, long startedNanos) {
    return new ServerEntry(id, "a", "kind", id % 2, health, 1, startedNanos);
  }

  BalancerHarness servers(ServerEntry... entries) {
    balancer.onListUpdate(now, ListUpdate.FULL, List.of(entries));
    return this;
  }

  BalancerHarness readyServers(int count) {
    ServerEntry[] entries = new ServerEntry[count];
    for (int i = 0; i < count; i++) {
      entries[i] = ready(i + 1);
    }
    return servers(entries);
  }

  void request(long id, String className) {
    balancer.onRequest(now, id, className, null, 4 * SECOND, false, RequestProtocol.HTTP1);
  }

  Sent lastSent() {
    return sent.get(sent.size() - 1);
  }

  void outcome(Sent attempt, Outcome outcome, boolean terminal) {
    balancer.onOutcome(
        now, attempt.request(), attempt.attempt(), outcome, now - attempt.atNanos(), terminal);
  }

  /** Advances the clock and fires the timers that are due on the way. */
  void advance(long nanos) {
    long until = now + nanos;
    while (true) {
      Timer next = null;
      for (Timer timer : timers) {
        if (timer.dueNanos() <= until && (next == null || timer.dueNanos() < next.dueNanos())) {
          next = timer;
        }
      }
      if (next == null) {
        break;
      }
      timers.remove(next);
      now = Math.max(now, next.dueNanos());
      balancer.onTimer(now, next.token());
    }
    now = until;
  }

  @Override
  public void send(long requestId, long serverId, long attemptDeadlineNanos) {
    int number = (int) sent.stream().filter(s -> s.request() == requestId).count();
    sent.add(new Sent(requestId, number, serverId, now));
  }

  @Override
  public void cancel(long requestId, int attempt) {
    cancelled.add(requestId + "/" + attempt);
  }

  @Override
  public void refuse(long requestId, long retryAfterNanos) {
    refused.add(requestId);
  }

  @Override
  public void fail(long requestId) {
    failed.add(requestId);
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    timers.add(new Timer(now + delayNanos, token));
  }

  @Override
  public void watch(boolean enable) {
    discoveryCalls++;
  }

  @Override
  public void fetch() {}

  @Override
  public void log(String message) {
    logs.add(message);
  }
}
