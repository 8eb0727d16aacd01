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
  static final int MIN_MEMBERS = 16;

  static final int MAX_MEMBERS = 48;

  /** Random draws from the pool before the search is given up. */
  static final int MAX_DRAWS = 6;

  /** Calls of the lighter of two servers that count as no difference. */
  static final double TIE_CALLS = 2;

  /** Whether a server may be used at all at a time, whatever room it has. */
  interface Eligibility {
    boolean test(Server server, long nowNanos);
  }

  /** By what they speak: a request draws from those of its protocol alone and those of both. */
  private final List<List<Server>> poolsByProtocols =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  /** Members by what they speak. */
  private final int[] membersByProtocols = new int[RequestProtocol.PROTOCOL_SETS];

  private final List<Server> members = new ArrayList<>();
  private final Eligibility eligibility;
  private final SplittableRandom random;
  private final long maxIdleNanos;
  private final int minMembers;

  /** Servers of the pool that this balancer is to use: all of them are members if they can be. */
  private int ownCount;

  private double virtualTime;

  WorkingSet(SplittableRandom random, long maxIdleNanos, int minMembers, Eligibility eligibility) {
    this.eligibility = eligibility;
    this.random = random;
    this.maxIdleNanos = maxIdleNanos;
    this.minMembers = minMembers;
  }

  int poolSize() {
    return poolsByProtocols.stream().mapToInt(List::size).sum();
  }

  @Override
  public String toString() {
    return members.size() + "/" + poolSize();
  }

  void add(Server server) {
    server.poolIndex = poolsByProtocols.get(server.protocols).size();
    poolsByProtocols.get(server.protocols).add(server);
    ownCount += server.role == SubsetRole.OWN ? 1 : 0;
  }

  void remove(Server server) {
    leave(server);
    ownCount -= server.role == SubsetRole.OWN ? 1 : 0;
    List<Server> pool = poolsByProtocols.get(server.protocols);
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
    membersByProtocols[server.protocols]--;
    Server last = members.get(members.size() - 1);
    members.set(server.memberIndex, last);
    last.memberIndex = server.memberIndex;
    members.remove(members.size() - 1);
    server.memberIndex = -1;
  }

  /** The server for this request, or null where none has room. */
  Server choose(Request request, long nowNanos) {
    if (memberCount(request) < Math.max(minMembers, ownCount)) {
      join(request, nowNanos);
    }
    Server best = best(request, nowNanos);
    if (best == null && memberCount(request) < Math.max(MAX_MEMBERS, ownCount)) {
      best = join(request, nowNanos);
    }
    return best != null && request.maySendTo(best, nowNanos) ? best : null;
  }

  private Server best(Request request, long nowNanos) {
    Server best = null;
    for (int i = members.size() - 1; i >= 0; i--) {
      Server server = members.get(i);
      if (nowNanos - server.lastUsedNanos > maxIdleNanos || server.ejected(nowNanos)) {
        leave(server);
      } else if (server.hasRoom(nowNanos)
          && eligibility.test(server, nowNanos)
          && request.maySendTo(server, nowNanos)
          && (best == null || preferred(server, best))) {
        best = server;
      }
    }
    return best;
  }

  /**
   * Fewest own calls first; among equals the one whose turn is longest ago. Where weights differ,
   * calls for the weight, unless both are within some calls of the lighter; then by virtual time.
   */
  private static boolean preferred(Server one, Server other) {
    if (one.weight != other.weight) {
      double loadDifference = one.inFlight / one.weight - other.inFlight / other.weight;
      boolean tied = Math.abs(loadDifference) < TIE_CALLS / Math.min(one.weight, other.weight);
      return tied ? one.virtualTurn < other.virtualTurn : loadDifference < 0;
    }
    return one.inFlight != other.inFlight
        ? one.inFlight < other.inFlight
        : one.lastUsedNanos < other.lastUsedNanos;
  }

  /** The server takes a call: its next turn comes the later the lighter it is. */
  void onSend(Server server) {
    virtualTime = Math.max(virtualTime, server.virtualTurn);
    server.virtualTurn = virtualTime + 1 / server.weight;
  }

  /** Members that speak the request's protocol. */
  private int memberCount(Request request) {
    return membersByProtocols[request.protocol.protocolBit()]
        + membersByProtocols[RequestProtocol.PROTOCOL_SETS - 1];
  }

  private Server join(Request request, long nowNanos) {
    Server server =
        drawFromPool(
            request,
            it -> it.memberIndex < 0 && it.hasRoom(nowNanos) && eligibility.test(it, nowNanos));
    if (server != null) {
      membersByProtocols[server.protocols]++;
      server.memberIndex = members.size();
      members.add(server);
      server.virtualTurn = Math.max(server.virtualTurn, virtualTime);
      server.lastUsedNanos = Math.max(server.lastUsedNanos, nowNanos - maxIdleNanos / 2);
    }
    return server;
  }

  /** A ready server whatever its window says, for when all are out of service. */
  Server anyReady(Request request, long nowNanos) {
    return drawFromPool(
        request,
        it ->
            it.inFlight < it.window.size()
                && eligibility.test(it, nowNanos)
                && request.maySendTo(it, nowNanos));
  }

  private Server drawFromPool(Request request, Predicate<Server> condition) {
    List<Server> single = poolsByProtocols.get(request.protocol.protocolBit());
    List<Server> both = poolsByProtocols.get(RequestProtocol.PROTOCOL_SETS - 1);
    int total = single.size() + both.size();
    for (int i = 0; i < MAX_DRAWS && total > 0; i++) {
      int index = random.nextInt(total);
      Server server = index < single.size() ? single.get(index) : both.get(index - single.size());
      if (condition.test(server)) {
        return server;
      }
    }
    return null;
  }
}
