package heathswitch.policy.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What the log adds up to, entry by entry. */
class MaintenanceStateTest {
  private static final ServerGroup STORE = new ServerGroup("store", "a");
  private final MaintenanceState settled = new MaintenanceState();
  private long index;
  private long now;

  private CommandResult say(Command command) {
    return settled.apply(++index, now, command);
  }

  private void join(String instance, boolean stops, int mostOut, double least) {
    MaintenanceRules rules =
        new MaintenanceRules(
            1, 4000, 1000, mostOut, mostOut, List.of(new CapacityFloor("store", "*", least)));
    assertTrue(
        say(new Command.Join(instance, 1, 0, true, stops, rules, FormatSupport.UNSTATED)).ok());
  }

  private void report(String instance, double listed, double worth, String... warm) {
    CapacityReport report =
        new CapacityReport(
            index, Map.of(STORE, new CapacityReport.Capacity(listed, worth)), Set.of(warm));
    assertTrue(say(new Command.Renew(instance, 1, report)).ok());
  }

  private static Machine machine(int number) {
    return new Machine("m" + number, "store", "a", number, 1, "at-" + number);
  }

  private static Command.Ask ask(String key, String who, boolean urgent, int... machines) {
    List<Machine> list = new ArrayList<>();
    for (int each : machines) {
      list.add(machine(each));
    }
    return new Command.Ask(key, who, "disk", urgent, 1, 60_000, 0, 0, 0, list);
  }

  private Phase phase(long order) {
    return settled.phaseCounts(order).keySet().iterator().next();
  }

  @Test
  void aMachineIsOutWhenEveryInstanceHasLetGoOfIt() {
    join("a", false, 1, 0.5);
    join("b", false, 1, 0.5);
    report("a", 4, 4);
    long order = say(ask("k", "ann", false, 1)).value();
    assertEquals(Phase.EMPTYING, phase(order));
    say(new Command.Free("a", 1, order, "m1"));
    assertEquals(Phase.EMPTYING, phase(order));
    assertTrue(settled.machineStatuses(order, 1).get(0).waitsFor().contains("b (heard"));
    say(new Command.Free("b", 1, order, "m1"));
    assertEquals(Phase.OUT, phase(order));
    say(new Command.Done(order, null));
    assertEquals(Phase.RETURNING, phase(order));
    report("a", 4, 3.1);
    assertEquals(Phase.RETURNING, phase(order), "cold for one that looked");
    report("a", 4, 4, "m1");
    assertEquals(Phase.DONE, phase(order));
  }

  /** The entry that lets go of it has to come then: nobody else may have anything to say. */
  @Test
  void itIsDueWhenAMachineNeedWaitNoLongerForOneThatIsNotHeard() {
    join("a", true, 1, 0.5);
    join("b", true, 1, 0.5);
    report("a", 4, 4);
    assertEquals(Long.MAX_VALUE, settled.nextExpiryMillis(), "no machine waits for anybody");
    now = 1000;
    report("a", 4, 4);
    long order = say(ask("k", "ann", false, 1)).value();
    assertEquals(5000, settled.nextExpiryMillis(), "b was heard at 0; lease and margin are 5 s");
    say(new Command.Free("a", 1, order, "m1"));
    now = 4999;
    report("a", 4, 4);
    assertEquals(Phase.EMPTYING, phase(order));
    now = settled.nextExpiryMillis();
    report("a", 4, 4);
    assertEquals(Phase.OUT, phase(order));
    assertEquals(Long.MAX_VALUE, settled.nextExpiryMillis());
  }

  /**
   * It has been fenced by a person's mistake and goes on sending: it has to let go as others do.
   */
  @Test
  void oneThatJoinsAgainWhileItSendsHasToLetGo() {
    join("a", false, 1, 0.5);
    join("b", false, 1, 0.5);
    report("a", 4, 4);
    long order = say(ask("k", "ann", false, 1)).value();
    say(new Command.Free("b", 1, order, "m1"));
    say(new Command.Fence("b", false));
    MaintenanceRules rules = settled.rules();
    assertFalse(
        say(new Command.Join("b", 3, 1, true, false, rules, FormatSupport.UNSTATED)).ok(),
        "said before");
    long known = settled.incarnation("b");
    assertTrue(
        say(new Command.Join("b", 2, known, false, false, rules, FormatSupport.UNSTATED)).ok());
    say(new Command.Free("a", 1, order, "m1"));
    assertEquals(Phase.EMPTYING, phase(order));
    say(new Command.Free("b", 2, order, "m1"));
    assertEquals(Phase.OUT, phase(order));
  }

