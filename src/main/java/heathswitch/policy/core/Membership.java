package heathswitch.policy.core;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.SubsetRole;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Tracks the servers by the list from discovery: which are known, in service and cold. Calls
 * discovery where the balancer has to subscribe itself.
 */
final class Membership {
  /** A cold server gets at most this share of its fair part of the traffic, times its warm-up. */
  static final double COLD_BUDGET_SHARE = 0.9;

  Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  final Map<Long, Server> servers = new HashMap<>();
  private final List<Server> cold = new ArrayList<>();

  /** Servers in the balancer's zone or subset. */
  final WorkingSet near;

  /** Servers in other zones. */
  final WorkingSet far;

  /** Servers outside the balancer's subset. */
  final WorkingSet spare;

  private int coldIndex;
  private double maxWeight = 1;
  private final DiscoveryBackoff backoff;
  private final StartTimeEstimator startTimes = new StartTimeEstimator();

  /** Null where a list is valid until the next one arrives. */
  private ListLease lease;

  /** Whether discovery has answered a call and the subscription has not failed since. */
  private boolean subscribed;

  /** Whether a call to discovery is in flight. */
  private boolean calling;

  /** Whether the address of discovery changed at firstMoveNanos and was not called since. */
  private boolean moveCallPending;

  private long firstMoveNanos;
  private final boolean subscribes;
  private ListTrust trust = ListTrust.CURRENT;
  private long callStartedNanos;
  private long callDueNanos;

  Membership(Settings settings, Actions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    this.backoff = new DiscoveryBackoff(random);
    this.subscribes = settings.subscribes();
    long idleNanos = settings.limits().keepAliveNanos();
    this.near = new WorkingSet(random, idleNanos, WorkingSet.MIN_MEMBERS, this::allowedByList);
    this.far = new WorkingSet(random, idleNanos, WorkingSet.MIN_MEMBERS, this::allowedByList);
    this.spare = new WorkingSet(random, idleNanos, 0, this::allowedByList);
  }

  /** Schedules the first call, at a random time since all balancers may start at once. */
  void start(long nowNanos) {
    if (subscribes) {
      scheduleCall(nowNanos, backoff.firstCall(settings.obligations().subscribeWithinNanos()));
    }
  }

  /** From now on a list that is not confirmed may be used for a limited time only. */
  void limitListAge(long nowNanos, long deliveryNanos) {
    lease = new ListLease(nowNanos, deliveryNanos, !subscribes);
    if (subscribes && callDueNanos - nowNanos > deliveryNanos) {
      // The first call was spread over the time allowed for subscribing, which may be longer; it
      // must come before the balancer can count as informed of a change.
      scheduleCall(nowNanos, (callDueNanos - nowNanos) % deliveryNanos);
    }
  }

  /**
   * Schedules the next call in place of any earlier schedule. With more than one call at a time all
   * balancers together would overload discovery.
   */
  private void scheduleCall(long nowNanos, long delayNanos) {
    callDueNanos = nowNanos + delayNanos;
    actions.setTimer(delayNanos, Balancer.SUBSCRIBE_TIMER);
  }

  /** A timer for a call has fired: calls discovery if there is no subscription. */
  void onSubscribeTimer(long nowNanos) {
    if (nowNanos < callDueNanos - Balancer.TIMER_SLACK_NANOS) {
      return;
    }
    if (!subscribed) {
      call(nowNanos);
    }
    scheduleCall(nowNanos, backoff.repeatCall(settings.obligations().subscribeWithinNanos()));
  }

  /** Calls discovery for a watch. */
  private void call(long nowNanos) {
    moveCallPending = false;
    if (!calling) {
      callStartedNanos = nowNanos; // A call in flight keeps its start time.
    }
    calling = true;
    actions.watch(true);
  }

  /** The address of discovery has changed; there is no subscription at the new one yet. */
  void onDiscoveryMoved(long nowNanos) {
    if (!moveCallPending) {
      moveCallPending = true;
      firstMoveNanos = nowNanos;
    }
    if (lease != null) {
      lease.onDiscoveryMoved(nowNanos);
    }
    if (subscribes) {
      subscribed = false;
      calling = false;
      scheduleCall(nowNanos, backoff.afterMove(nowNanos - firstMoveNanos));
    }
  }

