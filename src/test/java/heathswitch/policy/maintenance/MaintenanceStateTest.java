package heathswitch.policy.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the replicated state machine of maintenance orders, entry by entry. */
class MaintenanceStateTest {
  private static final ServerGroup STORE_GROUP = new ServerGroup("store", "a");
  private final MaintenanceState state = new MaintenanceState();
  private long index;
  private long now;

  private CommandResult apply(Command command) {
    return state.apply(++index, now, command);
  }

  private void join(String instance, boolean stops, int mostOut, double least) {
    MaintenanceRules rules =
        new MaintenanceRules(
            1, 4000, 1000, mostOut, mostOut, List.of(new CapacityFloor("store", "*", least)));
    assertTrue(
        apply(new Command.Join(instance, 1, 0, true, stops, rules, FormatSupport.UNSTATED)).ok());
  }

  private void report(String instance, double listed, double available, String... warm) {
    CapacityReport report =
        new CapacityReport(
            index,
            Map.of(STORE_GROUP, new CapacityReport.Capacity(listed, available)),
            Set.of(warm));
    assertTrue(apply(new Command.Renew(instance, 1, report)).ok());
  }

  private static Machine machine(int number) {
    return new Machine("m" + number, "store", "a", number, 1, "at-" + number);
  }

  private static Command.Ask ask(String key, String requester, boolean urgent, int... machines) {
    List<Machine> list = new ArrayList<>();
    for (int each : machines) {
      list.add(machine(each));
    }
    return new Command.Ask(key, requester, "disk", urgent, 1, 60_000, 0, 0, 0, list);
  }

  private Phase phase(long order) {
    return state.phaseCounts(order).keySet().iterator().next();
  }

  @Test
  void machineIsOutOnceEveryInstanceHasFreedIt() {
    join("a", false, 1, 0.5);
    join("b", false, 1, 0.5);
    report("a", 4, 4);
    long order = apply(ask("k", "ann", false, 1)).value();
    assertEquals(Phase.EMPTYING, phase(order));
    apply(new Command.Free("a", 1, order, "m1"));
    assertEquals(Phase.EMPTYING, phase(order));
    assertTrue(state.machineStatuses(order, 1).get(0).waitsFor().contains("b (heard"));
    apply(new Command.Free("b", 1, order, "m1"));
    assertEquals(Phase.OUT, phase(order));
    apply(new Command.Done(order, null));
    assertEquals(Phase.RETURNING, phase(order));
    report("a", 4, 3.1);
    assertEquals(Phase.RETURNING, phase(order), "a report made since does not call it warm");
    report("a", 4, 4, "m1");
    assertEquals(Phase.DONE, phase(order));
  }

  /** An entry has to be submitted at that time; there may be none otherwise. */
  @Test
  void expiryIsDueWhenTheLeaseOfAnUnreachableInstanceEnds() {
    join("a", true, 1, 0.5);
    join("b", true, 1, 0.5);
    report("a", 4, 4);
    assertEquals(Long.MAX_VALUE, state.nextExpiryMillis(), "no machine waits for an instance");
    now = 1000;
    report("a", 4, 4);
    long order = apply(ask("k", "ann", false, 1)).value();
    assertEquals(5000, state.nextExpiryMillis(), "b last renewed at 0; lease plus margin are 5 s");
    apply(new Command.Free("a", 1, order, "m1"));
    now = 4999;
    report("a", 4, 4);
    assertEquals(Phase.EMPTYING, phase(order));
    now = state.nextExpiryMillis();
    report("a", 4, 4);
    assertEquals(Phase.OUT, phase(order));
    assertEquals(Long.MAX_VALUE, state.nextExpiryMillis());
  }

  /** An operator has fenced an instance by mistake, and it goes on sending. */
  @Test
  void instanceThatJoinsAgainWhileSendingMustFreeMachinesAgain() {
    join("a", false, 1, 0.5);
    join("b", false, 1, 0.5);
    report("a", 4, 4);
    long order = apply(ask("k", "ann", false, 1)).value();
    apply(new Command.Free("b", 1, order, "m1"));
    apply(new Command.Fence("b", false));
    MaintenanceRules rules = state.rules();
    assertFalse(
        apply(new Command.Join("b", 3, 1, true, false, rules, FormatSupport.UNSTATED)).ok(),
        "sent before the fence");
    long known = state.incarnation("b");
    assertTrue(
        apply(new Command.Join("b", 2, known, false, false, rules, FormatSupport.UNSTATED)).ok());
    apply(new Command.Free("a", 1, order, "m1"));
    assertEquals(Phase.EMPTYING, phase(order));
    apply(new Command.Free("b", 2, order, "m1"));
    assertEquals(Phase.OUT, phase(order));
  }

