package heathswitch.policy.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which lists are accepted, refused, or held back until an operator confirms them. */
class ListValidatorTest {
  private static final long MINUTE = 60_000;
  private static final ListPolicy POLICY = new ListPolicy(0.3, 10 * MINUTE, 0.01, 100, 1000);

  private final ListValidator validator = new ListValidator(POLICY);
  private long now = 1_000 * MINUTE;

  private static ListedServer server(String id, String zone, String kind) {
    return new ListedServer(
        id, "127.0.0.1:" + Math.floorMod(id.hashCode(), 60_000), zone, kind, 0, 1, true);
  }

  /** Ten servers of kind front and ten of kind store, half of each kind in each zone. */
  private static List<ListedServer> twentyServers() {
    List<ListedServer> list = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      list.add(server("front-" + i, i % 2 == 0 ? "a" : "b", "front"));
      list.add(server("store-" + i, i % 2 == 0 ? "a" : "b", "store"));
    }
    return list;
  }

  private static List<ListEntry> entries(List<ListedServer> list) {
    List<ListEntry> entries = new ArrayList<>();
    for (int i = 0; i < list.size(); i++) {
      entries.add(new ListEntry(list.get(i), "f:" + (i + 1)));
    }
    return entries;
  }

  private ListDecision submit(List<ListedServer> list) {
    return validator.submit(now, entries(list));
  }

  private void assertAccepted(List<ListedServer> list) {
    assertInstanceOf(ListDecision.Accepted.class, submit(list));
    assertEquals(list, validator.current());
  }

  private List<String> assertRefused(List<ListedServer> list) {
    List<ListedServer> before = validator.current();
    ListDecision.Refused refused = assertInstanceOf(ListDecision.Refused.class, submit(list));
    assertEquals(before, validator.current());
    return refused.reasons();
  }

  private ListDecision.PendingConfirmation assertHeldBack(List<ListedServer> list) {
    List<ListedServer> before = validator.current();
    ListDecision.PendingConfirmation pending =
        assertInstanceOf(ListDecision.PendingConfirmation.class, submit(list));
    assertEquals(before, validator.current());
    return pending;
  }

  private static List<ListedServer> without(List<ListedServer> list, int count, String kind) {
    List<ListedServer> rest = new ArrayList<>(list);
    for (int i = 0; i < count; i++) {
      rest.remove(rest.stream().filter(s -> s.kind().equals(kind)).findFirst().orElseThrow());
    }
    return rest;
  }

  @Test
  void emptyListIsRefused() {
    assertEquals(List.of("the list contains no servers"), assertRefused(List.of()));
    assertAccepted(twentyServers());
    assertRefused(List.of());
  }

  @Test
  void listWithoutServerInServiceIsRefused() {
    ListedServer inService = server("s", "a", "k");
    ListedServer terminating = new ListedServer("s", inService.address(), "a", "k", 0, 1, false);
    assertEquals(
        List.of("no server of the list is in service"), assertRefused(List.of(terminating)));
  }

  @Test
  void duplicateIdOrAddressIsRefused() {
    ListedServer one = server("s-1", "a", "k");
    ListedServer same = server("s-1", "b", "k");
    List<String> reasons = assertRefused(List.of(one, same));
    assertEquals("f:2: duplicate id s-1; first used at f:1", reasons.get(0));
    ListedServer other = new ListedServer("s-2", one.address(), "a", "k", 0, 1, true);
    reasons = assertRefused(List.of(one, other));
    assertEquals("f:2: duplicate address " + one.address() + "; first used at f:1", reasons.get(0));
  }

  @ParameterizedTest
  @ValueSource(
      doubles = {
        Double.NaN,
        -1,
        0,
        -0.0,
        0.009,
        100.1,
        1e300,
        Double.POSITIVE_INFINITY,
        Double.NEGATIVE_INFINITY,
        Double.MIN_VALUE
      })
  void weightOutOfBoundsIsRefused(double weight) {
    ListedServer one = server("s-1", "a", "k");
    String reason =
        assertRefused(List.of(new ListedServer("s-1", one.address(), "a", "k", 0, weight, true)))
            .get(0);
    assertTrue(reason.startsWith("f:1: s-1 has weight "), reason);
    assertTrue(reason.endsWith("; a weight from 0.01 to 100 is expected"), reason);
  }

  @Test
  void tooLongListIsRefusedWithBoundedNumberOfReasons() {
    List<ListedServer> many = new ArrayList<>();
    for (int i = 0; i <= POLICY.maxServers(); i++) {
      many.add(new ListedServer("same", "same", "a", "k", 0, -1, true));
    }
    List<String> reasons = assertRefused(many);
    assertEquals("the list contains 1001 servers; at most 1000 are allowed", reasons.get(0));
    assertEquals(ListValidator.MAX_REASONS + 1, reasons.size());
    assertTrue(reasons.get(ListValidator.MAX_REASONS).matches("and \\d+ more"));
  }

  @Test
  void sameListInAnotherOrderIsUnchanged() {
    assertAccepted(twentyServers());
    List<ListedServer> reversed = new ArrayList<>(twentyServers());
    Collections.reverse(reversed);
    assertInstanceOf(ListDecision.Unchanged.class, submit(reversed));
    assertEquals(1, validator.version());
  }

  @Test
  void removalOfWholeKindOrZoneIsHeldBack() {
    assertAccepted(twentyServers());
    List<ListedServer> noStore = without(twentyServers(), 10, "store");
    ListDecision.PendingConfirmation pending = assertHeldBack(noStore);
    assertEquals("no server of kind store would be left in service", pending.reasons().get(0));
    assertEquals(
        "10 of 20 servers would have left service within 10 min; at most 6 may without confirmation",
        pending.reasons().get(1));
    List<ListedServer> noZone = twentyServers();
    noZone.removeIf(s -> s.zone().equals("b"));
    assertEquals(
        "no server of zone b would be left in service", assertHeldBack(noZone).reasons().get(0));
  }

  /** A terminating server leaves service as much as one that is removed from the list. */
  @Test
  void terminatingWholeKindIsHeldBack() {
    assertAccepted(twentyServers());
    List<ListedServer> list = new ArrayList<>();
    for (ListedServer s : twentyServers()) {
      boolean inService = !s.kind().equals("store");
      list.add(new ListedServer(s.id(), s.address(), s.zone(), s.kind(), 0, 1, inService));
    }
    assertHeldBack(list);
  }

  @Test
  void smallRemovalsWithinWindowAreSummedUp() {
    assertAccepted(twentyServers());
    List<ListedServer> list = twentyServers();
    for (int i = 1; i <= 6; i++) {
      list = without(list, 1, "store");
      now += MINUTE / 2;
      assertAccepted(list);
    }
    ListDecision.PendingConfirmation pending = assertHeldBack(without(list, 1, "store"));
    assertEquals(
        List.of(
            "7 of 20 servers would have left service within 10 min;"
                + " at most 6 may without confirmation"),
        pending.reasons());
  }

  @Test
  void removalOfLastServerOfKindIsHeldBackAfterSlowRemovals() {
    assertAccepted(twentyServers());
    List<ListedServer> list = twentyServers();
    for (int i = 1; i <= 9; i++) {
      list = without(list, 1, "store");
      now += 11 * MINUTE;
      assertAccepted(list);
    }
    now += 11 * MINUTE;
    assertHeldBack(without(list, 1, "store"));
  }

  /**
   * Servers added a moment ago must not raise the number that may be removed, else the whole
   * previous list could be removed right after adding others.
   */
  @Test
  void serversAddedWithinWindowDoNotAllowMoreRemovals() {
    assertAccepted(twentyServers());
    List<ListedServer> list = twentyServers();
    for (int i = 0; i < 200; i++) {
      list.add(server("new-" + i, i % 2 == 0 ? "a" : "b", i % 4 < 2 ? "front" : "store"));
    }
    now += MINUTE;
    assertAccepted(list);
    List<ListedServer> onlyNew = new ArrayList<>(list.subList(20, list.size()));
    now += MINUTE;
    assertHeldBack(onlyNew);
    now += 20 * MINUTE;
    assertInstanceOf(ListDecision.Unchanged.class, submit(list));
    // By now the added servers count like the others, and 20 of 220 may be removed.
    assertAccepted(onlyNew);
  }

  @Test
  void returningServersCountAsNeverRemoved() {
    assertAccepted(twentyServers());
    for (int i = 0; i < 30; i++) {
      now += 1000;
      assertAccepted(without(twentyServers(), 5, "store"));
      now += 1000;
      assertAccepted(twentyServers());
    }
    assertEquals(0, validator.history().departureCount());
    assertEquals(0, validator.history().joinedMillis().size());
  }

  /** The process at the old address is gone, even though the id stays. */
  @Test
  void changedAddressesCountAsRemovals() {
    assertAccepted(twentyServers());
    List<ListedServer> moved = new ArrayList<>();
    for (ListedServer s : twentyServers()) {
      moved.add(
          new ListedServer(s.id(), "10.0.0.1:" + moved.size(), s.zone(), s.kind(), 0, 1, true));
    }
    ListDecision.PendingConfirmation pending = assertHeldBack(moved);
    assertEquals(20, pending.diff().changed().size());
  }

  @Test
  void removalOfOneServerIsAcceptedWhileAnotherOfItsKindRemains() {
    List<ListedServer> two = List.of(server("s-1", "a", "k"), server("s-2", "a", "k"));
    assertAccepted(two);
    assertAccepted(two.subList(0, 1));
  }

  @Test
  void heldBackListIsAcceptedWhenItsVersionIsConfirmed() {
    assertAccepted(twentyServers());
    List<ListedServer> noStore = without(twentyServers(), 10, "store");
    ListDecision.PendingConfirmation pending = assertHeldBack(noStore);
    assertEquals(pending, submit(noStore), "the same list keeps its version");
    assertInstanceOf(ListDecision.Refused.class, validator.confirm(now, pending.version() + 1));
    assertInstanceOf(ListDecision.Accepted.class, validator.confirm(now, pending.version()));
    assertEquals(noStore, validator.current());
    assertEquals(pending.version(), validator.version());
    assertNull(validator.pending());
    assertInstanceOf(ListDecision.Refused.class, validator.confirm(now, pending.version()));
    // The confirmed list is the new baseline: another small removal needs no confirmation.
    assertAccepted(without(noStore, 1, "front"));
  }

  @Test
  void heldBackListIsDroppedWhenAnotherCandidateIsSubmitted() {
    assertAccepted(twentyServers());
    long first = assertHeldBack(without(twentyServers(), 10, "store")).version();
    assertRefused(List.of());
    assertNull(validator.pending());
    long second = assertHeldBack(without(twentyServers(), 9, "store")).version();
    assertTrue(second > first);
    assertInstanceOf(ListDecision.Refused.class, validator.confirm(now, first));
    assertNotNull(validator.pending());
    assertInstanceOf(ListDecision.Unchanged.class, submit(twentyServers()));
    assertNull(validator.pending());
  }

  @Test
  void restoredValidatorSumsUpRemovalsFromBeforeRestart() {
    assertAccepted(twentyServers());
    List<ListedServer> list = without(twentyServers(), 6, "store");
    now += MINUTE;
    assertAccepted(list);
    ListValidator next = new ListValidator(POLICY);
    next.restore(
        validator.version(),
        validator.lastAssignedVersion(),
        validator.current(),
        validator.history().joinedMillis(),
        validator.history().departures());
    now += MINUTE;
    ListDecision decision = next.submit(now, entries(without(list, 1, "store")));
    assertInstanceOf(ListDecision.PendingConfirmation.class, decision);
    assertEquals(3, ((ListDecision.PendingConfirmation) decision).version());
  }

  /**
   * Checks random edits against an independent statement of the rule: among the lists accepted
   * without confirmation, of the servers in service at any moment, no more than the allowed share
   * may have left service at any later moment within a window.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void randomEditsNeverRemoveMoreThanAllowedShare(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    assertAccepted(twentyServers());
    record Moment(long at, List<ListedServer> list) {}
    List<Moment> moments = new ArrayList<>();
    moments.add(new Moment(Long.MIN_VALUE / 2, twentyServers()));
    int nextId = 0;
    int heldBack = 0;
    for (int i = 0; i < 400; i++) {
      now += random.nextLong(2 * MINUTE);
      List<ListedServer> list = new ArrayList<>(validator.current());
      for (int edits = random.nextInt(5); edits >= 0; edits--) {
        if (random.nextInt(5) < 3 && !list.isEmpty()) {
          list.remove(random.nextInt(list.size()));
        } else {
          String kind = random.nextBoolean() ? "front" : "store";
          list.add(server("n-" + nextId++, random.nextBoolean() ? "a" : "b", kind));
        }
      }
      ListDecision decision = submit(list);
      heldBack += decision instanceof ListDecision.PendingConfirmation ? 1 : 0;
      if (decision instanceof ListDecision.Accepted) {
        moments.add(new Moment(now, validator.current()));
        Moment baseline = moments.get(0);
        for (Moment moment : moments) {
          baseline = moment.at() <= now - POLICY.windowMillis() ? moment : baseline;
        }
        List<ListedServer> left = new ArrayList<>(baseline.list());
        left.removeAll(validator.current());
        long allowed = Math.max(1, (long) (0.3 * baseline.list().size()));
        assertTrue(left.size() <= allowed, left.size() + " of " + baseline.list().size());
      }
    }
    assertTrue(heldBack > 10, "edits held back: " + heldBack);
  }
}
