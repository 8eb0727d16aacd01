package heathswitch.proxy.members;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListValidator;
import heathswitch.policy.members.ListedServer;
import heathswitch.policy.members.ServiceHistory;
import heathswitch.proxy.files.AtomicFile;
import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.files.FileFault;
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
 * The state folder: the last accepted list with its version, digest and the record of who joined
 * and left of late. Written whole or not at all; what does not match its own digest is set aside
 * under another name and never used.
 */
final class MembersStateStore implements AutoCloseable {
  static final String FILE = "members.state";
  private static final String FIRST_LINE = "heathswitch members state 1";
  private static final int MOST_BYTES = 128 << 20;

  /** Damaged files that are kept to be looked at; the oldest name is used again. */
  private static final int MOST_DAMAGED = 3;

  /** What was kept. */
  record Kept(
      long version,
      long number,
      long acceptedMillis,
      List<ListedServer> list,
      Map<String, Long> joined,
      List<ServiceHistory.Departure> left) {}

  /** What was found: a state, or why there is none that can be used; both null for none at all. */
  record Found(Kept kept, String damage) {}

  private final Path folder;
  private FileChannel channel;

  MembersStateStore(Path folder) {
    this.folder = folder;
  }

  Path file() {
    return folder.resolve(FILE);
  }

  /** Makes the folder and takes it for this process alone. */
  void lock() throws IOException {
    Files.createDirectories(folder);
    Path lock = folder.resolve("lock");
    channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock held = null;
    try {
      held = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      // Another balancer of this process has it.
    }
    if (held == null) {
      channel.close();
      throw new FileFault("is in use by another balancer; a folder for each is expected");
    }
  }

  @Override
  public void close() throws IOException {
    if (channel != null) {
      channel.close();
    }
  }

  /** Reads the state without changing anything. */
  Found read() {
    if (!Files.exists(file())) {
      return new Found(null, null);
    }
    try {
      return new Found(parse(BoundedFile.read(file(), MOST_BYTES)), null);
    } catch (IOException | RuntimeException e) {
      return new Found(null, file() + " " + e.getMessage());
    }
  }

  /** Gives a damaged file another name, so that it can be looked at; returns that name. */
  Path setAside() throws IOException {
    Path oldest = null;
    for (int i = 1; i <= MOST_DAMAGED; i++) {
      Path aside = folder.resolve("members.damaged." + i);
      if (!Files.exists(aside)) {
        oldest = aside;
        break;
      }
      if (oldest == null
          || Files.getLastModifiedTime(aside).compareTo(Files.getLastModifiedTime(oldest)) < 0) {
        oldest = aside;
      }
    }
    return Files.move(file(), oldest, StandardCopyOption.REPLACE_EXISTING);
  }

  void save(ListValidator judge, long acceptedMillis) throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("version ").append(judge.version()).append('\n');
    text.append("number ").append(judge.lastNumber()).append('\n');
    text.append("accepted ").append(acceptedMillis).append('\n');
    judge
        .history()
        .joined()
        .forEach(
            (process, at) ->
                text.append("joined ").append(at).append(' ').append(process).append('\n'));
    for (ServiceHistory.Departure left : judge.history().departures()) {
      text.append("left ")
          .append(left.leftMillis())
          .append(' ')
          .append(left.joinedMillis())
          .append(' ')
          .append(left.process())
          .append(' ')
          .append(left.zone())
          .append(' ')
          .append(left.kind())
          .append('\n');
    }
    text.append("servers\n").append(MembersFormat.write(judge.current()));
    byte[] rest = text.toString().getBytes(StandardCharsets.UTF_8);
    String head = FIRST_LINE + "\nsha256 " + Sha256.hex(rest, 0, rest.length) + '\n';
    byte[] first = head.getBytes(StandardCharsets.UTF_8);
    byte[] whole = new byte[first.length + rest.length];
    System.arraycopy(first, 0, whole, 0, first.length);
    System.arraycopy(rest, 0, whole, first.length, rest.length);
    AtomicFile.write(file(), whole);
  }

  private static Kept parse(byte[] bytes) throws FileFault {
    int first = indexOf(bytes, 0);
    int second = indexOf(bytes, first + 1);
    if (second < 0 || !string(bytes, 0, first).equals(FIRST_LINE)) {
      throw new FileFault("is no state of this version");
    }
    int start = second + 1;
    String digest = "sha256 " + Sha256.hex(bytes, start, bytes.length - start);
    if (!string(bytes, first + 1, second).equals(digest)) {
      throw new FileFault("does not match its own digest");
    }
    // From here on it is what a balancer wrote; a mistake in it is one of the program's.
    long version = 0;
    long number = 0;
    long accepted = 0;
    Map<String, Long> joined = new HashMap<>();
    List<ServiceHistory.Departure> left = new ArrayList<>();
    for (int at = start; ; ) {
      int end = indexOf(bytes, at);
      if (end < 0) {
        throw new FileFault("has no servers");
      }
      String[] words = string(bytes, at, end).split(" ");
      at = end + 1;
      switch (words[0]) {
        case "version" -> version = Long.parseLong(words[1]);
        case "number" -> number = Long.parseLong(words[1]);
        case "accepted" -> accepted = Long.parseLong(words[1]);
        case "joined" -> joined.put(words[2], Long.parseLong(words[1]));
        case "left" ->
            left.add(
                new ServiceHistory.Departure(
                    words[3],
                    words[4],
                    words[5],
                    Long.parseLong(words[2]),
                    Long.parseLong(words[1])));
        case "servers" -> {
          byte[] table = java.util.Arrays.copyOfRange(bytes, at, bytes.length);
          MembersFormat.Parsed parsed = MembersFormat.parse(FILE, table);
          if (!parsed.faults().isEmpty() || version <= 0) {
            throw new FileFault("holds a list that cannot be read");
          }
          List<ListedServer> list = parsed.entries().stream().map(ListEntry::server).toList();
          return new Kept(version, number, accepted, list, joined, left);
        }
        default -> throw new FileFault("has a line that is not known: " + words[0]);
      }
    }
  }

  private static String string(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.UTF_8);
  }

  private static int indexOf(byte[] bytes, int from) {
    for (int i = from; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        return i;
      }
    }
    return -1;
  }
}
