package heathswitch.testbed.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Writes a file in the ways in which editors, scripts and people do. */
final class Rewriter {
  private static final int WAYS = 4;

  private final Path file;
  private final SplittableRandom random;
  private int writes;

  Rewriter(Path file, SplittableRandom random) {
    this.file = file;
    this.random = random;
  }

  /** Replaces the content in one of the ways, drawn anew each time. */
  void write(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    writes++;
    switch (random.nextInt(WAYS)) {
      case 0 -> inPlace(bytes);
      case 1 -> {
        Path next = Files.write(file.resolveSibling("next"), bytes);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
      }
      case 2 -> {
        Files.deleteIfExists(file);
        Files.write(file, bytes);
      }
      default -> {
        Path folder = Files.createDirectories(file.resolveSibling("versions"));
        Path version = Files.write(folder.resolve("v" + writes % 8), bytes);
        Path link = file.resolveSibling("link");
        Files.deleteIfExists(link);
        Files.createSymbolicLink(link, file.getParent().relativize(version));
        Files.move(link, file, StandardCopyOption.ATOMIC_MOVE);
      }
    }
  }

  /** Cut to nothing first, then written in pieces. */
  private void inPlace(byte[] bytes) throws IOException {
    Files.write(file, new byte[0]);
    int half = bytes.length / 2;
    Files.write(file, Arrays.copyOf(bytes, half), StandardOpenOption.APPEND);
    Files.write(file, Arrays.copyOfRange(bytes, half, bytes.length), StandardOpenOption.APPEND);
  }
}