  @Test
  void instanceThatStopsWhenCutOffIsFencedAfterLeaseAndMargin() {
    join("a", true, 1, 0.5);
    join("b", true, 1, 0.5);
    report("a", 4, 4);
    long order = apply(ask("k", "ann", false, 1)).value();
    apply(new Command.Free("a", 1, order, "m1"));
    now = 4999;
    report("a", 4, 4);
    assertEquals(Phase.EMPTYING, phase(order));
    now = 5000;
    report("a", 4, 4);
    assertEquals(Phase.OUT, phase(order));
    assertFalse(apply(new Command.Renew("b", 1, null)).ok());
  }

  /** A leader that was cut off made the clock reading, so no lease may start from it. */
  @Test
  void entryWithoutTimeDoesNotRenewLease() {
    join("a", true, 1, 0.5);
    MaintenanceState.InstanceStatus before = state.instanceStatuses().get(0);
    assertFalse(state.apply(++index, -1, new Command.Renew("a", 1, null)).ok());
    assertEquals(before, state.instanceStatuses().get(0));
    Command join = new Command.Join("b", 1, 0, true, true, state.rules(), FormatSupport.UNSTATED);
    assertFalse(state.apply(++index, -1, join).ok());
    LogClock clock = new LogClock();
    assertEquals(LogClock.NO_TIME, clock.apply(2, 1, 50));
    assertEquals(0, clock.appliedMillis());
  }

  @Test
  void requestThatCanNeverBeGrantedIsRejected() {
    join("a", false, 1, 0.9);
    report("a", 4, 4);
    CommandResult result = apply(ask("k", "ann", false, 1));
    assertFalse(result.ok());
    assertTrue(result.message().contains("can never go"), result.message());
    assertFalse(apply(ask("none", "ann", false)).ok());
    assertFalse(apply(ask("twice", "ann", false, 1, 1)).ok());
  }

  /** Rules of a later version apply at once; machines that are out stay out. */
  @Test
  void raisedFloorAppliesToWaitingMachines() {
    join("a", false, 3, 0.2);
    report("a", 4, 4);
    long first = apply(ask("k", "ann", false, 1)).value();
    MaintenanceRules raised =
        new MaintenanceRules(2, 4000, 1000, 3, 3, List.of(new CapacityFloor("store", "*", 0.75)));
    assertTrue(
        apply(new Command.Join("b", 1, 0, true, false, raised, FormatSupport.UNSTATED)).ok());
    long second = apply(ask("l", "ann", false, 2)).value();
    assertEquals(Phase.EMPTYING, phase(first));
    assertEquals(Phase.WAITING, phase(second));
    assertTrue(state.machineStatuses(second, 1).get(0).waitsFor().contains("floor 0.75"));
    CommandResult older =
        apply(
            new Command.Join(
                "c",
                1,
                0,
                true,
                false,
                new MaintenanceRules(1, 1, 1, 1, 1, List.of()),
                FormatSupport.UNSTATED));
    assertTrue(older.ok() && older.message().contains("version 2"), older.message());
    assertEquals(raised, state.rules());
  }

  @Test
  void repeatedRequestReturnsTheSameOrder() {
    join("a", false, 1, 0.5);
    report("a", 4, 4);
    long first = apply(ask("k", "ann", false, 1)).value();
    assertEquals(first, apply(ask("k", "ann", false, 1)).value());
    assertEquals(1, state.orderIds().size());
  }

  /** The sequence in which orders are granted, with each machine put back and warm at once. */
  private List<Long> granted(long... orders) {
    List<Long> granted = new ArrayList<>();
    for (int i = 0; i < 200 && granted.size() < orders.length; i++) {
      for (MaintenanceState.AwayMachine each : state.awayMachines()) {
        if (each.phase() == Phase.EMPTYING) {
          granted.add(each.order());
          apply(new Command.Free("a", 1, each.order(), each.machine()));
          apply(new Command.Done(each.order(), null));
          report("a", 12, 12, each.machine());
        }
      }
    }
    return granted;
  }

