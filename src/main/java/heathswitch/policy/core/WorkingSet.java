package heathswitch.policy.core;

import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.SubsetRole;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * The servers of one pool that the balancer uses at present. A call goes to the member that has
 * room and the fewest calls of this balancer. When all members are full, a random server of the
 * pool joins; members that are idle leave.
 */
final class WorkingSet {
  /** With fewer members the set grows even while its members have room. */
  static final int MIN_MEMBERS = 16;

  /** The set does not grow beyond this, unless the balancer's own servers are more. */
  static final int MAX_MEMBERS = 48;

  /** Random draws from the pool before a search gives up. */
  static final int MAX_DRAWS = 6;

  /**
   * Servers of different weights are tied while their loads differ by less than this many calls of
   * the lighter one.
   */
  static final double TIE_CALLS = 2;

  /** Whether a server may be used at a time at all, regardless of its window. */
  interface Eligibility {
    boolean test(Server server, long nowNanos);
  }

  /** Servers by their set of protocols; a request draws from each set with its protocol. */
  private final List<List<Server>> poolsByProtocols =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  /** Number of members by their set of protocols. */
  private final int[] membersByProtocols = new int[RequestProtocol.PROTOCOL_SETS];

  private final List<Server> members = new ArrayList<>();
  private final Eligibility eligibility;
  private final SplittableRandom random;
  private final long maxIdleNanos;
  private final int minMembers;

  /** Servers with the role OWN; the set grows until it holds as many. */
  private int ownCount;

  /** Latest turn that a member has taken, in virtual time. */
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

  /** Removes a server from the members; it stays in the pool. */
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

  /** The server for this request, or null if none has room. */
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
   * Whether the first server is preferred. With equal weights the one with fewer calls in flight
   * is, and with as many the one that was used longest ago. With different weights the one with
   * fewer calls per weight is; where that is a tie, the one with the earlier virtual turn.
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

  /** Advances the virtual turn of a server that takes a call, further the lighter it is. */
  void onSend(Server server) {
    virtualTime = Math.max(virtualTime, server.virtualTurn);
    server.virtualTurn = virtualTime + 1 / server.weight;
  }

  /** Members that support the request's protocol. */
  private int memberCount(Request request) {
    return membersByProtocols[request.protocol.protocolBit()]
        + membersByProtocols[RequestProtocol.PROTOCOL_SETS - 1];
  }

  /** Adds a random server of the pool that has room to the members, or returns null. */
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

  /**
   * A random server with room in its window even if it is ejected or unresponsive; the last resort
   * when no other server is left. Null if none is found.
   */
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
