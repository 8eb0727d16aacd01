package heathswitch.proxy.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AtomicFileTest {
  @TempDir Path folder;

  @Test
  void replacesTheContentAndLeavesNothingBehind() throws Exception {
    Path file = folder.resolve("f");
    AtomicFile.write(file, new byte[] {1});
    Files.write(AtomicFile.temporary(file), new byte[100]); // Of a process that died.
    AtomicFile.write(file, new byte[] {2, 3});
    assertEquals(2, Files.size(file));
    assertFalse(Files.exists(AtomicFile.temporary(file)));
  }

  /** A disk without room, as the device that has none says it. */
  @Test
  void aFullDiskLeavesTheOldContent() throws Exception {
    Path file = folder.resolve("f");
    AtomicFile.write(file, new byte[] {1});
    Files.createSymbolicLink(AtomicFile.temporary(file), Path.of("/dev/full"));
    assertThrows(IOException.class, () -> AtomicFile.write(file, new byte[] {2}));
    assertEquals(1, Files.size(file));
    Files.delete(AtomicFile.temporary(file));
    AtomicFile.write(file, new byte[] {2, 3});
    assertEquals(2, Files.size(file));
  }
}