  @Test
  void oneThatStopsIsFencedWhenItsLeaseAndTheMarginAreOver() {
    join("a", true, 1, 0.5);
    join("b", true, 1, 0.5);
    report("a", 4, 4);
    long order = say(ask("k", "ann", false, 1)).value();
    say(new Command.Free("a", 1, order, "m1"));
    now = 4999;
    report("a", 4, 4);
    assertEquals(Phase.EMPTYING, phase(order));
    now = 5000;
    report("a", 4, 4);
    assertEquals(Phase.OUT, phase(order));
    assertFalse(say(new Command.Renew("b", 1, null)).ok());
  }

  /** A leader that was cut off has read the clock: no lease may run from that. */
  @Test
  void anEntryWithoutATimeRenewsNoLease() {
    join("a", true, 1, 0.5);
    MaintenanceState.InstanceStatus before = settled.instanceStatuses().get(0);
    assertFalse(settled.apply(++index, -1, new Command.Renew("a", 1, null)).ok());
    assertEquals(before, settled.instanceStatuses().get(0));
    Command join = new Command.Join("b", 1, 0, true, true, settled.rules(), FormatSupport.UNSTATED);
    assertFalse(settled.apply(++index, -1, join).ok());
    LogClock clock = new LogClock();
    assertEquals(LogClock.NO_TIME, clock.apply(2, 1, 50));
    assertEquals(0, clock.appliedMillis());
  }

  @Test
  void whatCanNeverBeGrantedIsRefusedAtOnce() {
    join("a", false, 1, 0.9);
    report("a", 4, 4);
    CommandResult reply = say(ask("k", "ann", false, 1));
    assertFalse(reply.ok());
    assertTrue(reply.message().contains("can never go"), reply.message());
    assertFalse(say(ask("none", "ann", false)).ok());
    assertFalse(say(ask("twice", "ann", false, 1, 1)).ok());
  }

  /** MaintenanceRules of a later version hold from then on; what is out stays out. */
  @Test
  void floorsThatAreRaisedHoldForWhatWaits() {
    join("a", false, 3, 0.2);
    report("a", 4, 4);
    long first = say(ask("k", "ann", false, 1)).value();
    MaintenanceRules raised =
        new MaintenanceRules(2, 4000, 1000, 3, 3, List.of(new CapacityFloor("store", "*", 0.75)));
    assertTrue(say(new Command.Join("b", 1, 0, true, false, raised, FormatSupport.UNSTATED)).ok());
    long second = say(ask("l", "ann", false, 2)).value();
    assertEquals(Phase.EMPTYING, phase(first));
    assertEquals(Phase.WAITING, phase(second));
    assertTrue(settled.machineStatuses(second, 1).get(0).waitsFor().contains("floor 0.75"));
    CommandResult older =
        say(
            new Command.Join(
                "c",
                1,
                0,
                true,
                false,
                new MaintenanceRules(1, 1, 1, 1, 1, List.of()),
                FormatSupport.UNSTATED));
    assertTrue(older.ok() && older.message().contains("version 2"), older.message());
    assertEquals(raised, settled.rules());
  }

  @Test
  void theSameRequestTwiceIsOneOrder() {
    join("a", false, 1, 0.5);
    report("a", 4, 4);
    long first = say(ask("k", "ann", false, 1)).value();
    assertEquals(first, say(ask("k", "ann", false, 1)).value());
    assertEquals(1, settled.orderIds().size());
  }

  /** The order in which machines go out, each put back and warm again at once. */
  private List<Long> granted(long... orders) {
    List<Long> granted = new ArrayList<>();
    for (int i = 0; i < 200 && granted.size() < orders.length; i++) {
      for (MaintenanceState.AwayMachine each : settled.awayMachines()) {
        if (each.phase() == Phase.EMPTYING) {
          granted.add(each.order());
          say(new Command.Free("a", 1, each.order(), each.machine()));
          say(new Command.Done(each.order(), null));
          report("a", 12, 12, each.machine());
        }
      }
    }
    return granted;
  }

