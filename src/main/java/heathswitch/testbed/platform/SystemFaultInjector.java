package heathswitch.testbed.platform;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Faults of the system under one process: a wall clock that is stepped, and calls that fail for a
 * moment. A small library in C ({@code src/main/native/faults.c}) is built by the machine's
 * compiler and loaded into the process before all others; it reads what is to go wrong from a file
 * that both have mapped.
 */
public final class SystemFaultInjector implements AutoCloseable {
  /** A kind of call that can fail, by the index of its count in the file. */
  public enum SystemCall {
    ACCEPT(1),
    SOCKET(3),
    CONNECT(5),
    SYNC(7),
    /** A read of the file of the configuration. */
    READ_CONFIGURATION(9);

    private final int index;

    SystemCall(int index) {
      this.index = index;
    }
  }

  /** Errors as Linux numbers them. */
  public enum Errno {
    EIO(5),
    ENFILE(23),
    ENOSPC(28),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ENOBUFS(105),
    EHOSTUNREACH(113);

    private final int number;

    Errno(int number) {
      this.number = number;
    }
  }

  private static final int WALL_CLOCK_OFFSET = 0;
  private static final int DELAYED_CONFIG_READS = 11;
  private static final int DELAY_NANOS = 12;
  private static final int FIELDS = 13;
  private static final long BUILD_SECONDS = 60;
  private static Path library;

  private final Path file;
  private final LongBuffer control;

  public SystemFaultInjector() throws IOException, InterruptedException {
    build();
    file = Files.createTempFile("heathswitch-faults-", "");
    Files.write(file, new byte[FIELDS * Long.BYTES]);
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      control =
          channel
              .map(FileChannel.MapMode.READ_WRITE, 0, FIELDS * Long.BYTES)
              .order(ByteOrder.nativeOrder())
              .asLongBuffer();
    }
  }

  private static synchronized void build() throws IOException, InterruptedException {
    if (library != null) {
      return;
    }
    Path root = Path.of(System.getProperty("heathswitch.root", "."));
    Path folder = Files.createTempDirectory("heathswitch-native-");
    Path built = folder.resolve("faults.so");
    folder.toFile().deleteOnExit(); // The last one that is named goes first.
    built.toFile().deleteOnExit();
    Process compiler =
        new ProcessBuilder(
                "cc",
                "-O2",
                "-shared",
                "-fPIC",
                "-o",
                built.toString(),
                root.resolve("src/main/native/faults.c").toString(),
                "-ldl")
            .inheritIO()
            .start();
    if (!compiler.waitFor(BUILD_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      throw new IOException("src/main/native/faults.c could not be built with cc");
    }
    library = built;
  }

  /** Variables for the process that is to meet the faults; before its start. */
  public Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "FAULTS_CONTROL", file.toString());
  }

  /** Sets the wall clock off by so many milliseconds from the true time. */
  public void setWallClockOffset(long offMillis) {
    control.put(WALL_CLOCK_OFFSET, offMillis * 1_000_000);
  }

  /** Has the next so many calls fail. */
  public void fail(SystemCall call, Errno errno, int times) {
    control.put(call.index + 1, errno.number);
    control.put(call.index, times);
  }

  /** Has the next read of the file of the configuration return so late with what it has read. */
  public void delayConfigurationRead(long millis) {
    control.put(DELAY_NANOS, millis * 1_000_000);
    control.put(DELAYED_CONFIG_READS, 1);
  }

  /** How many of the calls that are to fail have not been made yet. */
  public long remaining(SystemCall call) {
    return Math.max(0, control.get(call.index));
  }

  /** After the end of its process. */
  @Override
  public void close() throws IOException {
    Files.deleteIfExists(file);
  }
}
