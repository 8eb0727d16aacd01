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

/** Follows the list of servers: who is known, in service, cold; and asks where it must be asked. */
final class Membership {
  /** A cold server gets at most this multiple of its fair part of the traffic. */
  static final double COLD_HEADROOM = 0.9;

  Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  final Map<Long, Server> known = new HashMap<>();
  private final List<Server> cold = new ArrayList<>();
  final WorkingSet near;
  final WorkingSet far;
  final WorkingSet spare;
  private int coldTurn;
  private double heaviest = 1;
  private final DiscoveryBackoff calls;
  private final StartTimeEstimator starts = new StartTimeEstimator();

  /** Null where a list holds until the next one comes. */
  private ListLease lease;

  private boolean subscribed;
  private boolean calling;

  /** Whether discovery has another address since movedNanos and was not called there yet. */
  private boolean moving;

  private long movedNanos;
  private final boolean asks;
  private ListTrust trust = ListTrust.CURRENT;
  private long calledNanos;
  private long callDueNanos;

  Membership(Settings settings, Actions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    this.calls = new DiscoveryBackoff(random);
    this.asks = settings.subscribes();
    long idleNanos = settings.limits().keepAliveNanos();
    this.near = new WorkingSet(random, idleNanos, WorkingSet.LEAST, this::mayUse);
    this.far = new WorkingSet(random, idleNanos, WorkingSet.LEAST, this::mayUse);
    this.spare = new WorkingSet(random, idleNanos, 0, this::mayUse);
  }

  /** Plans the first call: spread by seed, since all instances may start at once. */
  void start(long nowNanos) {
    if (asks) {
      callIn(nowNanos, calls.first(settings.obligations().subscribeWithinNanos()));
    }
  }

  /** From now on a list that is not confirmed may be acted on for a limited time only. */
  void limitAge(long nowNanos, long toldNanos) {
    lease = new ListLease(nowNanos, toldNanos, !asks);
    if (asks && callDueNanos - nowNanos > toldNanos) {
      // Spread over the time for asking the first call would come when changes have been told.
      callIn(nowNanos, (callDueNanos - nowNanos) % toldNanos);
    }
  }

  /** Only the newest plan counts: one call at a time, or all instances together drown discovery. */
  private void callIn(long nowNanos, long delayNanos) {
    callDueNanos = nowNanos + delayNanos;
    actions.setTimer(delayNanos, Balancer.ASK);
  }

  /** A timer for a call has come due: calls if the subscription is missing. */
  void ask(long nowNanos) {
    if (nowNanos < callDueNanos - Balancer.TIMER_SLACK_NANOS) {
      return;
    }
    if (!subscribed) {
      call(nowNanos);
    }
    callIn(nowNanos, calls.repeat(settings.obligations().subscribeWithinNanos()));
  }

  private void call(long nowNanos) {
    moving = false;
    if (!calling) {
      calledNanos = nowNanos; // Else the one that is out keeps its turn.
    }
    calling = true;
    actions.watch(true);
  }

  /** Discovery is to be asked at another address, where nobody is asked yet. */
  void moved(long nowNanos) {
    if (!moving) {
      moving = true;
      movedNanos = nowNanos;
    }
    if (lease != null) {
      lease.moved(nowNanos);
    }
    if (asks) {
      subscribed = false;
      calling = false;
      callIn(nowNanos, calls.settle(nowNanos - movedNanos));
    }
  }

  /** Discovery has said that the list is current. */
  void confirmed(long nowNanos) {
    starts.heard(nowNanos);
    if (lease != null) {
      lease.confirmed(nowNanos);
      trust(nowNanos);
    }
  }

  /** How far the list may be acted on now; what {@link #mayUse} goes by until the next look. */
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

  /** Whether the list lets a server be sent to; {@link #trust} has been asked at this time. */
  boolean mayUse(Server server, long nowNanos) {
    return switch (trust) {
      case CURRENT -> true;
      case SERVING_ONLY -> ListLease.serving(server.tookNanos, nowNanos, settings.obligations());
      case NONE -> false;
    };
  }

  /** Whether the list lets no server at all be sent to. */
  boolean suspended(long nowNanos) {
    return switch (trust(nowNanos)) {
      case CURRENT -> false;
      case SERVING_ONLY -> known.values().stream().noneMatch(server -> mayUse(server, nowNanos));
      case NONE -> true;
    };
  }

  /** A call has failed or a watch has broken: another call is planned. */
  private void onFailure(long nowNanos, ListUpdate form) {
    boolean called = calling;
    subscribed = false;
    calling = false;
    if (lease != null) {
      tellLease(nowNanos, form, called);
    }
    if (asks && !moving) {
      callIn(nowNanos, waitAfter(form, called, nowNanos - calledNanos));
    }
  }

  private long waitAfter(ListUpdate form, boolean called, long tookNanos) {
    if (called && tookNanos > ListLease.PROMPT_NANOS) {
      return calls.afterWait();
    }
    return called && form == ListUpdate.REJECTED ? calls.afterTurnedAway() : calls.afterFailure();
  }

