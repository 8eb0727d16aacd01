package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.SubsetRole;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** A balancer that is assigned a subset of the servers. */
class SubsetRoleTest {
  private final BalancerHarness harness =
      new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("a")));
  private long nextId;

  private static ServerEntry entry(
      long id, SubsetRole role, double weight, String zone, long started) {
    return new ServerEntry(
        id,
        zone,
        "kind",
        0,
        Health.READY,
        weight,
        started,
        RequestProtocol.HTTP1.protocolBit(),
        role);
  }

  private void listServers(int own, int spare, long started) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int id = 1; id <= own + spare; id++) {
      SubsetRole role = id <= own ? SubsetRole.OWN : SubsetRole.SPARE;
      entries.add(entry(id, role, 1, id % 2 == 0 ? "a" : "b", id <= own ? 0 : started));
    }
    harness.servers(entries.toArray(ServerEntry[]::new));
  }

  private BalancerHarness.Sent call() {
    harness.advance(5 * BalancerHarness.MS);
    harness.request(nextId++, "a");
    return harness.lastSent();
  }

  private Map<Long, Integer> sharesOf(int count) {
    Map<Long, Integer> shares = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      BalancerHarness.Sent sent = call();
      shares.merge(sent.server(), 1, Integer::sum);
      harness.advance(20 * BalancerHarness.MS);
      harness.outcome(sent, Outcome.OK, true);
    }
    return shares;
  }

  /** A subset larger than the limits of a working set, in two zones. */
  @Test
  void usesAllOwnServersEquallyAndNoOther() {
    listServers(60, 200, 0);
    sharesOf(2000); // Enough for all of them to join.
    Map<Long, Integer> shares = sharesOf(6000);
    assertEquals(60, shares.size());
    assertTrue(shares.keySet().stream().allMatch(id -> id <= 60), shares::toString);
    shares.values().forEach(each -> assertEquals(100, each, 10));
  }

  @Test
  void ownServersGetCallsByWeight() {
    harness.servers(
        entry(1, SubsetRole.OWN, 0.4, "a", 0),
        entry(2, SubsetRole.OWN, 1.6, "b", 0),
        entry(3, SubsetRole.SPARE, 1, "a", 0));
    Map<Long, Integer> shares = sharesOf(2000);
    assertEquals(Set.of(1L, 2L), shares.keySet());
    assertEquals(1600, shares.get(2L), 80);
  }

  /** Calls go to spare servers instead of being refused, until the own ones have room again. */
  @Test
  void spareServersGetCallsWhenOwnAreFull() {
    listServers(2, 50, 0);
    List<BalancerHarness.Sent> inFlight = new ArrayList<>();
    while (inFlight.size() < 90) {
      inFlight.add(call());
    }
    assertEquals(List.of(), harness.refused);
    long toSpare = inFlight.stream().filter(sent -> sent.server() > 2).count();
    assertEquals(90 - 2 * (long) DelayWindow.INITIAL, toSpare);
    inFlight.forEach(sent -> harness.outcome(sent, Outcome.OK, true));
    Set<Long> used = new TreeSet<>(sharesOf(200).keySet());
    assertEquals(Set.of(1L, 2L), used);
  }

  /** Without spare servers to compare with, the errors could come from the tier below. */
  @Test
  void spareServersGetCallsWhenAllOwnFail() {
    listServers(3, 20, 0);
    int toSpare = 0;
    for (int i = 0; i < 400; i++) {
      BalancerHarness.Sent sent = call();
      harness.advance(20 * BalancerHarness.MS);
      toSpare += i >= 200 && sent.server() > 3 ? 1 : 0;
      harness.outcome(sent, sent.server() > 3 ? Outcome.OK : Outcome.ERROR, true);
    }
    assertTrue(toSpare > 150, toSpare + " of 200 to spare servers");
    assertTrue(
        sharesOf(600).keySet().containsAll(Set.of(1L, 2L, 3L)),
        "own servers in use again after recovery");
    assertEquals(Set.of(1L, 2L, 3L), sharesOf(400).keySet());
  }

  @Test
  void coldSpareServerGetsNoCalls() {
    listServers(2, 5, harness.now - BalancerHarness.SECOND);
    assertEquals(Set.of(1L, 2L), sharesOf(2000).keySet());
  }

  @Test
  void rolesMayChangeWhileCallsAreInFlight() {
    listServers(2, 4, 0);
    List<BalancerHarness.Sent> inFlight = List.of(call(), call());
    harness.servers(
        entry(1, SubsetRole.SPARE, 1, "a", 0),
        entry(2, SubsetRole.SPARE, 1, "a", 0),
        entry(5, SubsetRole.OWN, 1, "b", 0));
    assertEquals(
        Set.of(1L, 2L),
        inFlight.stream().map(BalancerHarness.Sent::server).collect(Collectors.toSet()));
    harness.advance(20 * BalancerHarness.MS);
    inFlight.forEach(sent -> harness.outcome(sent, Outcome.OK, true));
    assertEquals(Set.of(5L), sharesOf(50).keySet());
  }
}
