package heathswitch.proxy.members;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListValidator;
import heathswitch.policy.members.ListedServer;
import heathswitch.policy.members.ServiceHistory;
import heathswitch.proxy.files.AtomicFile;
import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.files.UnusableFileException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The state folder. It keeps the last accepted list with its version and digest, and the records of
 * the processes that joined or left within the window. The state file is replaced atomically; one
 * that does not match its own digest is renamed and never used.
 */
final class MembersStateStore implements AutoCloseable {
  static final String FILE_NAME = "members.state";
  private static final String FIRST_LINE = "heathswitch members state 1";
  private static final int MAX_BYTES = 128 << 20;

  /** Damaged files that are kept for inspection; if there are more, the oldest is replaced. */
  private static final int MAX_DAMAGED_FILES = 3;

  /** The content of the state file. */
  record SavedState(
      long version,
      long lastAssignedVersion,
      long acceptedMillis,
      List<ListedServer> list,
      Map<String, Long> joinedMillis,
      List<ServiceHistory.Departure> departures) {}

  /**
   * The result of reading the state file; both null if there is none.
   *
   * @param state the state, or null if the file is missing or damaged
   * @param damage why the file cannot be used, or null
   */
  record ReadResult(SavedState state, String damage) {}

  private final Path folder;
  private FileChannel lockChannel;

  MembersStateStore(Path folder) {
    this.folder = folder;
  }

  Path file() {
    return folder.resolve(FILE_NAME);
  }

  /** Creates the folder if necessary, and locks it against use by other balancers. */
  void lock() throws IOException {
    Files.createDirectories(folder);
    Path lockFile = folder.resolve("lock");
    lockChannel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = lockChannel.tryLock();
    } catch (OverlappingFileLockException e) {
      // Another balancer in this process holds the lock.
    }
    if (lock == null) {
      lockChannel.close();
      throw new UnusableFileException(
          "is in use by another balancer; each balancer needs its own folder");
    }
  }

  @Override
  public void close() throws IOException {
    if (lockChannel != null) {
      lockChannel.close();
    }
  }

  /** Reads the state file without changing anything. */
  ReadResult read() {
    if (!Files.exists(file())) {
      return new ReadResult(null, null);
    }
    try {
      return new ReadResult(parse(BoundedFile.read(file(), MAX_BYTES)), null);
    } catch (IOException | RuntimeException e) {
      return new ReadResult(null, file() + " " + e.getMessage());
    }
  }

  /** Renames a damaged state file, so that it can be inspected; returns its new path. */
  Path moveDamagedAside() throws IOException {
    Path target = null;
    for (int i = 1; i <= MAX_DAMAGED_FILES; i++) {
      Path candidate = folder.resolve("members.damaged." + i);
      if (!Files.exists(candidate)) {
        target = candidate;
        break;
      }
      if (target == null
          || Files.getLastModifiedTime(candidate).compareTo(Files.getLastModifiedTime(target))
              < 0) {
        target = candidate;
      }
    }
    return Files.move(file(), target, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Atomically replaces the state file. */
  void save(ListValidator validator, long acceptedMillis) throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("version ").append(validator.version()).append('\n');
    text.append("number ").append(validator.lastAssignedVersion()).append('\n');
    text.append("accepted ").append(acceptedMillis).append('\n');
    validator
        .history()
        .joinedMillis()
        .forEach(
            (process, joinedMillis) ->
                text.append("joined ")
                    .append(joinedMillis)
                    .append(' ')
                    .append(process)
                    .append('\n'));
    for (ServiceHistory.Departure departure : validator.history().departures()) {
      text.append("left ")
          .append(departure.leftMillis())
          .append(' ')
          .append(departure.joinedMillis())
          .append(' ')
          .append(departure.process())
          .append(' ')
          .append(departure.zone())
          .append(' ')
          .append(departure.kind())
          .append('\n');
    }
    text.append("servers\n").append(MembersFormat.format(validator.current()));
    byte[] body = text.toString().getBytes(StandardCharsets.UTF_8);
    String header = FIRST_LINE + "\nsha256 " + Sha256.hex(body, 0, body.length) + '\n';
    byte[] headerBytes = header.getBytes(StandardCharsets.UTF_8);
    byte[] content = new byte[headerBytes.length + body.length];
    System.arraycopy(headerBytes, 0, content, 0, headerBytes.length);
    System.arraycopy(body, 0, content, headerBytes.length, body.length);
    AtomicFile.write(file(), content);
  }

  private static SavedState parse(byte[] bytes) throws UnusableFileException {
    int firstEnd = lineEnd(bytes, 0);
    int secondEnd = lineEnd(bytes, firstEnd + 1);
    if (secondEnd < 0 || !string(bytes, 0, firstEnd).equals(FIRST_LINE)) {
      throw new UnusableFileException("is not a state file of this version");
    }
    int start = secondEnd + 1;
    String digest = "sha256 " + Sha256.hex(bytes, start, bytes.length - start);
    if (!string(bytes, firstEnd + 1, secondEnd).equals(digest)) {
      throw new UnusableFileException("does not match its own digest");
    }
    // The digest matches, so a balancer wrote the rest; an error in it is a bug of the program.
    long version = 0;
    long lastAssignedVersion = 0;
    long acceptedMillis = 0;
    Map<String, Long> joinedMillis = new HashMap<>();
    List<ServiceHistory.Departure> departures = new ArrayList<>();
    for (int at = start; ; ) {
      int end = lineEnd(bytes, at);
      if (end < 0) {
        throw new UnusableFileException("has no list of servers");
      }
      String[] words = string(bytes, at, end).split(" ");
      at = end + 1;
      switch (words[0]) {
        case "version" -> version = Long.parseLong(words[1]);
        case "number" -> lastAssignedVersion = Long.parseLong(words[1]);
        case "accepted" -> acceptedMillis = Long.parseLong(words[1]);
        case "joined" -> joinedMillis.put(words[2], Long.parseLong(words[1]));
        case "left" ->
            departures.add(
                new ServiceHistory.Departure(
                    words[3],
                    words[4],
                    words[5],
                    Long.parseLong(words[2]),
                    Long.parseLong(words[1])));
        case "servers" -> {
          byte[] listText = java.util.Arrays.copyOfRange(bytes, at, bytes.length);
          MembersFormat.Parsed parsed = MembersFormat.parse(FILE_NAME, listText);
          if (!parsed.faults().isEmpty() || version <= 0) {
            throw new UnusableFileException("contains an invalid list of servers");
          }
          List<ListedServer> list = parsed.entries().stream().map(ListEntry::server).toList();
          return new SavedState(
              version, lastAssignedVersion, acceptedMillis, list, joinedMillis, departures);
        }
        default -> throw new UnusableFileException("contains an unknown line: " + words[0]);
      }
    }
  }

  private static String string(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.UTF_8);
  }

  /** Returns the index of the next line feed, or -1. */
  private static int lineEnd(byte[] bytes, int from) {
    for (int i = from; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        return i;
      }
    }
    return -1;
  }
}
