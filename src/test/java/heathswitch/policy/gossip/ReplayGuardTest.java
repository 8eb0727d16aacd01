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

/** Tests which datagrams {@link ReplayGuard} accepts and which it rejects. */
class ReplayGuardTest {
  private long lastId;
  private final ReplayGuard local = new ReplayGuard(() -> ++lastId);
  private final ReplayGuard remote = new ReplayGuard(() -> ++lastId);

  /** Lets the local guard learn the session id of the remote one. */
  private void learnRemoteSession() {
    Stamp request = local.nextStamp("remote");
    assertEquals(Verdict.WRONG_SESSION, remote.check(request));
    assertFalse(local.knowsSession("remote"));
    assertTrue(local.learnSession("remote", remote.answerStamp(request), request.sequence()));
    assertTrue(local.knowsSession("remote"));
  }

  @Test
  void datagramIsAcceptedOnceAndOnlyByTheProcessItIsAddressedTo() {
    learnRemoteSession();
    Stamp stamp = local.nextStamp("remote");
    assertEquals(Verdict.FRESH, remote.check(stamp));
    assertEquals(Verdict.REPLAYED, remote.check(stamp));
    ReplayGuard restarted = new ReplayGuard(() -> ++lastId);
    assertEquals(Verdict.WRONG_SESSION, restarted.check(stamp), "a new process at that address");
  }

  /** Datagrams that do not arrive too late are accepted, and none of them twice. */
  @Test
  void noDatagramIsAcceptedTwiceInAnyOrderOfArrival() {
    learnRemoteSession();
    Random random = new Random(1);
    Set<Long> accepted = new HashSet<>();
    List<Stamp> recorded = new ArrayList<>();
    for (int round = 0; round < 2000; round++) {
      List<Stamp> sent = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(40); i++) {
        sent.add(local.nextStamp("remote"));
      }
      recorded.addAll(sent);
      for (int i = 0; i < 20; i++) {
        sent.add(recorded.get(random.nextInt(recorded.size())));
      }
      Collections.shuffle(sent, random);
      for (Stamp stamp : sent) {
        if (remote.check(stamp) == Verdict.FRESH) {
          assertTrue(accepted.add(stamp.sequence()), "accepted twice: " + stamp);
        }
      }
    }
    assertTrue(
        accepted.size() > recorded.size() * 0.98, accepted.size() + " of " + recorded.size());
  }

  @Test
  void replayedOrForeignAnswerDoesNotChangeTheStoredSession() {
    learnRemoteSession();
    Stamp request = local.nextStamp("remote");
    Stamp answer = remote.answerStamp(request);
    assertTrue(local.learnSession("remote", answer, request.sequence()));
    assertFalse(local.learnSession("remote", answer, request.sequence()), "the same answer again");
    Stamp later = local.nextStamp("remote");
    assertFalse(
        local.learnSession("remote", remote.answerStamp(later), later.sequence() + 1),
        "an answer to a datagram that was never sent");
    Stamp foreign = new Stamp(99, 1, 98);
    assertFalse(
        local.learnSession("remote", foreign, later.sequence()), "meant for another process");
    assertEquals(Verdict.FRESH, remote.check(local.nextStamp("remote")));
  }

  /** Evicted senders cannot replay, since the session id that they used is invalid as well. */
  @Test
  void sessionIdChangesWhenTheLimitOfSendersIsExceeded() {
    ReplayGuard full = new ReplayGuard(() -> ++lastId);
    long session = lastId;
    for (long sender = 1; sender <= ReplayGuard.MAX_SENDERS; sender++) {
      assertEquals(Verdict.FRESH, full.check(new Stamp(-sender, 1, session)));
    }
    Stamp accepted = new Stamp(-1, 2, session);
    assertEquals(Verdict.FRESH, full.check(accepted));
    assertEquals(Verdict.WRONG_SESSION, full.check(new Stamp(7, 1, session)));
    assertEquals(Verdict.WRONG_SESSION, full.check(accepted), "replay of an accepted datagram");
    assertEquals(Verdict.FRESH, full.check(new Stamp(7, 1, lastId)));
  }
}
