package heathswitch.proxy.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The processes of one balancer detect each other through a shared folder. */
class ProcessGenerationTest {
  @TempDir Path folder;

  @Test
  void detectsPredecessorAndSuccessor() {
    ProcessGeneration first = new ProcessGeneration(folder.resolve("p"));
    assertFalse(first.hasPredecessor());
    first.writeHeartbeat(60);
    assertFalse(first.hasSuccessor());
    ProcessGeneration second = new ProcessGeneration(folder.resolve("p"));
    assertTrue(second.hasPredecessor());
    assertFalse(first.hasSuccessor(), "the second process does not serve yet");
    second.writeHeartbeat(50);
    assertTrue(first.hasSuccessor());
    assertFalse(second.hasSuccessor());
  }

  /**
   * The processes share one limit of descriptors: those held by another process are not available,
   * but only as long as that process is alive.
   */
  @Test
  void countsDescriptorsOfOtherProcessesWhileTheyAreAlive() throws Exception {
    ProcessGeneration first = new ProcessGeneration(folder);
    first.writeHeartbeat(60);
    ProcessGeneration second = new ProcessGeneration(folder);
    second.writeHeartbeat(50);
    Files.writeString(folder.resolve("process-x"), "none");
    Files.writeString(folder.resolve("process-9"), "");
    assertEquals(60, second.descriptorsHeldByOthers(0));
    assertEquals(50, first.descriptorsHeldByOthers(0));
    assertEquals(60, second.descriptorsHeldByOthers(ProcessGeneration.HEARTBEAT_TIMEOUT_NANOS - 1));
    assertEquals(0, second.descriptorsHeldByOthers(ProcessGeneration.HEARTBEAT_TIMEOUT_NANOS));
  }

  /** A file that is being written or cannot be read does not change the last known number. */
  @Test
  void keepsLastKnownDescriptorsWhileHeartbeatFileIsUnreadable() throws Exception {
    ProcessGeneration first = new ProcessGeneration(folder);
    first.writeHeartbeat(60);
    ProcessGeneration second = new ProcessGeneration(folder);
    assertEquals(60, second.descriptorsHeldByOthers(0));
    Path file = folder.resolve("process-1");
    Files.writeString(file, "");
    assertEquals(60, second.descriptorsHeldByOthers(1));
    Files.delete(file);
    Files.createDirectory(file);
    assertEquals(60, second.descriptorsHeldByOthers(2));
    assertEquals(0, second.descriptorsHeldByOthers(2 + ProcessGeneration.HEARTBEAT_TIMEOUT_NANOS));
  }

  /** The system clock is set by an hour, forward or back, while both are alive; then one ends. */
  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void ignoresChangesOfTheSystemClock(long seconds) throws Exception {
    ProcessGeneration first = new ProcessGeneration(folder);
    first.writeHeartbeat(60);
    ProcessGeneration second = new ProcessGeneration(folder);
    assertEquals(60, second.descriptorsHeldByOthers(0));
    Path file = folder.resolve("process-1");
    long written = Files.getLastModifiedTime(file).toMillis();
    long now = ProcessGeneration.HEARTBEAT_TIMEOUT_NANOS - 1;
    Files.setLastModifiedTime(file, FileTime.fromMillis(written + seconds * 1000));
    assertEquals(
        60,
        second.descriptorsHeldByOthers(now),
        "the heartbeat was written with the changed clock");
    assertEquals(
        60, second.descriptorsHeldByOthers(now + ProcessGeneration.HEARTBEAT_TIMEOUT_NANOS - 1));
    assertEquals(
        0,
        second.descriptorsHeldByOthers(now + ProcessGeneration.HEARTBEAT_TIMEOUT_NANOS),
        "the other process has ended");
  }

  @Test
  void hasNoOtherProcessesWithoutFolder() {
    ProcessGeneration alone = new ProcessGeneration(null);
    alone.writeHeartbeat(60);
    assertFalse(alone.hasPredecessor());
    assertFalse(alone.hasSuccessor());
    assertEquals(0, alone.descriptorsHeldByOthers(0));
  }
}
