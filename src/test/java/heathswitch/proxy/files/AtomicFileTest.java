package heathswitch.proxy.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a file is replaced entirely or not at all. */
class AtomicFileTest {
  @TempDir Path folder;

  @Test
  void replacesContentAndLeavesNoTemporaryFile() throws Exception {
    Path file = folder.resolve("f");
    AtomicFile.write(file, new byte[] {1});
    Files.write(AtomicFile.temporaryPath(file), new byte[100]); // Left by a crash.
    AtomicFile.write(file, new byte[] {2, 3});
    assertEquals(2, Files.size(file));
    assertFalse(Files.exists(AtomicFile.temporaryPath(file)));
  }

  /** Simulates a full disk with {@code /dev/full}, where every write fails. */
  @Test
  void keepsOldContentWhenDiskIsFull() throws Exception {
    Path file = folder.resolve("f");
    AtomicFile.write(file, new byte[] {1});
    Files.createSymbolicLink(AtomicFile.temporaryPath(file), Path.of("/dev/full"));
    assertThrows(IOException.class, () -> AtomicFile.write(file, new byte[] {2}));
    assertEquals(1, Files.size(file));
    Files.delete(AtomicFile.temporaryPath(file));
    AtomicFile.write(file, new byte[] {2, 3});
    assertEquals(2, Files.size(file));
  }
}
