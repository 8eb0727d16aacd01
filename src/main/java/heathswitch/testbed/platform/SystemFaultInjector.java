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
 * Injects system faults into one process: an offset of the wall clock, and a number of failing
 * system calls. The faults are injected by an LD_PRELOAD shim, {@code src/main/native/faults.c},
 * which is built with the machine's C compiler. The shim reads the faults from a control file that
 * it and this class both map into memory.
 */
public final class SystemFaultInjector implements AutoCloseable {
  /** A kind of system call that can fail, with the index of its counter in the control file. */
  public enum SystemCall {
    ACCEPT(1),
    SOCKET(3),
    CONNECT(5),
    SYNC(7),
    /** A read of the configuration file. */
    READ_CONFIGURATION(9);

    private final int index;

    SystemCall(int index) {
      this.index = index;
    }
  }

  /** Error numbers of Linux. */
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

  // Indexes in the control file, as in faults.c.
  private static final int WALL_CLOCK_OFFSET_NANOS = 0;
  private static final int HELD_CONFIG_READS = 11;
  private static final int HOLD_NANOS = 12;
  private static final int FIELDS = 13;

  private static final long BUILD_SECONDS = 60;
  private static Path shim;

  private final Path file;
  private final LongBuffer control;

  public SystemFaultInjector() throws IOException, InterruptedException {
    buildShim();
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

  private static synchronized void buildShim() throws IOException, InterruptedException {
    if (shim != null) {
      return;
    }
    Path root = Path.of(System.getProperty("heathswitch.root", "."));
    Path folder = Files.createTempDirectory("heathswitch-native-");
    Path built = folder.resolve("faults.so");
    folder.toFile().deleteOnExit(); // Deleted in reverse order of registration.
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
    shim = built;
  }

  /** Environment variables with which the process has to be started. */
  public Map<String, String> environment() {
    return Map.of("LD_PRELOAD", shim.toString(), "FAULTS_CONTROL", file.toString());
  }

  /** Sets the offset of the process's wall clock from the true time. */
  public void setWallClockOffset(long offMillis) {
    control.put(WALL_CLOCK_OFFSET_NANOS, offMillis * 1_000_000);
  }

  /** Has the next calls of a kind fail with an error, as many as given. */
  public void fail(SystemCall call, Errno errno, int times) {
    control.put(call.index + 1, errno.number);
    control.put(call.index, times);
  }

  /** Delays the return of the next read of the configuration file; the read itself succeeds. */
  public void delayConfigurationRead(long millis) {
    control.put(HOLD_NANOS, millis * 1_000_000);
    control.put(HELD_CONFIG_READS, 1);
  }

  /** The number of calls that still have to fail. */
  public long remaining(SystemCall call) {
    return Math.max(0, control.get(call.index));
  }

  /** Deletes the control file; to be called after the end of the process. */
  @Override
  public void close() throws IOException {
    Files.deleteIfExists(file);
  }
}
