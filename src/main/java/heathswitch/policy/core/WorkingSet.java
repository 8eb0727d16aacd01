package heathswitch.policy.core;

import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.SubsetRole;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * The adaptive set over one pool of servers: the member with room and fewest own calls takes the
 * call; when all are full a random server of the pool joins; idle members leave.
 */
final class WorkingSet {
  /** Members below which the set widens even while members have room. */
  static final int LEAST = 16;

  static final int MOST = 48;

  /** Random draws from the pool before the search is given up. */
  static final int DRAWS = 6;

  /** Calls of the lighter of two servers that count as no difference. */
  static final double LEVEL_CALLS = 2;

  /** Whether a server may be used at all at a time, whatever room it has. */
  interface Usable {
    boolean test(Server server, long nowNanos);
  }

  /** By what they speak: a request draws from those of its protocol alone and those of both. */
  private final List<List<Server>> pools =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  /** Members by what they speak. */
  private final int[] joined = new int[RequestProtocol.PROTOCOL_SETS];

  private final List<Server> members = new ArrayList<>();
  private final Usable usable;
  private final SplittableRandom random;
  private final long idleNanos;
  private final int least;

  /** Servers of the pool that this balancer is to use: all of them are members if they can be. */
  private int own;

  private double turn;

  WorkingSet(SplittableRandom random, long idleNanos, int least, Usable usable) {
    this.usable = usable;
    this.random = random;
    this.idleNanos = idleNanos;
    this.least = least;
  }

  int poolSize() {
    return pools.stream().mapToInt(List::size).sum();
  }

  @Override
  public String toString() {
    return members.size() + "/" + poolSize();
  }

  void add(Server server) {
    server.poolIndex = pools.get(server.speaks).size();
    pools.get(server.speaks).add(server);
    own += server.part == SubsetRole.OWN ? 1 : 0;
  }

  void remove(Server server) {
    leave(server);
    own -= server.part == SubsetRole.OWN ? 1 : 0;
    List<Server> pool = pools.get(server.speaks);
    Server last = pool.get(pool.size() - 1);
    pool.set(server.poolIndex, last);
    last.poolIndex = server.poolIndex;
    pool.remove(pool.size() - 1);
    server.poolIndex = -1;
  }

  void leave(Server server) {
    if (server.memberIndex < 0) {
      return;
    }
    joined[server.speaks]--;
    Server last = members.get(members.size() - 1);
    members.set(server.memberIndex, last);
    last.memberIndex = server.memberIndex;
    members.remove(members.size() - 1);
    server.memberIndex = -1;
  }

  /** The server for this request, or null where none has room. */
  Server choose(Request request, long nowNanos) {
    if (able(request) < Math.max(least, own)) {
      join(request, nowNanos);
    }
    Server best = best(request, nowNanos);
    if (best == null && able(request) < Math.max(MOST, own)) {
      best = join(request, nowNanos);
    }
    return best != null && request.maySendTo(best, nowNanos) ? best : null;
  }

  private Server best(Request request, long nowNanos) {
    Server best = null;
    for (int i = members.size() - 1; i >= 0; i--) {
      Server server = members.get(i);
      if (nowNanos - server.usedNanos > idleNanos || server.resting(nowNanos)) {
        leave(server);
      } else if (server.hasRoom(nowNanos)
          && usable.test(server, nowNanos)
          && request.maySendTo(server, nowNanos)
          && (best == null || before(server, best))) {
        best = server;
      }
    }
    return best;
  }

  /**
   * Fewest own calls first; among equals the one whose turn is longest ago. Where weights differ,
   * calls for the weight, unless both are within some calls of the lighter; then by virtual time.
   */
  private static boolean before(Server one, Server other) {
    if (one.weight != other.weight) {
      double more = one.inFlight / one.weight - other.inFlight / other.weight;
      boolean level = Math.abs(more) < LEVEL_CALLS / Math.min(one.weight, other.weight);
      return level ? one.due < other.due : more < 0;
    }
    return one.inFlight != other.inFlight
        ? one.inFlight < other.inFlight
        : one.usedNanos < other.usedNanos;
  }

  /** The server takes a call: its next turn comes the later the lighter it is. */
  void taken(Server server) {
    turn = Math.max(turn, server.due);
    server.due = turn + 1 / server.weight;
  }

  /** Members that speak the request's protocol. */
  private int able(Request request) {
    return joined[request.form.protocolBit()] + joined[RequestProtocol.PROTOCOL_SETS - 1];
  }

  private Server join(Request request, long nowNanos) {
    Server server =
        find(
            request, it -> it.memberIndex < 0 && it.hasRoom(nowNanos) && usable.test(it, nowNanos));
    if (server != null) {
      joined[server.speaks]++;
      server.memberIndex = members.size();
      members.add(server);
      server.due = Math.max(server.due, turn);
      server.usedNanos = Math.max(server.usedNanos, nowNanos - idleNanos / 2);
    }
    return server;
  }

  /** A ready server whatever its window says, for when all are out of service. */
  Server any(Request request, long nowNanos) {
    return find(
        request,
        it ->
            it.inFlight < it.window.size()
                && usable.test(it, nowNanos)
                && request.maySendTo(it, nowNanos));
  }

  private Server find(Request request, Predicate<Server> fits) {
    List<Server> alone = pools.get(request.form.protocolBit());
    List<Server> both = pools.get(RequestProtocol.PROTOCOL_SETS - 1);
    int all = alone.size() + both.size();
    for (int i = 0; i < DRAWS && all > 0; i++) {
      int at = random.nextInt(all);
      Server server = at < alone.size() ? alone.get(at) : both.get(at - alone.size());
      if (fits.test(server)) {
        return server;
      }
    }
    return null;
  }
}
