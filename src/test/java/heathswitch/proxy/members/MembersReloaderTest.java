package heathswitch.proxy.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.members.ListDecision;
import heathswitch.policy.members.ListPolicy;
import heathswitch.policy.members.ServerStateTracker.State;
import heathswitch.policy.members.ServerStateTracker.Update;
import heathswitch.proxy.files.BoundedFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files that are written in all the ways in which people and editors write them, or break them. */
class MembersReloaderTest {
  private static final long SETTLE = 100;
  private static final ListPolicy POLICY = new ListPolicy(0.5, 600_000, 0.01, 100, 50);

  @TempDir Path folder;
  private long now = System.currentTimeMillis();
  private final List<MembersReloader> keepers = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (MembersReloader keeper : keepers) {
      keeper.close();
    }
  }

  private Path file(String name) {
    return folder.resolve(name);
  }

  private MembersReloader keeper(Path state, Path... files) {
    MembersReloader keeper =
        new MembersReloader(new MembersConfig(List.of(files), state, 1000, 10, SETTLE, POLICY));
    keepers.add(keeper);
    return keeper;
  }

  /** Servers s-FROM to s-TO of one kind. */
  private static String table(int from, int to, String more) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i <= to; i++) {
      text.append("s-" + i + " 127.0.0.1:" + (9000 + i) + " a k 0 1 in_service\n");
    }
    long lines = to - from + 1 + more.lines().count();
    return text + more + "end " + lines + "\n";
  }

  private static String table(int from, int to) {
    return table(from, to, "");
  }

  /** Looks until whatever is there now has settled. */
  private List<Update> settled(MembersReloader keeper) {
    List<Update> news = new ArrayList<>(keeper.look(now));
    now += SETTLE;
    news.addAll(keeper.look(now));
    now += SETTLE;
    news.addAll(keeper.look(now));
    return news;
  }

  private MembersStatus status(MembersReloader keeper) {
    return keeper.status(true);
  }

  private String refusal(MembersReloader keeper) {
    return status(keeper).refusals().get(0).reasons().get(0);
  }

  private MembersReloader started(String text) throws Exception {
    Files.writeString(file("m"), text);
    MembersReloader keeper = keeper(null, file("m"));
    keeper.start(now);
    return keeper;
  }

  @Test
  void aSettledChangeIsTakenWhole() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    Files.writeString(file("m"), table(1, 4));
    assertEquals(List.of(), keeper.look(now), "not yet settled");
    now += SETTLE;
    List<Update> news = keeper.look(now);
    assertEquals(1, news.size());
    assertEquals("s-4", news.get(0).server().id());
    assertEquals(State.READY, news.get(0).state());
    assertEquals(2, status(keeper).version());
  }

  @Test
  void oneThatLeftIsDrainedAndThenGone() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    Files.writeString(file("m"), table(1, 2));
    assertEquals(State.DRAINING, settled(keeper).get(0).state());
    assertEquals(1, status(keeper).draining());
    now += 1000;
    assertEquals(State.GONE, keeper.look(now).get(0).state());
    assertEquals(0, status(keeper).draining());
  }

  /** Every cut of a good file is refused, and the list before it stays. */
  @Test
  void aFileCutAtAnyByteChangesNothing() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    byte[] next = table(1, 12).getBytes();
    for (int length = 0; length < next.length - 1; length++) {
      Files.write(file("m"), Arrays.copyOf(next, length));
      assertEquals(List.of(), settled(keeper), "cut after " + length);
    }
    assertEquals(1, status(keeper).version());
    assertEquals(next.length - 1, status(keeper).refusedTotal());
    assertEquals(MembersReloader.MOST_REFUSALS, status(keeper).refusals().size());
    Files.write(file("m"), next);
    assertEquals(9, settled(keeper).size());
  }

  /** A file that goes on changing is not read before it has come to rest. */
  @Test
  void aFileThatGrowsIsWaitedFor() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    String next = table(1, 5);
    Files.writeString(file("m"), "");
    for (int i = 0; i < next.length(); i++) {
      Files.writeString(file("m"), next.substring(i, i + 1), StandardOpenOption.APPEND);
      now += SETTLE / 2;
      assertEquals(List.of(), keeper.look(now));
    }
    assertEquals(0, status(keeper).refusedTotal());
    assertEquals(2, settled(keeper).size());
  }

  @Test
  void aFileThatGrowsWithoutEndIsNotReadBeyondItsBound() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    int bound = new MembersConfig(List.of(), null, 0, 0, 0, POLICY).mostBytes();
    Files.write(file("m"), new byte[bound + 1]);
    assertEquals(List.of(), settled(keeper));
    assertEquals("m: has over " + bound + " bytes; no more are read", refusal(keeper));
    assertEquals(3, status(keeper).servers());
  }

  @Test
  void renamedOverIsSeen() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    Path next = Files.writeString(file("next"), table(2, 4));
    // Of the same size and with the old file's time: only that it is another file tells.
    Files.setLastModifiedTime(next, Files.getLastModifiedTime(file("m")));
    Files.move(next, file("m"), StandardCopyOption.ATOMIC_MOVE);
    assertEquals(2, settled(keeper).size());
  }

  @Test
  void aSwappedFolderIsSeen() throws Exception {
    Files.createDirectories(file("v1"));
    Files.createDirectories(file("v2"));
    Files.writeString(file("v1").resolve("m"), table(1, 3));
    Files.writeString(file("v2").resolve("m"), table(1, 4));
    Files.createSymbolicLink(file("now"), Path.of("v1"));
    MembersReloader keeper = keeper(null, file("now").resolve("m"));
    keeper.start(now);
    Files.createSymbolicLink(file("new"), Path.of("v2"));
    Files.move(file("new"), file("now"), StandardCopyOption.ATOMIC_MOVE);
    assertEquals(1, settled(keeper).size());
  }

  /** Two writes of one size within one tick of the file system's clock. */
  @Test
  void twoWritesUnderOneStampAreBothSeen() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    FileTime time = FileTime.fromMillis(now);
    String one = table(1, 3, "x-1 127.0.0.1:8001 a k 0 1 in_service\n");
    Files.writeString(file("m"), one);
    Files.setLastModifiedTime(file("m"), time);
    assertEquals(1, settled(keeper).size());
    Files.writeString(file("m"), one.replace("x-1", "x-2"));
    Files.setLastModifiedTime(file("m"), time);
    List<Update> news = settled(keeper);
    assertEquals(List.of("x-2", "x-1"), news.stream().map(n -> n.server().id()).toList());
  }

  /**
   * Where the file system's clock shows no difference, the content does while the file is fresh.
   */
  @Test
  void aFreshFileIsReadAgainThoughItsStampIsTheSame() throws Exception {
    Path path = Files.writeString(file("m"), table(1, 3));
    BoundedFile.Stamp always = BoundedFile.stamp(path);
    WatchedFile file = new WatchedFile(path, 10_000, any -> always);
    long at = always.newestMillis();
    assertTrue(file.look(at, 0));
    Files.writeString(path, table(2, 4));
    assertFalse(file.look(at + 25, 20), "not yet settled");
    assertTrue(file.look(at + 45, 20));
    assertEquals("s-2", file.parsed().entries().get(0).server().id());
    // Much later a write would show in the stamp, and the file is not read any more.
    assertTrue(file.look(at + 2 * WatchedFile.TICK_MILLIS, 20));
    Files.delete(path);
    assertTrue(file.look(at + 3 * WatchedFile.TICK_MILLIS, 20));
    assertEquals("s-2", file.parsed().entries().get(0).server().id());
  }

  @Test
  void aFolderADeviceAndNothingAreToldApart() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    Files.delete(file("m"));
    assertEquals(List.of(), settled(keeper));
    assertEquals("m: is not there", refusal(keeper));
    Files.createDirectory(file("m"));
    settled(keeper);
    assertEquals("m: is a folder; a file is expected", refusal(keeper));
    Files.delete(file("m"));
    Files.createSymbolicLink(file("m"), Path.of("/dev/zero"));
    settled(keeper);
    assertEquals("m: is a device or a pipe; a file is expected", refusal(keeper));
    Files.delete(file("m"));
    Files.writeString(file("m"), table(1, 4));
    assertEquals(1, settled(keeper).size(), "deleted and back");
    assertEquals(3, status(keeper).refusedTotal(), "each trouble is told once");
  }

  @Test
  void aFileThatMayNotBeReadIsToldApart() throws Exception {
    MembersReloader keeper = started(table(1, 3));
    Files.setPosixFilePermissions(file("m"), Set.of());
    Assumptions.assumeFalse(Files.isReadable(file("m")), "whoever tests may read everything");
    settled(keeper);
    assertEquals("m: may not be read", refusal(keeper));
    Files.setPosixFilePermissions(file("m"), Set.of(PosixFilePermission.OWNER_READ));
    assertEquals(List.of(), settled(keeper));
    assertEquals(1, status(keeper).version());
  }

  @Test
  void twoFilesThatContradictEachOtherChangeNothing() throws Exception {
    Files.writeString(file("m1"), table(1, 3));
    Files.writeString(file("m2"), table(11, 13));
    MembersReloader keeper = keeper(null, file("m1"), file("m2"));
    assertEquals(6, keeper.start(now).size());
    Files.writeString(file("m2"), table(11, 14, "s-2 127.0.0.1:7 a k 0 1 in_service\n"));
    assertEquals(List.of(), settled(keeper));
    assertEquals("m2:5: the id s-2 stands a second time; it is also at m1:2", refusal(keeper));
    Files.writeString(file("m2"), table(11, 14, "y 127.0.0.1:9001 a k 0 1 in_service\n"));
    settled(keeper);
    assertEquals(
        "m2:5: the address 127.0.0.1:9001 stands a second time; it is also at m1:1",
        refusal(keeper));
    // One bad file keeps back the good change of the other.
    Files.writeString(file("m1"), table(1, 4));
    assertEquals(List.of(), settled(keeper));
    Files.writeString(file("m2"), table(11, 14));
    assertEquals(2, settled(keeper).size());
  }

  @Test
  void massRemovalIsHeldAndTakenWhenConfirmed() throws Exception {
    MembersReloader keeper = started(table(1, 8));
    Files.writeString(file("m"), table(1, 2));
    assertEquals(List.of(), settled(keeper));
    MembersStatus.PendingList held = status(keeper).pending();
    assertEquals(6, held.removed());
    List<Update> news = new ArrayList<>();
    assertInstanceOf(ListDecision.Refused.class, keeper.confirm(now, held.version() + 1, news));
    assertEquals(0, news.size());
    assertInstanceOf(ListDecision.Accepted.class, keeper.confirm(now, held.version(), news));
    assertEquals(6, news.size());
    assertNull(status(keeper).pending());
    assertEquals(List.of(), settled(keeper), "the file says nothing new");
  }

  // ---- the state folder ----

  @Test
  void aBadFileAtTheStartFallsBackToTheKeptList() throws Exception {
    Path state = file("state");
    Files.writeString(file("m"), table(1, 3));
    MembersReloader first = keeper(state, file("m"));
    first.start(now);
    first.close();
    Files.writeString(file("m"), "s-1 127.0");
    MembersReloader next = keeper(state, file("m"));
    assertEquals(3, next.start(now).size());
    assertEquals(1, status(next).version());
    assertEquals(List.of(state.resolve("members.state").toString()), status(next).source());
    assertEquals(1, status(next).refusedTotal());
    next.close();
    Files.delete(file("m"));
    assertEquals(3, keeper(state, file("m")).start(now).size());
  }

  /** What was removed before a restart counts after it. */
  @Test
  void massRemovalAcrossARestartIsHeld() throws Exception {
    Path state = file("state");
    Files.writeString(file("m"), table(1, 8));
    MembersReloader first = keeper(state, file("m"));
    first.start(now);
    Files.writeString(file("m"), table(1, 5));
    assertEquals(3, settled(first).size());
    first.keep(now);
    first.close();
    Files.writeString(file("m"), table(1, 3));
    MembersReloader next = keeper(state, file("m"));
    assertEquals(5, next.start(now).size());
    MembersStatus.PendingList held = status(next).pending();
    assertNotNull(held);
    assertTrue(held.reasons().get(0).startsWith("5 of 8 servers"), held.reasons().get(0));
    assertEquals(3, held.version());
    MembersCheck.Report report =
        MembersCheck.check(
            new MembersConfig(List.of(), state, 0, 0, 0, POLICY), List.of(file("m")), now);
    assertEquals("  " + held.reasons().get(0), report.lines().get(2), "check says the same");
    assertFalse(report.acceptable());
  }

  @Test
  void aDamagedStateIsSetAsideAndNeverBelieved() throws Exception {
    Path state = file("state");
    Files.writeString(file("m"), table(1, 3));
    MembersReloader first = keeper(state, file("m"));
    first.start(now);
    first.close();
    Files.delete(file("m"));
    byte[] whole = Files.readAllBytes(state.resolve("members.state"));
    for (int i = 0; i < whole.length; i++) {
      byte[] damaged = whole.clone();
      damaged[i] ^= 1;
      Files.write(state.resolve("members.state"), damaged);
      MembersReloader keeper = keeper(state, file("m"));
      MembersReloader.NoUsableListException none =
          assertThrows(
              MembersReloader.NoUsableListException.class, () -> keeper.start(now), "byte " + i);
      assertTrue(none.getMessage().contains("members.state"), none.getMessage());
      assertTrue(none.getMessage().contains("m: is not there"), none.getMessage());
      assertFalse(Files.exists(state.resolve("members.state")));
      keeper.close();
    }
    try (Stream<Path> left = Files.list(state)) {
      assertEquals(3, left.filter(path -> path.toString().contains("damaged")).count());
    }
  }

  @Test
  void withNeitherFileNorStateTheStartFailsAndSaysWhy() {
    MembersReloader keeper = keeper(file("state"), file("m"));
    MembersReloader.NoUsableListException none =
        assertThrows(MembersReloader.NoUsableListException.class, () -> keeper.start(now));
    assertEquals(
        "no list of servers to start with:\n  "
            + file("state").resolve("members.state")
            + " is not there\n  m: is not there",
        none.getMessage());
  }

  /** The list is served all the same, and kept when there is room again. */
  @Test
  void aFullDiskUnderTheStateIsToldAndTriedAgain() throws Exception {
    Path state = Files.createDirectory(file("state"));
    Path temporary = state.resolve(".members.state.tmp");
    Files.createSymbolicLink(temporary, Path.of("/dev/full"));
    Files.writeString(file("m"), table(1, 3));
    MembersReloader keeper = keeper(state, file("m"));
    assertEquals(3, keeper.start(now).size());
    assertTrue(status(keeper).stateTrouble().contains("could not be kept"));
    assertFalse(Files.exists(state.resolve("members.state")));
    Files.delete(temporary);
    keeper.keep(now);
    assertNotNull(status(keeper).stateTrouble(), "not at each look");
    now += 5000;
    keeper.keep(now);
    assertNull(status(keeper).stateTrouble());
    assertTrue(Files.exists(state.resolve("members.state")));
  }

  @Test
  void aStateFolderServesOneBalancer() throws Exception {
    Files.writeString(file("m"), table(1, 3));
    keeper(file("state"), file("m")).start(now);
    MembersReloader second = keeper(file("state"), file("m"));
    MembersReloader.NoUsableListException none =
        assertThrows(MembersReloader.NoUsableListException.class, () -> second.start(now));
    assertTrue(none.getMessage().contains("in use by another balancer"), none.getMessage());
  }

  @Test
  void otherFilesAndRulesAreFollowedAfterAReload() throws Exception {
    MembersReloader keeper = started(table(1, 8));
    Files.writeString(file("m"), table(1, 2));
    settled(keeper);
    assertNotNull(status(keeper).pending());
    Files.writeString(file("n"), table(1, 9));
    keeper.reconfigure(new MembersConfig(List.of(file("n")), null, 1000, 10, SETTLE, POLICY));
    assertEquals(1, settled(keeper).size());
    assertNull(status(keeper).pending());
    assertEquals(List.of(file("n").toString()), status(keeper).source());
  }
}