  private void tellLease(long nowNanos, ListUpdate form, boolean called) {
    if (!asks && form == ListUpdate.SILENT) {
      lease.agentSilent(nowNanos);
    } else if (!called || form == ListUpdate.NOT_SENT) {
      lease.broken(nowNanos);
    } else if (form == ListUpdate.REJECTED) {
      lease.turnedAway(calledNanos, nowNanos, settings.obligations());
    } else if (form == ListUpdate.TRUNCATED) {
      lease.cutShort();
    } else {
      lease.unanswered(calledNanos, settings.obligations());
    }
  }

  /** Takes news; after a call that failed another is planned. */
  void onNews(long nowNanos, ListUpdate form, List<ServerEntry> entries) {
    if (form.isFailure()) {
      onFailure(nowNanos, form);
      return;
    }
    if (form.answersCall() && calling) {
      subscribed = true;
      calling = false;
      calls.answered();
    }
    if (form.isFull()) {
      dropMissing(entries);
    }
    starts.onList(nowNanos, form, entries, settings.obligations().warmUpNanos());
    for (ServerEntry entry : entries) {
      apply(nowNanos, entry);
    }
    // One that is gone is dropped with its last call; if it comes back it is met as a stranger.
    known.values().removeIf(it -> it.health == Health.GONE && it.inFlight == 0);
    heaviest = known.values().stream().mapToDouble(server -> server.weight).max().orElse(1);
  }

  int poolSize() {
    return near.poolSize() + far.poolSize();
  }

  /** Servers by state, and the sum of the windows of those that serve. */
  String figures(long nowNanos) {
    int resting = 0;
    int silent = 0;
    int inFlight = 0;
    double windows = 0;
    for (Server server : known.values()) {
      inFlight += server.inFlight;
      boolean rests = server.resting(nowNanos);
      boolean quiet = !rests && server.silent(nowNanos);
      resting += rests ? 1 : 0;
      silent += quiet ? 1 : 0;
      windows += rests || quiet || server.health != Health.READY ? 0 : server.window.window();
    }
    return String.format(
        "%d servers, cold %d, resting %d, silent %d, near %s, far %s, calls %d in %.0f",
        known.size(), cold.size(), resting, silent, near, far, inFlight, windows);
  }

  WorkingSet setOf(Server server) {
    return server.part == SubsetRole.SPARE ? spare : server.near ? near : far;
  }

  private void dropMissing(List<ServerEntry> entries) {
    Set<Long> listed = entries.stream().map(ServerEntry::id).collect(Collectors.toSet());
    for (Server server : known.values()) {
      if (!listed.contains(server.id)) {
        withdraw(server);
        server.health = Health.GONE;
      }
    }
  }

  private void apply(long nowNanos, ServerEntry entry) {
    Server server = known.computeIfAbsent(entry.id(), Server::new);
    boolean restarted =
        entry.startedNanos() != server.startedNanos
            && server.started(
                entry.startedNanos(), nowNanos - starts.ageNanos(nowNanos, entry.startedNanos()));
    withdraw(server);
    server.describe(entry, settings.zone());
    if (restarted) {
      server.coldTokens = random.nextDouble();
      server.coldFilledNanos = nowNanos;
      server.failures = 0;
      server.restUntilNanos = nowNanos;
    }
    boolean serves = server.health == Health.READY;
    if (serves && coldNow(server, nowNanos)) {
      cold.add(server);
    } else if (serves) {
      setOf(server).add(server);
    }
  }

  private void withdraw(Server server) {
    if (server.poolIndex >= 0) {
      setOf(server).remove(server);
    }
    cold.remove(server);
  }

  boolean coldNow(Server server, long nowNanos) {
    return server.startedNanos > 0
        && nowNanos - server.coldSinceNanos < settings.obligations().warmUpNanos();
  }

  /**
   * A cold server that may take a call now, or null. It gets a part of a warm one's rate, growing
   * as the slowest permitted warm-up does; buckets start at random, or all would send at once.
   */
  Server coldTurn(Request request, long nowNanos, double ratePerSecond) {
    if (cold.isEmpty()) {
      return null;
    }
    coldTurn = (coldTurn + 1) % cold.size();
    Server server = cold.get(coldTurn);
    if (!coldNow(server, nowNanos)) {
      cold.remove(coldTurn);
      setOf(server).add(server);
      return null;
    }
    double fair = ratePerSecond / Math.max(1, poolSize() + cold.size());
    fair *= server.weight / heaviest; // A light server starts with little; a heavy one is fair.
    double elapsed = (nowNanos - server.coldFilledNanos) / 1e9;
    server.coldFilledNanos = nowNanos;
    double filled = elapsed * fair * COLD_HEADROOM * capacityShare(server, nowNanos);
    server.coldTokens = Math.min(1.5, server.coldTokens + filled);
    if (server.coldTokens < 1
        || server.part == SubsetRole.SPARE
        || !server.hasRoom(nowNanos)
        || !mayUse(server, nowNanos)) {
      return null;
    }
    return request.maySendTo(server, nowNanos) ? server : null;
  }

  private double capacityShare(Server server, long nowNanos) {
    double start = settings.obligations().startCapacity();
    double age = (double) (nowNanos - server.coldSinceNanos) / settings.obligations().warmUpNanos();
    return start + (1 - start) * Math.max(0, Math.min(1, age));
  }
}