  /** Somebody with many requests has one turn in a round, like everybody else. */
  @Test
  void manyRequestsDoNotCrowdOutOne() {
    join("a", false, 1, 0.5);
    report("a", 12, 12);
    long[] many = new long[6];
    for (int i = 0; i < 6; i++) {
      many[i] = say(ask("k" + i, "ann", false, i)).value();
    }
    long one = say(ask("one", "bo", false, 7)).value();
    List<Long> granted = granted(many[0], many[1], many[2], many[3], many[4], many[5], one);
    assertEquals(7, granted.size());
    assertTrue(granted.indexOf(one) <= 1, "went as " + granted.indexOf(one));
  }

  /** Urgent ones go first, and after so many rounds of them the others have their turn. */
  @Test
  void urgentOnesGoFirstWithinABound() {
    join("a", false, 1, 0.5);
    report("a", 12, 12);
    say(ask("first", "zoe", false, 0));
    long plain = say(ask("plain", "bo", false, 1)).value();
    long[] all = new long[14];
    for (int i = 0; i < 14; i++) {
      all[i] = say(ask("u" + i, "ann", true, 2 + i % 9)).value();
    }
    List<Long> granted = granted(new long[16]);
    assertEquals(16, granted.size());
    assertTrue(granted.indexOf(plain) > 4, "went as " + granted.indexOf(plain));
    assertTrue(granted.indexOf(plain) < 13, "went as " + granted.indexOf(plain));
  }

  /** What a large one waits for is not given to small ones that came later. */
  @Test
  void nobodyTakesWhatAnEarlierOneWaitsFor() {
    join("a", false, 3, 0.5);
    report("a", 12, 7);
    Machine heavy = new Machine("heavy", "store", "a", 99, 4, "at-heavy");
    long large =
        say(new Command.Ask("l", "ann", "", false, 1, 60_000, 0, 0, 0, List.of(heavy))).value();
    long small = say(ask("s", "bo", false, 1)).value();
    assertEquals(Phase.WAITING, phase(large));
    assertEquals(Phase.WAITING, phase(small));
    report("a", 12, 12);
    assertEquals(Phase.EMPTYING, phase(large));
    assertEquals(Phase.EMPTYING, phase(small));
  }

  @Test
  void tenThousandMachinesInOneOrderAndAThousandOrders() {
    join("a", false, 2, 0.5);
    report("a", 30_000, 30_000);
    int[] machines = new int[10_000];
    for (int i = 0; i < machines.length; i++) {
      machines[i] = i;
    }
    assertTrue(say(ask("large", "ann", false, machines)).ok());
    long began = System.nanoTime();
    for (int i = 0; i < 1000; i++) {
      assertTrue(say(ask("k" + i, "p" + i % 7, i % 9 == 0, 10_000 + i)).ok(), "order " + i);
    }
    double millis = (System.nanoTime() - began) / 1e6 / 1000;
    assertTrue(millis < 50, "an entry takes " + millis + " ms");
    assertFalse(say(ask("more", "ann", false, machines)).ok(), "more than are kept");
    MaintenanceState again = MaintenanceState.fromSnapshot(settled.toSnapshot());
    assertEquals(settled.toSnapshot(), again.toSnapshot());
  }

  @Test
  void aMachineIsOverdueAndBlocksNobodyElse() {
    join("a", false, 2, 0.5);
    report("a", 4, 4);
    long order = say(ask("k", "ann", false, 1)).value();
    say(new Command.Free("a", 1, order, "m1"));
    now += 60_001;
    report("a", 4, 3);
    assertTrue(settled.machineStatuses(order, 1).get(0).overdue());
    assertEquals(Phase.OUT, phase(order), "nothing is put back while somebody works on it");
    long other = say(ask("o", "bo", false, 2)).value();
    assertEquals(Phase.EMPTYING, phase(other));
    say(new Command.Extend(order, 60_000));
    assertFalse(settled.machineStatuses(order, 1).get(0).overdue());
  }