  /** A requester with many orders has one turn in a round, like any other. */
  @Test
  void requesterWithManyOrdersDoesNotStarveOthers() {
    join("a", false, 1, 0.5);
    report("a", 12, 12);
    long[] many = new long[6];
    for (int i = 0; i < 6; i++) {
      many[i] = apply(ask("k" + i, "ann", false, i)).value();
    }
    long one = apply(ask("one", "bo", false, 7)).value();
    List<Long> granted = granted(many[0], many[1], many[2], many[3], many[4], many[5], one);
    assertEquals(7, granted.size());
    assertTrue(granted.indexOf(one) <= 1, "granted at position " + granted.indexOf(one));
  }

  /** Urgent orders go first, but after a limited number of rounds the others have their turn. */
  @Test
  void urgentOrdersGoFirstWithinABound() {
    join("a", false, 1, 0.5);
    report("a", 12, 12);
    apply(ask("first", "zoe", false, 0));
    long plain = apply(ask("plain", "bo", false, 1)).value();
    long[] all = new long[14];
    for (int i = 0; i < 14; i++) {
      all[i] = apply(ask("u" + i, "ann", true, 2 + i % 9)).value();
    }
    List<Long> granted = granted(new long[16]);
    assertEquals(16, granted.size());
    assertTrue(granted.indexOf(plain) > 4, "granted at position " + granted.indexOf(plain));
    assertTrue(granted.indexOf(plain) < 13, "granted at position " + granted.indexOf(plain));
  }

  /** Capacity that a heavy machine waits for is not given to light ones behind it. */
  @Test
  void laterOrdersDoNotTakeCapacityThatAnEarlierOneWaitsFor() {
    join("a", false, 3, 0.5);
    report("a", 12, 7);
    Machine heavy = new Machine("heavy", "store", "a", 99, 4, "at-heavy");
    long large =
        apply(new Command.Ask("l", "ann", "", false, 1, 60_000, 0, 0, 0, List.of(heavy))).value();
    long small = apply(ask("s", "bo", false, 1)).value();
    assertEquals(Phase.WAITING, phase(large));
    assertEquals(Phase.WAITING, phase(small));
    report("a", 12, 12);
    assertEquals(Phase.EMPTYING, phase(large));
    assertEquals(Phase.EMPTYING, phase(small));
  }

  /** One order of ten thousand machines and a thousand orders. */
  @Test
  void entriesAreAppliedQuicklyWithManyOrdersAndMachines() {
    join("a", false, 2, 0.5);
    report("a", 30_000, 30_000);
    int[] machines = new int[10_000];
    for (int i = 0; i < machines.length; i++) {
      machines[i] = i;
    }
    assertTrue(apply(ask("large", "ann", false, machines)).ok());
    long began = System.nanoTime();
    for (int i = 0; i < 1000; i++) {
      assertTrue(apply(ask("k" + i, "p" + i % 7, i % 9 == 0, 10_000 + i)).ok(), "order " + i);
    }
    double millis = (System.nanoTime() - began) / 1e6 / 1000;
    assertTrue(millis < 50, "applying an entry takes " + millis + " ms");
    assertFalse(apply(ask("more", "ann", false, machines)).ok(), "over the limit of machines");
    MaintenanceState restored = MaintenanceState.fromSnapshot(state.toSnapshot());
    assertEquals(state.toSnapshot(), restored.toSnapshot());
  }

  @Test
  void overdueMachineDoesNotBlockOthers() {
    join("a", false, 2, 0.5);
    report("a", 4, 4);
    long order = apply(ask("k", "ann", false, 1)).value();
    apply(new Command.Free("a", 1, order, "m1"));
    now += 60_001;
    report("a", 4, 3);
    assertTrue(state.machineStatuses(order, 1).get(0).overdue());
    assertEquals(Phase.OUT, phase(order), "a machine is not put back while it is being worked on");
    long other = apply(ask("o", "bo", false, 2)).value();
    assertEquals(Phase.EMPTYING, phase(other));
    apply(new Command.Extend(order, 60_000));
    assertFalse(state.machineStatuses(order, 1).get(0).overdue());
  }