  /** Discovery has confirmed that the list is current. */
  void onListConfirmed(long nowNanos) {
    startTimes.onContact(nowNanos);
    if (lease != null) {
      lease.onListConfirmed(nowNanos);
      trust(nowNanos);
    }
  }

  /**
   * How far the list may be used now. {@link #allowedByList} goes by the result until this is
   * called again.
   */
  ListTrust trust(long nowNanos) {
    ListTrust now =
        lease == null ? ListTrust.CURRENT : lease.trust(nowNanos, settings.obligations());
    if (now != trust) {
      actions.log(
          "list " + trust + " until now, from now on " + now + "; confirmed " + age(nowNanos));
      trust = now;
    }
    return now;
  }

  private String age(long nowNanos) {
    return lease.ageNanos(nowNanos) / 1_000_000 + " ms ago";
  }

  /** Whether the list allows sending to a server; {@link #trust} must be called before. */
  boolean allowedByList(Server server, long nowNanos) {
    return switch (trust) {
      case CURRENT -> true;
      case SERVING_ONLY ->
          ListLease.recentlyServed(server.lastServedSentNanos, nowNanos, settings.obligations());
      case NONE -> false;
    };
  }

  /** Whether the list allows sending to no server at all. */
  boolean noneAllowedByList(long nowNanos) {
    return switch (trust(nowNanos)) {
      case CURRENT -> false;
      case SERVING_ONLY ->
          servers.values().stream().noneMatch(server -> allowedByList(server, nowNanos));
      case NONE -> true;
    };
  }

  /** A call has failed or a watch has broken: schedules the next call. */
  private void onFailure(long nowNanos, ListUpdate update) {
    boolean callFailed = calling;
    subscribed = false;
    calling = false;
    if (lease != null) {
      recordFailure(nowNanos, update, callFailed);
    }
    if (subscribes && !moveCallPending) {
      scheduleCall(nowNanos, backoffAfter(update, callFailed, nowNanos - callStartedNanos));
    }
  }

  /** Wait before the next call after a failure. */
  private long backoffAfter(ListUpdate update, boolean callFailed, long durationNanos) {
    if (callFailed && durationNanos > ListLease.PROMPT_REJECTION_NANOS) {
      return backoff.afterTimeout();
    }
    return callFailed && update == ListUpdate.REJECTED
        ? backoff.afterRejection()
        : backoff.afterFailure();
  }

  /** Passes a failure on to the lease. */
  private void recordFailure(long nowNanos, ListUpdate update, boolean callFailed) {
    if (!subscribes && update == ListUpdate.SILENT) {
      lease.onAgentSilent(nowNanos);
    } else if (!callFailed || update == ListUpdate.NOT_SENT) {
      lease.onWatchBroken(nowNanos);
    } else if (update == ListUpdate.REJECTED) {
      lease.onCallRejected(callStartedNanos, nowNanos, settings.obligations());
    } else if (update == ListUpdate.TRUNCATED) {
      lease.onAnswerTruncated();
    } else {
      lease.onCallUnanswered(callStartedNanos, settings.obligations());
    }
  }

  /** Applies an update of the list; after a failed call schedules the next one. */
  void onListUpdate(long nowNanos, ListUpdate update, List<ServerEntry> entries) {
    if (update.isFailure()) {
      onFailure(nowNanos, update);
      return;
    }
    if (update.answersCall() && calling) {
      subscribed = true;
      calling = false;
      backoff.reset();
    }
    if (update.isFull()) {
      dropUnlisted(entries);
    }
    startTimes.onListUpdate(nowNanos, update, entries, settings.obligations().warmUpNanos());
    for (ServerEntry entry : entries) {
      applyEntry(nowNanos, entry);
    }
    // A removed server is forgotten after its last call; if it is listed again it starts as new.
    servers.values().removeIf(it -> it.health == Health.GONE && it.inFlight == 0);
    maxWeight = servers.values().stream().mapToDouble(server -> server.weight).max().orElse(1);
  }

  int poolSize() {
    return near.poolSize() + far.poolSize();
  }

