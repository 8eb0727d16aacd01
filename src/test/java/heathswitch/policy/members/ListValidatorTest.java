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

/** What becomes of lists: sound, unsound, and sound but far-reaching. */
class ListValidatorTest {
  private static final long MINUTE = 60_000;
  private static final ListPolicy POLICY = new ListPolicy(0.3, 10 * MINUTE, 0.01, 100, 1000);

  private final ListValidator judge = new ListValidator(POLICY);
  private long now = 1_000 * MINUTE;

  private static ListedServer server(String id, String zone, String kind) {
    return new ListedServer(
        id, "127.0.0.1:" + Math.floorMod(id.hashCode(), 60_000), zone, kind, 0, 1, true);
  }

  /** Ten of kind front and ten of kind store, half of each in either zone. */
  private static List<ListedServer> twenty() {
    List<ListedServer> list = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      list.add(server("front-" + i, i % 2 == 0 ? "a" : "b", "front"));
      list.add(server("store-" + i, i % 2 == 0 ? "a" : "b", "store"));
    }
    return list;
  }

  private static List<ListEntry> placed(List<ListedServer> list) {
    List<ListEntry> placed = new ArrayList<>();
    for (int i = 0; i < list.size(); i++) {
      placed.add(new ListEntry(list.get(i), "f:" + (i + 1)));
    }
    return placed;
  }

  private ListDecision judge(List<ListedServer> list) {
    return judge.judge(now, placed(list));
  }

  private void accepted(List<ListedServer> list) {
    assertInstanceOf(ListDecision.Accepted.class, judge(list));
    assertEquals(list, judge.current());
  }

  private List<String> refused(List<ListedServer> list) {
    List<ListedServer> before = judge.current();
    ListDecision.Refused refused = assertInstanceOf(ListDecision.Refused.class, judge(list));
    assertEquals(before, judge.current());
    return refused.reasons();
  }

  private ListDecision.PendingConfirmation held(List<ListedServer> list) {
    List<ListedServer> before = judge.current();
    ListDecision.PendingConfirmation held =
        assertInstanceOf(ListDecision.PendingConfirmation.class, judge(list));
    assertEquals(before, judge.current());
    return held;
  }

  private static List<ListedServer> without(List<ListedServer> list, int count, String kind) {
    List<ListedServer> rest = new ArrayList<>(list);
    for (int i = 0; i < count; i++) {
      rest.remove(rest.stream().filter(s -> s.kind().equals(kind)).findFirst().orElseThrow());
    }
    return rest;
  }

  @Test
  void anEmptyListIsNeverTaken() {
    assertEquals(List.of("the list names no server at all"), refused(List.of()));
    accepted(twenty());
    refused(List.of());
  }

  @Test
  void aListWithNobodyInServiceIsNeverTaken() {
    ListedServer on = server("s", "a", "k");
    ListedServer off = new ListedServer("s", on.address(), "a", "k", 0, 1, false);
    assertEquals(List.of("no server of the list is in service"), refused(List.of(off)));
  }

  @Test
  void twoServersShareNoIdAndNoAddress() {
    ListedServer one = server("s-1", "a", "k");
    ListedServer same = server("s-1", "b", "k");
    List<String> reasons = refused(List.of(one, same));
    assertEquals("f:2: the id s-1 stands a second time; it is also at f:1", reasons.get(0));
    ListedServer other = new ListedServer("s-2", one.address(), "a", "k", 0, 1, true);
    reasons = refused(List.of(one, other));
    assertEquals(
        "f:2: the address " + one.address() + " stands a second time; it is also at f:1",
        reasons.get(0));
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
  void weightsStayWithinBounds(double weight) {
    ListedServer one = server("s-1", "a", "k");
    String reason =
        refused(List.of(new ListedServer("s-1", one.address(), "a", "k", 0, weight, true))).get(0);
    assertTrue(reason.startsWith("f:1: s-1 has the weight "), reason);
    assertTrue(reason.endsWith("one from 0.01 to 100 is expected"), reason);
  }

  @Test
  void aTooLongListIsRefusedAndReasonsAreCounted() {
    List<ListedServer> many = new ArrayList<>();
    for (int i = 0; i <= POLICY.mostServers(); i++) {
      many.add(new ListedServer("same", "same", "a", "k", 0, -1, true));
    }
    List<String> reasons = refused(many);
    assertEquals("the list names 1001 servers; at most 1000 are allowed", reasons.get(0));
    assertEquals(ListValidator.MOST_REASONS + 1, reasons.size());
    assertTrue(reasons.get(ListValidator.MOST_REASONS).matches("and \\d+ more"));
  }

  @Test
  void theSameListInAnotherOrderIsNoNews() {
    accepted(twenty());
    List<ListedServer> other = new ArrayList<>(twenty());
    Collections.reverse(other);
    assertInstanceOf(ListDecision.Unchanged.class, judge(other));
    assertEquals(1, judge.version());
  }

  @Test
  void aWholeKindOrZoneWaitsForAPerson() {
    accepted(twenty());
    List<ListedServer> noStore = without(twenty(), 10, "store");
    ListDecision.PendingConfirmation held = held(noStore);
    assertEquals("no server of kind store would be left in service", held.reasons().get(0));
    assertEquals(
        "10 of 20 servers would have left service within 10 min; 6 may without being asked about",
        held.reasons().get(1));
    List<ListedServer> noZone = twenty();
    noZone.removeIf(s -> s.zone().equals("b"));
    assertEquals("no server of zone b would be left in service", held(noZone).reasons().get(0));
  }

  /** Terminating is leaving service as much as not being named. */
  @Test
  void terminatingAWholeKindWaitsToo() {
    accepted(twenty());
    List<ListedServer> list = new ArrayList<>();
    for (ListedServer s : twenty()) {
      boolean on = !s.kind().equals("store");
      list.add(new ListedServer(s.id(), s.address(), s.zone(), s.kind(), 0, 1, on));
    }
    held(list);
  }

  @Test
  void tenSmallEditsCountAsTheLargeOneThatTheyAddUpTo() {
    accepted(twenty());
    List<ListedServer> list = twenty();
    for (int i = 1; i <= 6; i++) {
      list = without(list, 1, "store");
      now += MINUTE / 2;
      accepted(list);
    }
    ListDecision.PendingConfirmation held = held(without(list, 1, "store"));
    assertEquals(
        List.of(
            "7 of 20 servers would have left service within 10 min;"
                + " 6 may without being asked about"),
        held.reasons());
  }

  @Test
  void slowEditsStillMayNotTakeTheLastOfAKind() {
    accepted(twenty());
    List<ListedServer> list = twenty();
    for (int i = 1; i <= 9; i++) {
      list = without(list, 1, "store");
      now += 11 * MINUTE;
      accepted(list);
    }
    now += 11 * MINUTE;
    held(without(list, 1, "store"));
  }

  /** Or a list could be emptied behind servers that were added for it a moment before. */
  @Test
  void serversAddedWithinTheWindowDoNotMakeRoomForRemovals() {
    accepted(twenty());
    List<ListedServer> list = twenty();
    for (int i = 0; i < 200; i++) {
      list.add(server("new-" + i, i % 2 == 0 ? "a" : "b", i % 4 < 2 ? "front" : "store"));
    }
    now += MINUTE;
    accepted(list);
    List<ListedServer> onlyNew = new ArrayList<>(list.subList(20, list.size()));
    now += MINUTE;
    held(onlyNew);
    now += 20 * MINUTE;
    assertInstanceOf(ListDecision.Unchanged.class, judge(list));
    // By now the added ones are as good as the others, and 20 of 220 may go.
    accepted(onlyNew);
  }

  @Test
  void serversThatComeBackCountAsNeverGone() {
    accepted(twenty());
    for (int i = 0; i < 30; i++) {
      now += 1000;
      accepted(without(twenty(), 5, "store"));
      now += 1000;
      accepted(twenty());
    }
    assertEquals(0, judge.history().size());
    assertEquals(0, judge.history().joined().size());
  }

  /** The process at the old address is gone, whatever the id says. */
  @Test
  void manyNewAddressesAreManyRemovals() {
    accepted(twenty());
    List<ListedServer> moved = new ArrayList<>();
    for (ListedServer s : twenty()) {
      moved.add(
          new ListedServer(s.id(), "10.0.0.1:" + moved.size(), s.zone(), s.kind(), 0, 1, true));
    }
    ListDecision.PendingConfirmation held = held(moved);
    assertEquals(20, held.diff().changed().size());
  }

  @Test
  void oneServerMayAlwaysLeaveUnlessItIsTheLastOfItsKind() {
    List<ListedServer> two = List.of(server("s-1", "a", "k"), server("s-2", "a", "k"));
    accepted(two);
    accepted(two.subList(0, 1));
  }

  @Test
  void aHeldListIsTakenWhenItsVersionIsConfirmed() {
    accepted(twenty());
    List<ListedServer> noStore = without(twenty(), 10, "store");
    ListDecision.PendingConfirmation held = held(noStore);
    assertEquals(held, judge(noStore), "the same list keeps its number");
    assertInstanceOf(ListDecision.Refused.class, judge.confirm(now, held.version() + 1));
    assertInstanceOf(ListDecision.Accepted.class, judge.confirm(now, held.version()));
    assertEquals(noStore, judge.current());
    assertEquals(held.version(), judge.version());
    assertNull(judge.pending());
    assertInstanceOf(ListDecision.Refused.class, judge.confirm(now, held.version()));
    // What was confirmed is the new base: another small edit is not asked about.
    accepted(without(noStore, 1, "front"));
  }

  @Test
  void aHeldListIsDroppedWhenTheFileSaysSomethingElse() {
    accepted(twenty());
    long first = held(without(twenty(), 10, "store")).version();
    refused(List.of());
    assertNull(judge.pending());
    long second = held(without(twenty(), 9, "store")).version();
    assertTrue(second > first);
    assertInstanceOf(ListDecision.Refused.class, judge.confirm(now, first));
    assertNotNull(judge.pending());
    assertInstanceOf(ListDecision.Unchanged.class, judge(twenty()));
    assertNull(judge.pending());
  }

  @Test
  void aRestoredJudgeGoesOnWhereTheOtherStopped() {
    accepted(twenty());
    List<ListedServer> list = without(twenty(), 6, "store");
    now += MINUTE;
    accepted(list);
    ListValidator next = new ListValidator(POLICY);
    next.restore(
        judge.version(),
        judge.lastNumber(),
        judge.current(),
        judge.history().joined(),
        judge.history().departures());
    now += MINUTE;
    ListDecision verdict = next.judge(now, placed(without(list, 1, "store")));
    assertInstanceOf(ListDecision.PendingConfirmation.class, verdict);
    assertEquals(3, ((ListDecision.PendingConfirmation) verdict).version());
  }

  /**
   * Drawn edits, held against the rule said in another way: whatever was accepted without being
   * confirmed, at any two moments within a window no more than the share of what was in service at
   * the first has left it at the second.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void drawnEditsNeverTakeMoreThanTheShare(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    accepted(twenty());
    record Moment(long at, List<ListedServer> list) {}
    List<Moment> moments = new ArrayList<>();
    moments.add(new Moment(Long.MIN_VALUE / 2, twenty()));
    int next = 0;
    int held = 0;
    for (int i = 0; i < 400; i++) {
      now += random.nextLong(2 * MINUTE);
      List<ListedServer> list = new ArrayList<>(judge.current());
      for (int edits = random.nextInt(5); edits >= 0; edits--) {
        if (random.nextInt(5) < 3 && !list.isEmpty()) {
          list.remove(random.nextInt(list.size()));
        } else {
          String kind = random.nextBoolean() ? "front" : "store";
          list.add(server("n-" + next++, random.nextBoolean() ? "a" : "b", kind));
        }
      }
      ListDecision verdict = judge(list);
      held += verdict instanceof ListDecision.PendingConfirmation ? 1 : 0;
      if (verdict instanceof ListDecision.Accepted) {
        moments.add(new Moment(now, judge.current()));
        Moment base = moments.get(0);
        for (Moment moment : moments) {
          base = moment.at() <= now - POLICY.windowMillis() ? moment : base;
        }
        List<ListedServer> left = new ArrayList<>(base.list());
        left.removeAll(judge.current());
        long allowed = Math.max(1, (long) (0.3 * base.list().size()));
        assertTrue(left.size() <= allowed, left.size() + " of " + base.list().size());
      }
    }
    assertTrue(held > 10, "the rule was met often: " + held);
  }
}
