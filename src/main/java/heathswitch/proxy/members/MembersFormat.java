package heathswitch.proxy.members;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.config.Fault;
import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.files.FileFault;
import heathswitch.proxy.runtime.Addresses;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * A table of servers as people write it: a line each, then a line that says how many there are.
 *
 * <pre>
 * # id      address          zone     kind   cell  weight  phase
 * store-1   127.0.0.1:9101   bangkok  store  1     1       in_service
 * end 1
 * </pre>
 *
 * <p>An eighth column, {@code grpc=9201}, is for one that speaks gRPC at that port too. One that
 * speaks gRPC alone has its address as {@code grpc://127.0.0.1:9201}.
 *
 * <p>The last line makes a cut visible at whatever byte: what is left has no end, or one with
 * another number. {@code end 1 sha256:...} also carries a digest of all bytes before that line, for
 * files that programs write.
 */
public final class MembersFormat {
  /** Longest line, in characters. */
  static final int MOST_LINE = 512;

  /** Faults told of one file; a file of another kind would have one in each line. */
  private static final int MOST_FAULTS = 20;

  private static final String[] COLUMNS = {
    "id", "address", "zone", "kind", "cell", "weight", "phase"
  };

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern WHOLE = Pattern.compile("\\d{1,9}");
  private static final Pattern GRPC = Pattern.compile("grpc=\\d{1,5}");
  private static final Pattern DIGEST = Pattern.compile("sha256:[0-9a-f]{64}");

  /** What a file holds: its servers, of use only where it has no faults. */
  public record Parsed(List<ListEntry> entries, List<Fault> faults) {}

  private record Word(String text, int column) {}

  private final String file;
  private final List<ListEntry> servers = new ArrayList<>();
  private final List<Fault> faults = new ArrayList<>();
  private boolean ended;

  private MembersFormat(String file) {
    this.file = file;
  }

  /** Reads the whole file; its name stands in the places of servers and faults. */
  public static Parsed parse(String file, byte[] bytes) {
    MembersFormat format = new MembersFormat(file);
    try {
      format.lines(BoundedFile.text(bytes), bytes);
    } catch (FileFault e) {
      format.fault(0, 0, "", e.getMessage());
    }
    return new Parsed(format.servers, format.faults);
  }

  private void fault(int line, int column, String field, String message) {
    if (faults.size() < MOST_FAULTS) {
      faults.add(new Fault(file, line, column, field, message));
    }
  }

  private void lines(String text, byte[] bytes) {
    int number = 0;
    int start = 0;
    while (start < text.length() && faults.size() < MOST_FAULTS) {
      int end = text.indexOf('\n', start);
      int next = end < 0 ? text.length() : end + 1;
      number++;
      String line = text.substring(start, end < 0 ? text.length() : end);
      if (line.length() > MOST_LINE) {
        fault(number, 1, "", "is longer than " + MOST_LINE + " characters");
      } else {
        line(number, words(line), text, start, bytes);
      }
      start = next;
    }
    if (!ended && faults.isEmpty()) {
      fault(
          number,
          0,
          "",
          "the file stops without its last line; \"end " + servers.size() + "\" expected");
    }
  }

  private static List<Word> words(String line) {
    List<Word> words = new ArrayList<>(COLUMNS.length);
    int i = 0;
    while (i < line.length()) {
      char c = line.charAt(i);
      if (c == ' ' || c == '\t' || c == '\r') {
        i++;
      } else if (c == '#') {
        break;
      } else {
        int from = i;
        while (i < line.length() && " \t\r#".indexOf(line.charAt(i)) < 0) {
          i++;
        }
        words.add(new Word(line.substring(from, i), from + 1));
      }
    }
    return words;
  }

  private void line(int number, List<Word> words, String text, int start, byte[] bytes) {
    if (words.isEmpty()) {
      return;
    }
    if (ended) {
      fault(number, words.get(0).column(), "", "stands after the end; nothing more expected");
    } else if (words.get(0).text().equals("end")) {
      ended = true;
      end(number, words, text, start, bytes);
    } else {
      server(number, words);
    }
  }

  private void end(int number, List<Word> words, String text, int start, byte[] bytes) {
    int most = words.size() > 2 ? 3 : 2;
    if (words.size() != most || !WHOLE.matcher(words.get(1).text()).matches()) {
      fault(number, 1, "end", "cannot be read; \"end " + servers.size() + "\" expected");
      return;
    }
    if (Integer.parseInt(words.get(1).text()) != servers.size()) {
      fault(
          number,
          words.get(1).column(),
          "end",
          "says "
              + words.get(1).text()
              + " servers but "
              + servers.size()
              + " stand above; was the file cut short, or a line added without counting?");
      return;
    }
    if (most == 3) {
      digest(number, words.get(2), text.substring(0, start), bytes);
    }
  }

  private void digest(int number, Word word, String before, byte[] bytes) {
    if (!DIGEST.matcher(word.text()).matches()) {
      fault(number, word.column(), "end", "\"sha256:\" and 64 hexadecimal digits expected");
      return;
    }
    int length = before.getBytes(StandardCharsets.UTF_8).length;
    if (!word.text().equals("sha256:" + Sha256.hex(bytes, 0, length))) {
      fault(number, word.column(), "end", "the digest is not that of the lines above");
    }
  }

  private void server(int number, List<Word> words) {
    if (words.size() != COLUMNS.length && words.size() != COLUMNS.length + 1) {
      fault(
          number,
          words.get(0).column(),
          "",
          words.size() + " columns; " + String.join(" ", COLUMNS) + " expected");
      return;
    }
    int before = faults.size();
    String id = name(number, words, 0);
    String address = address(number, words.get(1));
    String zone = name(number, words, 2);
    String kind = name(number, words, 3);
    Word cell = words.get(4);
    if (!WHOLE.matcher(cell.text()).matches()) {
      fault(number, cell.column(), "cell", quoted(cell) + "; a whole number expected");
    }
    double weight = weight(number, words.get(5));
    boolean inService = phase(number, words.get(6));
    int grpcPort = words.size() > COLUMNS.length ? grpcPort(number, words.get(7)) : 0;
    if (grpcPort > 0 && address.startsWith(ListedServer.GRPC_ONLY_PREFIX)) {
      fault(number, words.get(7).column(), "grpc", "stands beside a grpc:// address; one expected");
    }
    if (faults.size() == before) {
      ListedServer server =
          new ListedServer(
              id, address, zone, kind, Long.parseLong(cell.text()), weight, inService, grpcPort);
      servers.add(new ListEntry(server, file + ':' + number));
    }
  }

  private static String quoted(Word word) {
    String text = word.text();
    return "is \"" + (text.length() <= 60 ? text : text.substring(0, 60) + "...") + '"';
  }

  private String name(int number, List<Word> words, int column) {
    Word word = words.get(column);
    if (!NAME.matcher(word.text()).matches()) {
      fault(
          number,
          word.column(),
          COLUMNS[column],
          quoted(word) + "; at most 64 letters, digits, dots, hyphens or underscores expected");
    }
    return word.text();
  }

  private String address(int number, Word word) {
    boolean grpc = word.text().startsWith(ListedServer.GRPC_ONLY_PREFIX);
    InetSocketAddress address =
        Addresses.parse(
            grpc ? word.text().substring(ListedServer.GRPC_ONLY_PREFIX.length()) : word.text());
    if (address == null || address.getPort() == 0) {
      fault(
          number,
          word.column(),
          "address",
          quoted(word) + "; a numeric address and port, such as 127.0.0.1:9101, expected");
      return "";
    }
    return (grpc ? ListedServer.GRPC_ONLY_PREFIX : "") + Addresses.format(address);
  }

  /** Any number that Java writes; whether it is one that a server may have is judged elsewhere. */
  private double weight(int number, Word word) {
    try {
      if (word.text().length() <= 40) {
        return Double.parseDouble(word.text());
      }
    } catch (NumberFormatException e) {
      // Told below.
    }
    fault(number, word.column(), "weight", quoted(word) + "; a number expected");
    return 0;
  }

  private boolean phase(int number, Word word) {
    switch (word.text().toLowerCase(Locale.ROOT)) {
      case "in_service":
        return true;
      case "terminating":
        return false;
      default:
        fault(
            number, word.column(), "phase", quoted(word) + "; in_service or terminating expected");
        return false;
    }
  }

  private int grpcPort(int number, Word word) {
    if (GRPC.matcher(word.text()).matches()) {
      int port = Integer.parseInt(word.text().substring(5));
      if (port > 0 && port < 65_536) {
        return port;
      }
    }
    fault(number, word.column(), "grpc", quoted(word) + "; \"grpc=PORT\" or nothing expected");
    return 0;
  }

  /** Writes a list in the form in which it can be read again, with its digest. */
  public static String write(List<ListedServer> servers) {
    StringBuilder text = new StringBuilder("# id address zone kind cell weight phase\n");
    for (ListedServer server : servers) {
      text.append(formatLine(server)).append('\n');
    }
    byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
    return text.append("end ")
        .append(servers.size())
        .append(" sha256:")
        .append(Sha256.hex(bytes, 0, bytes.length))
        .append('\n')
        .toString();
  }

  /** One server's line. */
  public static String formatLine(ListedServer server) {
    return server.id()
        + ' '
        + server.address()
        + ' '
        + server.zone()
        + ' '
        + server.kind()
        + ' '
        + server.cell()
        + ' '
        + server.weight()
        + ' '
        + (server.inService() ? "in_service" : "terminating")
        + (server.grpcPort() > 0 ? " grpc=" + server.grpcPort() : "");
  }

  /** Tells one list from another, whatever the order of its lines. */
  public static String digest(List<ListedServer> servers) {
    String text =
        String.join("\n", servers.stream().map(MembersFormat::formatLine).sorted().toList());
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return Sha256.hex(bytes, 0, bytes.length);
  }
}