  /** They are only marked: just those who work on a machine know when it can come back. */
  @Test
  void machinesThatAreOutAreWantedBackWhileCapacityIsBelowFloor() {
    MaintenanceRules rules =
        new MaintenanceRules(1, 4000, 1000, 2, 2, List.of(new CapacityFloor("store", "*", 0.5)));
    apply(
        new Command.Join(
            "a", 1, 0, true, false, rules, new FormatSupport(FormatSupport.LATEST, 1)));
    report("a", 4, 4);
    long order = apply(ask("k", "ann", false, 1)).value();
    apply(new Command.Free("a", 1, order, "m1"));
    report("a", 4, 2);
    assertEquals(0, state.wantedBackCount(order));
    long changes = state.changeCount();
    report("a", 4, 1.5);
    assertEquals(1, state.wantedBackCount(order));
    assertEquals(Phase.OUT, phase(order));
    assertTrue(state.changeCount() > changes && state.awayMachines().get(0).wantedBack());
    String reason = state.machineStatuses(order, 1).get(0).waitsFor();
    assertTrue(reason.contains("wanted back") && reason.contains("a sees 1.50"), reason);
    assertEquals(
        state.toSnapshot(), MaintenanceState.fromSnapshot(state.toSnapshot()).toSnapshot());
    long other = apply(ask("o", "bo", false, 2)).value();
    assertEquals(Phase.WAITING, phase(other));
    report("a", 4, 3);
    assertEquals(0, state.wantedBackCount(order));
    assertEquals(Phase.EMPTYING, phase(other));
  }

  /** Until all have been upgraded, the state computed is that of the earlier release. */
  @Test
  void laterFormatVersionIsInForceOnceAllInstancesReadIt() {
    MaintenanceRules rules =
        new MaintenanceRules(1, 4000, 1000, 2, 2, List.of(new CapacityFloor("store", "*", 0.9)));
    FormatSupport latest = new FormatSupport(FormatSupport.LATEST, 2);
    apply(new Command.Join("a", 1, 0, true, false, rules, latest));
    assertEquals(
        FormatSupport.FIRST, state.formatVersion(), "one of two instances has not joined yet");
    apply(new Command.Join("b", 1, 0, true, false, rules, FormatSupport.UNSTATED));
    report("a", 4, 1);
    assertEquals(FormatSupport.FIRST, state.formatVersion());
    apply(new Command.Join("b", 2, 1, true, false, rules, latest));
    assertEquals(FormatSupport.LATEST, state.formatVersion());
    assertEquals(
        FormatSupport.LATEST, MaintenanceState.fromSnapshot(state.toSnapshot()).formatVersion());
    CommandResult result =
        apply(new Command.Join("b", 3, 2, true, false, rules, FormatSupport.UNSTATED));
    assertFalse(result.ok());
    assertTrue(result.message().contains("a later release expected"), result.message());
  }

  /** Covers all commands and, with them, rules and reports. */
  @Test
  void everyCommandIsDecodedAsEncoded() {
    MaintenanceRules rules =
        new MaintenanceRules(7, 4000, 500, 3, 2, List.of(new CapacityFloor("*", "b", 0.75)));
    CapacityReport report =
        new CapacityReport(
            9, Map.of(STORE_GROUP, new CapacityReport.Capacity(3, 2.5)), Set.of("m4"));
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

  /** An instance that is unreachable or lacks the log cannot acknowledge entries. */
  @Test
  void votersChangeOnlyWhileAMajorityOfThemIsReachable() {
    join("a", false, 1, 0.5);
    join("b", false, 1, 0.5);
    assertEquals(
        "c is not reachable with an up-to-date log yet",
        state.voteObstacle(List.of("a", "c"), "c", -1));
    join("c", false, 1, 0.5);
    assertEquals("", state.voteObstacle(List.of("a", "b", "c"), "c", -1));
    assertEquals(
        "c is not reachable with an up-to-date log yet",
        state.voteObstacle(List.of("a", "b", "c"), "c", 0),
        "last renewed before the change was requested");
    now = 3001;
    report("a", 4, 4);
    report("c", 4, 4);
    assertEquals("", state.voteObstacle(List.of("a", "b", "c"), null, 0));
    assertEquals(
        "only 1 of the voters a, b would be reachable",
        state.voteObstacle(List.of("a", "b"), null, 0));
    apply(new Command.Fence("c", false));
    assertEquals(
        "only 1 of the voters a, b, c would be reachable",
        state.voteObstacle(List.of("a", "b", "c"), null, 0));
  }
}