  /** Said and nothing more: nobody but who works there knows when a machine can come back. */
  @Test
  void machinesAtWorkAreWantedBackWhileCapacityIsUnderItsFloor() {
    MaintenanceRules rules =
        new MaintenanceRules(1, 4000, 1000, 2, 2, List.of(new CapacityFloor("store", "*", 0.5)));
    say(
        new Command.Join(
            "a", 1, 0, true, false, rules, new FormatSupport(FormatSupport.LATEST, 1)));
    report("a", 4, 4);
    long order = say(ask("k", "ann", false, 1)).value();
    say(new Command.Free("a", 1, order, "m1"));
    report("a", 4, 2);
    assertEquals(0, settled.wantedBackCount(order));
    long changes = settled.changeCount();
    report("a", 4, 1.5);
    assertEquals(1, settled.wantedBackCount(order));
    assertEquals(Phase.OUT, phase(order));
    assertTrue(settled.changeCount() > changes && settled.awayMachines().get(0).wanted());
    String said = settled.machineStatuses(order, 1).get(0).waitsFor();
    assertTrue(said.contains("wanted back") && said.contains("a sees 1.50"), said);
    assertEquals(
        settled.toSnapshot(), MaintenanceState.fromSnapshot(settled.toSnapshot()).toSnapshot());
    long other = say(ask("o", "bo", false, 2)).value();
    assertEquals(Phase.WAITING, phase(other));
    report("a", 4, 3);
    assertEquals(0, settled.wantedBackCount(order));
    assertEquals(Phase.EMPTYING, phase(other));
  }

  /** An earlier release computes as it always did until all have been upgraded. */
  @Test
  void aLaterFormIsInForceWhenAllInstancesKnowIt() {
    MaintenanceRules rules =
        new MaintenanceRules(1, 4000, 1000, 2, 2, List.of(new CapacityFloor("store", "*", 0.9)));
    FormatSupport late = new FormatSupport(FormatSupport.LATEST, 2);
    say(new Command.Join("a", 1, 0, true, false, rules, late));
    assertEquals(FormatSupport.FIRST, settled.formatVersion(), "there is to be another");
    say(new Command.Join("b", 1, 0, true, false, rules, FormatSupport.UNSTATED));
    report("a", 4, 1);
    assertEquals(FormatSupport.FIRST, settled.formatVersion());
    say(new Command.Join("b", 2, 1, true, false, rules, late));
    assertEquals(FormatSupport.LATEST, settled.formatVersion());
    assertEquals(
        FormatSupport.LATEST, MaintenanceState.fromSnapshot(settled.toSnapshot()).formatVersion());
    CommandResult back =
        say(new Command.Join("b", 3, 2, true, false, rules, FormatSupport.UNSTATED));
    assertFalse(back.ok());
    assertTrue(back.message().contains("a later release expected"), back.message());
  }

  /** Everything that can be said goes through the form in which the log has it. */
  @Test
  void everyCommandIsReadAsItWasWritten() {
    MaintenanceRules rules =
        new MaintenanceRules(7, 4000, 500, 3, 2, List.of(new CapacityFloor("*", "b", 0.75)));
    CapacityReport report =
        new CapacityReport(9, Map.of(STORE, new CapacityReport.Capacity(3, 2.5)), Set.of("m4"));
    for (Command command :
        List.of(
            new Command.Join("a", 4, 3, true, false, rules, new FormatSupport(2, 5)),
            new Command.Renew("a", 4, report),
            new Command.Renew("a", 4, null),
            new Command.Free("a", 4, 2, "m"),
            new Command.Leave("a", 4),
            new Command.Fence("a", true),
            ask("k", "ann", true, 1, 2),
            new Command.Done(3, "m1"),
            new Command.Done(3, null),
            new Command.Extend(3, 5),
            new Command.Cancel(3))) {
      assertEquals(command, CommandCodec.decodeCommand(CommandCodec.encode(command)));
    }
  }

  /** One that is not there, or lacks the log, settles nothing: no change may count on its vote. */
  @Test
  void thoseThatVoteAreChangedOnlyWhileAMajorityOfThemIsThere() {
    join("a", false, 1, 0.5);
    join("b", false, 1, 0.5);
    assertEquals(
        "c is not there with the log yet", settled.voteObstacle(List.of("a", "c"), "c", -1));
    join("c", false, 1, 0.5);
    assertEquals("", settled.voteObstacle(List.of("a", "b", "c"), "c", -1));
    assertEquals(
        "c is not there with the log yet",
        settled.voteObstacle(List.of("a", "b", "c"), "c", 0),
        "heard before it was asked for");
    now = 3001;
    report("a", 4, 4);
    report("c", 4, 4);
    assertEquals("", settled.voteObstacle(List.of("a", "b", "c"), null, 0));
    assertEquals(
        "of a, b only 1 would be there to vote", settled.voteObstacle(List.of("a", "b"), null, 0));
    say(new Command.Fence("c", false));
    assertEquals(
        "of a, b, c only 1 would be there to vote",
        settled.voteObstacle(List.of("a", "b", "c"), null, 0));
  }
}
