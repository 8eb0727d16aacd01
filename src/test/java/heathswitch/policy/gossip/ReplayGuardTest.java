package heathswitch.policy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.gossip.ReplayGuard.Stamp;
import heathswitch.policy.gossip.ReplayGuard.Verdict;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What is taken once, and what never. */
class ReplayGuardTest {
  private long drawn;
  private final ReplayGuard here = new ReplayGuard(() -> ++drawn);
  private final ReplayGuard there = new ReplayGuard(() -> ++drawn);

  /** Knocks, and tells whoever knocked; the first that can be taken. */
  private void meet() {
    Stamp knock = here.next("there");
    assertEquals(Verdict.STRANGER, there.take(knock));
    assertFalse(here.knows("there"));
    assertTrue(here.told("there", there.answer(knock), knock.count()));
    assertTrue(here.knows("there"));
  }

  @Test
  void whatWasMadeForThisProcessIsTakenOnce() {
    meet();
    Stamp stamp = here.next("there");
    assertEquals(Verdict.NEW, there.take(stamp));
    assertEquals(Verdict.OLD, there.take(stamp));
    ReplayGuard next = new ReplayGuard(() -> ++drawn);
    assertEquals(Verdict.STRANGER, next.take(stamp), "a new process at the same place");
  }

  /** In any order and any number of times: each is taken once at most, if not too late. */
  @Test
  void noneIsTakenTwiceInWhateverOrderTheyCome() {
    meet();
    Random random = new Random(1);
    Set<Long> taken = new HashSet<>();
    List<Stamp> recorded = new ArrayList<>();
    for (int round = 0; round < 2000; round++) {
      List<Stamp> sent = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(40); i++) {
        sent.add(here.next("there"));
      }
      recorded.addAll(sent);
      for (int i = 0; i < 20; i++) {
        sent.add(recorded.get(random.nextInt(recorded.size())));
      }
      Collections.shuffle(sent, random);
      for (Stamp stamp : sent) {
        if (there.take(stamp) == Verdict.NEW) {
          assertTrue(taken.add(stamp.count()), "twice: " + stamp);
        }
      }
    }
    assertTrue(taken.size() > recorded.size() * 0.98, taken.size() + " of " + recorded.size());
  }

  @Test
  void anAnswerThatWasRecordedLeadsNobodyAstray() {
    meet();
    Stamp knock = here.next("there");
    Stamp answer = there.answer(knock);
    assertTrue(here.told("there", answer, knock.count()));
    assertFalse(here.told("there", answer, knock.count()), "the same once more");
    Stamp later = here.next("there");
    assertFalse(here.told("there", there.answer(later), later.count() + 1), "to none that was");
    Stamp stranger = new Stamp(99, 1, 98);
    assertFalse(here.told("there", stranger, later.count()), "meant for another");
    assertEquals(Verdict.NEW, there.take(here.next("there")));
  }

  /** Those that were met are forgotten together with the door that they knew. */
  @Test
  void withTooManySendersTheDoorIsAnotherOne() {
    ReplayGuard crowded = new ReplayGuard(() -> ++drawn);
    long door = drawn;
    for (long sender = 1; sender <= ReplayGuard.MOST_SENDERS; sender++) {
      assertEquals(Verdict.NEW, crowded.take(new Stamp(-sender, 1, door)));
    }
    Stamp one = new Stamp(-1, 2, door);
    assertEquals(Verdict.NEW, crowded.take(one));
    assertEquals(Verdict.STRANGER, crowded.take(new Stamp(7, 1, door)));
    assertEquals(Verdict.STRANGER, crowded.take(one), "what it took before comes again in vain");
    assertEquals(Verdict.NEW, crowded.take(new Stamp(7, 1, drawn)));
  }
}