  /** Number of servers by state, and the sum of the windows of those in use. */
  String summary(long nowNanos) {
    int ejectedCount = 0;
    int unresponsiveCount = 0;
    int inFlight = 0;
    double windows = 0;
    for (Server server : servers.values()) {
      inFlight += server.inFlight;
      boolean ejected = server.ejected(nowNanos);
      boolean unresponsive = !ejected && server.unresponsive(nowNanos);
      ejectedCount += ejected ? 1 : 0;
      unresponsiveCount += unresponsive ? 1 : 0;
      windows +=
          ejected || unresponsive || server.health != Health.READY ? 0 : server.window.window();
    }
    return String.format(
        "%d servers, cold %d, resting %d, silent %d, near %s, far %s, calls %d in %.0f",
        servers.size(), cold.size(), ejectedCount, unresponsiveCount, near, far, inFlight, windows);
  }

  /** The working set that a server belongs to while it is in service and warm. */
  WorkingSet setOf(Server server) {
    return server.role == SubsetRole.SPARE ? spare : server.near ? near : far;
  }

  /** Marks the servers as removed that a full list does not contain. */
  private void dropUnlisted(List<ServerEntry> entries) {
    Set<Long> listed = entries.stream().map(ServerEntry::id).collect(Collectors.toSet());
    for (Server server : servers.values()) {
      if (!listed.contains(server.id)) {
        removeFromSets(server);
        server.health = Health.GONE;
      }
    }
  }

  private void applyEntry(long nowNanos, ServerEntry entry) {
    Server server = servers.computeIfAbsent(entry.id(), Server::new);
    boolean restarted =
        entry.startedNanos() != server.startedNanos
            && server.startTimeChanged(
                entry.startedNanos(),
                nowNanos - startTimes.ageNanos(nowNanos, entry.startedNanos()));
    removeFromSets(server);
    server.update(entry, settings.zone());
    if (restarted) {
      server.coldTokens = random.nextDouble();
      server.coldFilledNanos = nowNanos;
      server.consecutiveEjections = 0;
      server.ejectedUntilNanos = nowNanos;
    }
    boolean ready = server.health == Health.READY;
    if (ready && isCold(server, nowNanos)) {
      cold.add(server);
    } else if (ready) {
      setOf(server).add(server);
    }
  }

  private void removeFromSets(Server server) {
    if (server.poolIndex >= 0) {
      setOf(server).remove(server);
    }
    cold.remove(server);
  }

  /** Whether a server is within the warm-up time after its start. */
  boolean isCold(Server server, long nowNanos) {
    return server.startedNanos > 0
        && nowNanos - server.coldSinceNanos < settings.obligations().warmUpNanos();
  }

  /**
   * A cold server that may take a call now, or null. A cold server gets a share of the rate of a
   * warm one, which grows with the slowest permitted warm-up. Its token bucket starts with a random
   * level, or all balancers would send at once.
   */
  Server nextCold(Request request, long nowNanos, double ratePerSecond) {
    if (cold.isEmpty()) {
      return null;
    }
    coldIndex = (coldIndex + 1) % cold.size();
    Server server = cold.get(coldIndex);
    if (!isCold(server, nowNanos)) {
      cold.remove(coldIndex);
      setOf(server).add(server);
      return null;
    }
    double fairRate = ratePerSecond / Math.max(1, poolSize() + cold.size());
    // The rate is per server, not per weight: a heavy server gets it whole, a lighter one less.
    fairRate *= server.weight / maxWeight;
    double elapsedSeconds = (nowNanos - server.coldFilledNanos) / 1e9;
    server.coldFilledNanos = nowNanos;
    double filled = elapsedSeconds * fairRate * COLD_BUDGET_SHARE * warmUpShare(server, nowNanos);
    server.coldTokens = Math.min(1.5, server.coldTokens + filled);
    if (server.coldTokens < 1
        || server.role == SubsetRole.SPARE
        || !server.hasRoom(nowNanos)
        || !allowedByList(server, nowNanos)) {
      return null;
    }
    return request.maySendTo(server, nowNanos) ? server : null;
  }

  /** Share of its full capacity that a cold server is assumed to have at present. */
  private double warmUpShare(Server server, long nowNanos) {
    double start = settings.obligations().startCapacity();
    double age = (double) (nowNanos - server.coldSinceNanos) / settings.obligations().warmUpNanos();
    return start + (1 - start) * Math.max(0, Math.min(1, age));
  }
}
