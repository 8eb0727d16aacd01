package meadowtrack.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import meadowtrack.api.Actions;
import meadowtrack.api.Health;
import meadowtrack.api.ListForm;
import meadowtrack.api.Part;
import meadowtrack.api.ServerEntry;
import meadowtrack.api.Settings;

/** Follows the list of servers: who is known, in service, cold; and asks where it must be asked. */
final class Membership {
  /** Part of the time limit over which instances spread their first ask. */
  static final double ASK_SPREAD = 0.6;

  /** Part of the time limit after which an ask without an answer is repeated. */
  static final double ASK_AGAIN = 0.9;

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
  private int failedAsks;
  private boolean subscribed;
  private boolean asked;

  Membership(Settings settings, Actions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    long idleNanos = settings.limits().keepAliveNanos();
    this.near = new WorkingSet(random, idleNanos, WorkingSet.LEAST);
    this.far = new WorkingSet(random, idleNanos, WorkingSet.LEAST);
    this.spare = new WorkingSet(random, idleNanos, 0);
  }

  /** Plans the first ask: spread by seed, since all instances may start at once. */
  long firstAskDelayNanos() {
    return (long) (settings.obligations().mustAskInNanos() * ASK_SPREAD * random.nextDouble());
  }

  /** Asks if the subscription is missing; the delay to the next look. */
  long ask() {
    long limit = settings.obligations().mustAskInNanos();
    if (!subscribed) {
      asked = true;
      actions.watch(true);
    }
    return (long) (limit * ASK_AGAIN * (0.7 + 0.3 * random.nextDouble()));
  }

  /** Takes news; the delay to the next ask, or -1 where none is due. */
  long onNews(long nowNanos, ListForm form, List<ServerEntry> entries) {
    if (form == ListForm.BROKEN) {
      subscribed = false;
      long base = 500_000_000L << Math.min(++failedAsks, 3);
      return (long) (base * (0.5 + random.nextDouble()));
    }
    if (form != ListForm.STALE && asked) {
      subscribed = true;
      failedAsks = 0;
    }
    if (form != ListForm.CHANGES) {
      dropMissing(entries);
    }
    for (ServerEntry entry : entries) {
      apply(nowNanos, entry);
    }
    // Machines are replaced under new ids for as long as a balancer runs. One that is gone is
    // dropped when its last call has ended; if it comes back it is met as a stranger.
    known.values().removeIf(it -> it.health == Health.GONE && it.inFlight == 0);
    heaviest = known.values().stream().mapToDouble(server -> server.weight).max().orElse(1);
    return -1;
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
    return server.part == Part.SPARE ? spare : server.near ? near : far;
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
    boolean restarted = entry.startedNanos() > server.startedNanos;
    withdraw(server);
    server.describe(entry, settings.zone());
    if (restarted) {
      server.coldTokens = random.nextDouble();
      server.coldFilledNanos = nowNanos;
      server.failures = 0;
      server.restUntilNanos = nowNanos;
    }
    if (server.health != Health.READY) {
      return;
    }
    if (coldNow(server, nowNanos)) {
      cold.add(server);
    } else {
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
        && nowNanos - server.startedNanos < settings.obligations().warmUpNanos();
  }

  /**
   * A cold server that may take a call now, or null. Its budget is a rate, not a number in flight:
   * a part of what a warm server gets, growing as the slowest permitted warm-up does. Buckets start
   * at a random level, or all balancers would send their first call in the same instant.
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
    if (server.coldTokens < 1 || server.part == Part.SPARE || !server.hasRoom(nowNanos)) {
      return null;
    }
    return request.maySendTo(server, nowNanos) ? server : null;
  }

  private double capacityShare(Server server, long nowNanos) {
    double start = settings.obligations().startCapacity();
    double age = (double) (nowNanos - server.startedNanos) / settings.obligations().warmUpNanos();
    return start + (1 - start) * Math.max(0, Math.min(1, age));
  }
}
