package heathswitch.policy.core;

import static heathswitch.policy.core.BalancerHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Warm-up of servers when the clock of this machine or of discovery is wrong by a lot. */
class StartTimeEstimatorTest {
  private static final long HOUR = 3600 * SECOND;
  private static final long NOW = 100_000 * SECOND;

  private final Settings settings = BalancerHarness.settings(0, BalancerHarness.safeClass("view"));
  private final long warmUp = settings.obligations().warmUpNanos();
  private final Membership members =
      new Membership(settings, new BalancerHarness(settings), new SplittableRandom(1));

  private static ServerEntry entry(long id, long startedNanos) {
    return new ServerEntry(id, "a", "std", 1, Health.READY, 1, startedNanos);
  }

  private boolean cold(long id, long nowNanos) {
    return members.isCold(members.servers.get(id), nowNanos);
  }

  /** Lists 12 servers that have run for long, and one that started at the given time. */
  private void listServers(ListUpdate update, long nowNanos, long startedNanos) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int id = 1; id <= 12; id++) {
      entries.add(entry(id, startedNanos - HOUR / 2));
    }
    entries.add(entry(13, startedNanos));
    members.onListUpdate(nowNanos, update, entries);
  }

  /** The clock of this machine is ahead of discovery's by the given seconds. */
  @ParameterizedTest
  @ValueSource(longs = {-3600, -7, 0, 7, 3600})
  void newestServersOfTheFirstListAreCold(long seconds) {
    listServers(ListUpdate.STALE_FULL, NOW, NOW - seconds * SECOND);
    assertTrue(cold(13, NOW), "newest server");
    assertFalse(cold(13, NOW + warmUp), "newest server after its warm-up");
    assertTrue(seconds < 0 || !cold(1, NOW), "servers that have run for long");
  }

  @ParameterizedTest
  @ValueSource(longs = {-3600, -60, -7, 0, 3600})
  void startInALaterListIsColdFromThenOn(long seconds) {
    listServers(ListUpdate.FULL, NOW, 0);
    long later = NOW + 30 * SECOND;
    members.onListConfirmed(later - SECOND);
    members.onListUpdate(later, ListUpdate.DELTA, List.of(entry(5, later + seconds * SECOND)));
    assertTrue(cold(5, later));
    assertTrue(cold(5, later + warmUp - 1));
    assertFalse(cold(5, later + warmUp));
  }

  /** If the clocks agree, a server is not presumed colder than it is. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2, 3})
  void startSinceThePreviousListHasItsReportedAge(long seconds) {
    listServers(ListUpdate.FULL, NOW, 0);
    long later = NOW + 30 * SECOND;
    members.onListConfirmed(later - SECOND);
    members.onListUpdate(later, ListUpdate.DELTA, List.of(entry(5, later - seconds * SECOND)));
    long warm = later - seconds * SECOND + warmUp;
    assertTrue(cold(5, warm - 1));
    assertFalse(cold(5, warm));
  }

  /** The clock of discovery may be set back between two starts of one server. */
  @Test
  void earlierStartTimeCountsAsRestart() {
    listServers(ListUpdate.FULL, NOW, NOW);
    long later = NOW + HOUR;
    members.onListUpdate(later, ListUpdate.DELTA, List.of(entry(13, NOW - HOUR)));
    assertTrue(cold(13, later));
  }

  /** A server was presumed to have restarted while suspended, and then found not to have. */
  @Test
  void withdrawnPresumedStartIsNoRestart() {
    listServers(ListUpdate.FULL, NOW, NOW - HOUR);
    long later = NOW + 60 * SECOND;
    members.onListUpdate(later, ListUpdate.DELTA, List.of(entry(13, later)));
    assertTrue(cold(13, later));
    members.onListUpdate(later + SECOND, ListUpdate.DELTA, List.of(entry(13, NOW - HOUR)));
    assertFalse(cold(13, later + SECOND));
  }

  /** If all servers started together long ago, none is presumed cold. */
  @Test
  void fleetThatStartedTogetherIsWarm() {
    List<ServerEntry> entries = new ArrayList<>();
    for (int id = 1; id <= 10; id++) {
      entries.add(entry(id, NOW - HOUR + id));
    }
    members.onListUpdate(NOW, ListUpdate.STALE_FULL, entries);
    for (int id = 1; id <= 10; id++) {
      assertFalse(cold(id, NOW));
    }
  }
}
