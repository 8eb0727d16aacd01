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

/** Watched files that are edited, replaced, truncated or unreadable, and the state folder. */
class MembersReloaderTest {
  private static final long SETTLE = 100;
  private static final ListPolicy POLICY = new ListPolicy(0.5, 600_000, 0.01, 100, 50);

  @TempDir Path folder;
  private long now = System.currentTimeMillis();
  private final List<MembersReloader> reloaders = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (MembersReloader reloader : reloaders) {
      reloader.close();
    }
  }

  private Path file(String name) {
    return folder.resolve(name);
  }

  private MembersReloader reloader(Path state, Path... files) {
    MembersReloader reloader =
        new MembersReloader(new MembersConfig(List.of(files), state, 1000, 10, SETTLE, POLICY));
    reloaders.add(reloader);
    return reloader;
  }

  /** A file with the servers s-FROM to s-TO of one kind, and additional lines. */
  private static String listText(int from, int to, String moreLines) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i <= to; i++) {
      text.append("s-" + i + " 127.0.0.1:" + (9000 + i) + " a k 0 1 in_service\n");
    }
    long lines = to - from + 1 + moreLines.lines().count();
    return text + moreLines + "end " + lines + "\n";
  }

  private static String listText(int from, int to) {
    return listText(from, to, "");
  }

  /** Polls until the files as they are now have settled. */
  private List<Update> pollUntilSettled(MembersReloader reloader) {
    List<Update> updates = new ArrayList<>(reloader.poll(now));
    now += SETTLE;
    updates.addAll(reloader.poll(now));
    now += SETTLE;
    updates.addAll(reloader.poll(now));
    return updates;
  }

  private MembersStatus status(MembersReloader reloader) {
    return reloader.status(true);
  }

  private String lastRefusal(MembersReloader reloader) {
    return status(reloader).refusals().get(0).reasons().get(0);
  }

  private MembersReloader startWith(String text) throws Exception {
    Files.writeString(file("m"), text);
    MembersReloader reloader = reloader(null, file("m"));
    reloader.start(now);
    return reloader;
  }

  @Test
  void changeIsAcceptedOnceSettled() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    Files.writeString(file("m"), listText(1, 4));
    assertEquals(List.of(), reloader.poll(now), "not yet settled");
    now += SETTLE;
    List<Update> updates = reloader.poll(now);
    assertEquals(1, updates.size());
    assertEquals("s-4", updates.get(0).server().id());
    assertEquals(State.READY, updates.get(0).state());
    assertEquals(2, status(reloader).version());
  }

  @Test
  void removedServerDrainsUntilItsDrainTimeIsOver() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    Files.writeString(file("m"), listText(1, 2));
    assertEquals(State.DRAINING, pollUntilSettled(reloader).get(0).state());
    assertEquals(1, status(reloader).draining());
    now += 1000;
    assertEquals(State.GONE, reloader.poll(now).get(0).state());
    assertEquals(0, status(reloader).draining());
  }

  /** Every truncation of a valid file is refused, and the list before it stays in use. */
  @Test
  void truncationAtAnyByteIsRefused() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    byte[] next = listText(1, 12).getBytes();
    for (int length = 0; length < next.length - 1; length++) {
      Files.write(file("m"), Arrays.copyOf(next, length));
      assertEquals(List.of(), pollUntilSettled(reloader), "truncated after " + length);
    }
    assertEquals(1, status(reloader).version());
    assertEquals(next.length - 1, status(reloader).refusedTotal());
    assertEquals(MembersReloader.MAX_REFUSALS, status(reloader).refusals().size());
    Files.write(file("m"), next);
    assertEquals(9, pollUntilSettled(reloader).size());
  }

  /** A file that keeps changing is not read until it has been unchanged for the settle time. */
  @Test
  void growingFileIsNotReadUntilItSettles() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    String next = listText(1, 5);
    Files.writeString(file("m"), "");
    for (int i = 0; i < next.length(); i++) {
      Files.writeString(file("m"), next.substring(i, i + 1), StandardOpenOption.APPEND);
      now += SETTLE / 2;
      assertEquals(List.of(), reloader.poll(now));
    }
    assertEquals(0, status(reloader).refusedTotal());
    assertEquals(2, pollUntilSettled(reloader).size());
  }

  @Test
  void fileLargerThanAllowedIsRefused() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    int bound = new MembersConfig(List.of(), null, 0, 0, 0, POLICY).maxFileBytes();
    Files.write(file("m"), new byte[bound + 1]);
    assertEquals(List.of(), pollUntilSettled(reloader));
    assertEquals("m: has over " + bound + " bytes; no more are read", lastRefusal(reloader));
    assertEquals(3, status(reloader).servers());
  }

  @Test
  void atomicReplacementWithSameSizeAndTimeIsDetected() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    Path next = Files.writeString(file("next"), listText(2, 4));
    // Size and modification time are those of the old file; only the file key differs.
    Files.setLastModifiedTime(next, Files.getLastModifiedTime(file("m")));
    Files.move(next, file("m"), StandardCopyOption.ATOMIC_MOVE);
    assertEquals(2, pollUntilSettled(reloader).size());
  }

  @Test
  void switchedSymbolicLinkToFolderIsDetected() throws Exception {
    Files.createDirectories(file("v1"));
    Files.createDirectories(file("v2"));
    Files.writeString(file("v1").resolve("m"), listText(1, 3));
    Files.writeString(file("v2").resolve("m"), listText(1, 4));
    Files.createSymbolicLink(file("now"), Path.of("v1"));
    MembersReloader reloader = reloader(null, file("now").resolve("m"));
    reloader.start(now);
    Files.createSymbolicLink(file("new"), Path.of("v2"));
    Files.move(file("new"), file("now"), StandardCopyOption.ATOMIC_MOVE);
    assertEquals(1, pollUntilSettled(reloader).size());
  }

  /** The two contents have the same size and modification time. */
  @Test
  void twoWritesWithSameSizeAndTimeAreBothDetected() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    FileTime time = FileTime.fromMillis(now);
    String one = listText(1, 3, "x-1 127.0.0.1:8001 a k 0 1 in_service\n");
    Files.writeString(file("m"), one);
    Files.setLastModifiedTime(file("m"), time);
    assertEquals(1, pollUntilSettled(reloader).size());
    Files.writeString(file("m"), one.replace("x-1", "x-2"));
    Files.setLastModifiedTime(file("m"), time);
    List<Update> updates = pollUntilSettled(reloader);
    assertEquals(
        List.of("x-2", "x-1"), updates.stream().map(update -> update.server().id()).toList());
  }

  /**
   * As long as the file system's clock may not have advanced since the last change, a write may
   * leave the stamp as it is, so the content is compared.
   */
  @Test
  void recentlyChangedFileIsReadAgainDespiteUnchangedStamp() throws Exception {
    Path path = Files.writeString(file("m"), listText(1, 3));
    BoundedFile.Stamp constantStamp = BoundedFile.stamp(path);
    WatchedFile file = new WatchedFile(path, 10_000, anyPath -> constantStamp);
    long at = constantStamp.newestMillis();
    assertTrue(file.poll(at, 0));
    Files.writeString(path, listText(2, 4));
    assertFalse(file.poll(at + 25, 20), "not yet settled");
    assertTrue(file.poll(at + 45, 20));
    assertEquals("s-2", file.parsed().entries().get(0).server().id());
    // Much later a write would change the stamp, so the file is no longer read.
    assertTrue(file.poll(at + 2 * WatchedFile.MAX_TICK_MILLIS, 20));
    Files.delete(path);
    assertTrue(file.poll(at + 3 * WatchedFile.MAX_TICK_MILLIS, 20));
    assertEquals("s-2", file.parsed().entries().get(0).server().id());
  }

  @Test
  void missingFileFolderAndDeviceAreReportedDistinctly() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    Files.delete(file("m"));
    assertEquals(List.of(), pollUntilSettled(reloader));
    assertEquals("m: is not there", lastRefusal(reloader));
    Files.createDirectory(file("m"));
    pollUntilSettled(reloader);
    assertEquals("m: is a folder; a file is expected", lastRefusal(reloader));
    Files.delete(file("m"));
    Files.createSymbolicLink(file("m"), Path.of("/dev/zero"));
    pollUntilSettled(reloader);
    assertEquals("m: is a device or a pipe; a file is expected", lastRefusal(reloader));
    Files.delete(file("m"));
    Files.writeString(file("m"), listText(1, 4));
    assertEquals(1, pollUntilSettled(reloader).size(), "deleted and restored");
    assertEquals(3, status(reloader).refusedTotal(), "each error is reported once");
  }

  @Test
  void unreadableFileIsReported() throws Exception {
    MembersReloader reloader = startWith(listText(1, 3));
    Files.setPosixFilePermissions(file("m"), Set.of());
    Assumptions.assumeFalse(
        Files.isReadable(file("m")), "the test runs as a user that may read every file");
    pollUntilSettled(reloader);
    assertEquals("m: may not be read", lastRefusal(reloader));
    Files.setPosixFilePermissions(file("m"), Set.of(PosixFilePermission.OWNER_READ));
    assertEquals(List.of(), pollUntilSettled(reloader));
    assertEquals(1, status(reloader).version());
  }

  @Test
  void duplicatesAcrossTwoFilesAreRefused() throws Exception {
    Files.writeString(file("m1"), listText(1, 3));
    Files.writeString(file("m2"), listText(11, 13));
    MembersReloader reloader = reloader(null, file("m1"), file("m2"));
    assertEquals(6, reloader.start(now).size());
    Files.writeString(file("m2"), listText(11, 14, "s-2 127.0.0.1:7 a k 0 1 in_service\n"));
    assertEquals(List.of(), pollUntilSettled(reloader));
    assertEquals("m2:5: duplicate id s-2; first used at m1:2", lastRefusal(reloader));
    Files.writeString(file("m2"), listText(11, 14, "y 127.0.0.1:9001 a k 0 1 in_service\n"));
    pollUntilSettled(reloader);
    assertEquals(
        "m2:5: duplicate address 127.0.0.1:9001; first used at m1:1", lastRefusal(reloader));
    // An invalid file also blocks the valid change of the other one.
    Files.writeString(file("m1"), listText(1, 4));
    assertEquals(List.of(), pollUntilSettled(reloader));
    Files.writeString(file("m2"), listText(11, 14));
    assertEquals(2, pollUntilSettled(reloader).size());
  }

  @Test
  void massRemovalIsHeldBackUntilConfirmed() throws Exception {
    MembersReloader reloader = startWith(listText(1, 8));
    Files.writeString(file("m"), listText(1, 2));
    assertEquals(List.of(), pollUntilSettled(reloader));
    MembersStatus.PendingList pending = status(reloader).pending();
    assertEquals(6, pending.removed());
    List<Update> updates = new ArrayList<>();
    assertInstanceOf(
        ListDecision.Refused.class, reloader.confirm(now, pending.version() + 1, updates));
    assertEquals(0, updates.size());
    assertInstanceOf(
        ListDecision.Accepted.class, reloader.confirm(now, pending.version(), updates));
    assertEquals(6, updates.size());
    assertNull(status(reloader).pending());
    assertEquals(List.of(), pollUntilSettled(reloader), "the file equals the current list");
  }

  // ---- the state folder ----

  @Test
  void startWithInvalidFileFallsBackToSavedList() throws Exception {
    Path state = file("state");
    Files.writeString(file("m"), listText(1, 3));
    MembersReloader first = reloader(state, file("m"));
    first.start(now);
    first.close();
    Files.writeString(file("m"), "s-1 127.0");
    MembersReloader next = reloader(state, file("m"));
    assertEquals(3, next.start(now).size());
    assertEquals(1, status(next).version());
    assertEquals(List.of(state.resolve("members.state").toString()), status(next).source());
    assertEquals(1, status(next).refusedTotal());
    next.close();
    Files.delete(file("m"));
    assertEquals(3, reloader(state, file("m")).start(now).size());
  }

  /** Removals before a restart count after it. */
  @Test
  void massRemovalAcrossRestartIsHeldBack() throws Exception {
    Path state = file("state");
    Files.writeString(file("m"), listText(1, 8));
    MembersReloader first = reloader(state, file("m"));
    first.start(now);
    Files.writeString(file("m"), listText(1, 5));
    assertEquals(3, pollUntilSettled(first).size());
    first.saveIfNeeded(now);
    first.close();
    Files.writeString(file("m"), listText(1, 3));
    MembersReloader next = reloader(state, file("m"));
    assertEquals(5, next.start(now).size());
    MembersStatus.PendingList pending = status(next).pending();
    assertNotNull(pending);
    assertTrue(pending.reasons().get(0).startsWith("5 of 8 servers"), pending.reasons().get(0));
    assertEquals(3, pending.version());
    MembersCheck.Report report =
        MembersCheck.check(
            new MembersConfig(List.of(), state, 0, 0, 0, POLICY), List.of(file("m")), now);
    assertEquals(
        "  " + pending.reasons().get(0), report.lines().get(2), "check gives the same reason");
    assertFalse(report.acceptable());
  }

  @Test
  void damagedStateIsRenamedAndNeverUsed() throws Exception {
    Path state = file("state");
    Files.writeString(file("m"), listText(1, 3));
    MembersReloader first = reloader(state, file("m"));
    first.start(now);
    first.close();
    Files.delete(file("m"));
    byte[] content = Files.readAllBytes(state.resolve("members.state"));
    for (int i = 0; i < content.length; i++) {
      byte[] damaged = content.clone();
      damaged[i] ^= 1;
      Files.write(state.resolve("members.state"), damaged);
      MembersReloader reloader = reloader(state, file("m"));
      MembersReloader.NoUsableListException exception =
          assertThrows(
              MembersReloader.NoUsableListException.class, () -> reloader.start(now), "byte " + i);
      assertTrue(exception.getMessage().contains("members.state"), exception.getMessage());
      assertTrue(exception.getMessage().contains("m: is not there"), exception.getMessage());
      assertFalse(Files.exists(state.resolve("members.state")));
      reloader.close();
    }
    try (Stream<Path> stateFiles = Files.list(state)) {
      assertEquals(3, stateFiles.filter(path -> path.toString().contains("damaged")).count());
    }
  }

  @Test
  void startWithoutFileAndStateFailsWithReasons() {
    MembersReloader reloader = reloader(file("state"), file("m"));
    MembersReloader.NoUsableListException exception =
        assertThrows(MembersReloader.NoUsableListException.class, () -> reloader.start(now));
    assertEquals(
        "no list of servers to start with:\n  "
            + file("state").resolve("members.state")
            + " is not there\n  m: is not there",
        exception.getMessage());
  }

  /** The list is used nevertheless, and saved once there is space again. */
  @Test
  void fullDiskIsReportedAndSavingRetried() throws Exception {
    Path state = Files.createDirectory(file("state"));
    Path temporary = state.resolve(".members.state.tmp");
    Files.createSymbolicLink(temporary, Path.of("/dev/full"));
    Files.writeString(file("m"), listText(1, 3));
    MembersReloader reloader = reloader(state, file("m"));
    assertEquals(3, reloader.start(now).size());
    assertTrue(status(reloader).stateError().contains("could not be saved"));
    assertFalse(Files.exists(state.resolve("members.state")));
    Files.delete(temporary);
    reloader.saveIfNeeded(now);
    assertNotNull(status(reloader).stateError(), "no retry at each poll");
    now += 5000;
    reloader.saveIfNeeded(now);
    assertNull(status(reloader).stateError());
    assertTrue(Files.exists(state.resolve("members.state")));
  }

  @Test
  void stateFolderInUseByAnotherBalancerIsRejected() throws Exception {
    Files.writeString(file("m"), listText(1, 3));
    reloader(file("state"), file("m")).start(now);
    MembersReloader second = reloader(file("state"), file("m"));
    MembersReloader.NoUsableListException exception =
        assertThrows(MembersReloader.NoUsableListException.class, () -> second.start(now));
    assertTrue(
        exception.getMessage().contains("in use by another balancer"), exception.getMessage());
  }

  @Test
  void reconfigureSwitchesToOtherFiles() throws Exception {
    MembersReloader reloader = startWith(listText(1, 8));
    Files.writeString(file("m"), listText(1, 2));
    pollUntilSettled(reloader);
    assertNotNull(status(reloader).pending());
    Files.writeString(file("n"), listText(1, 9));
    reloader.reconfigure(new MembersConfig(List.of(file("n")), null, 1000, 10, SETTLE, POLICY));
    assertEquals(1, pollUntilSettled(reloader).size());
    assertNull(status(reloader).pending());
    assertEquals(List.of(file("n").toString()), status(reloader).source());
  }
}
