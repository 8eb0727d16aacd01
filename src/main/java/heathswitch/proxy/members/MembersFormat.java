package heathswitch.proxy.members;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.files.UnusableFileException;
import heathswitch.proxy.runtime.Addresses;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * The text format of a list of servers: one line per server, then an end line with their number.
 *
 * <pre>
 * # id      address          zone     kind   cell  weight  phase
 * store-1   127.0.0.1:9101   bangkok  store  1     1       in_service
 * end 1
 * </pre>
 *
 * <p>An optional eighth column, {@code grpc=9201}, is the additional port of a server that speaks
 * gRPC too. A server that speaks only gRPC has an address such as {@code grpc://127.0.0.1:9201}.
 *
 * <p>With the end line, a file truncated at any byte is detected: the rest has no end line, or one
 * with another number. {@code end 1 sha256:...} also contains a digest of all bytes before that
 * line, for files that programs write.
 */
public final class MembersFormat {
  /** Longest allowed line, in characters. */
  static final int MAX_LINE_LENGTH = 512;

  /**
   * Maximum number of faults reported for one file; a file of another format would have one in each
   * line.
   */
  private static final int MAX_FAULTS = 20;

  private static final String[] COLUMNS = {
    "id", "address", "zone", "kind", "cell", "weight", "phase"
  };

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern INTEGER = Pattern.compile("\\d{1,9}");
  private static final Pattern GRPC = Pattern.compile("grpc=\\d{1,5}");
  private static final Pattern DIGEST = Pattern.compile("sha256:[0-9a-f]{64}");

  /** The result of parsing a file; the entries must only be used if there are no faults. */
  public record Parsed(List<ListEntry> entries, List<ValidationError> faults) {}

  /** A word of a line, with its column counted from 1. */
  private record Token(String text, int column) {}

  private final String file;
  private final List<ListEntry> entries = new ArrayList<>();
  private final List<ValidationError> faults = new ArrayList<>();
  private boolean endSeen;

  private MembersFormat(String file) {
    this.file = file;
  }

  /**
   * Parses a whole file.
   *
   * @param file name of the file, for the locations of entries and faults
   */
  public static Parsed parse(String file, byte[] bytes) {
    MembersFormat parser = new MembersFormat(file);
    try {
      parser.parseLines(BoundedFile.decodeUtf8(bytes), bytes);
    } catch (UnusableFileException e) {
      parser.fault(0, 0, "", e.getMessage());
    }
    return new Parsed(parser.entries, parser.faults);
  }

  private void fault(int line, int column, String field, String message) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(new ValidationError(file, line, column, field, message));
    }
  }

  private void parseLines(String text, byte[] bytes) {
    int number = 0;
    int start = 0;
    while (start < text.length() && faults.size() < MAX_FAULTS) {
      int end = text.indexOf('\n', start);
      int next = end < 0 ? text.length() : end + 1;
      number++;
      String line = text.substring(start, end < 0 ? text.length() : end);
      if (line.length() > MAX_LINE_LENGTH) {
        fault(number, 1, "", "is longer than " + MAX_LINE_LENGTH + " characters");
      } else {
        parseLine(number, tokens(line), text, start, bytes);
      }
      start = next;
    }
    if (!endSeen && faults.isEmpty()) {
      fault(number, 0, "", "the file has no end line; \"end " + entries.size() + "\" expected");
    }
  }

  private static List<Token> tokens(String line) {
    List<Token> tokens = new ArrayList<>(COLUMNS.length);
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
        tokens.add(new Token(line.substring(from, i), from + 1));
      }
    }
    return tokens;
  }

  private void parseLine(int number, List<Token> tokens, String text, int start, byte[] bytes) {
    if (tokens.isEmpty()) {
      return;
    }
    if (endSeen) {
      fault(number, tokens.get(0).column(), "", "follows the end line; nothing more expected");
    } else if (tokens.get(0).text().equals("end")) {
      endSeen = true;
      parseEnd(number, tokens, text, start, bytes);
    } else {
      parseServer(number, tokens);
    }
  }

  private void parseEnd(int number, List<Token> tokens, String text, int start, byte[] bytes) {
    int expectedSize = tokens.size() > 2 ? 3 : 2;
    if (tokens.size() != expectedSize || !INTEGER.matcher(tokens.get(1).text()).matches()) {
      fault(number, 1, "end", "cannot be read; \"end " + entries.size() + "\" expected");
      return;
    }
    if (Integer.parseInt(tokens.get(1).text()) != entries.size()) {
      fault(
          number,
          tokens.get(1).column(),
          "end",
          "states "
              + tokens.get(1).text()
              + " servers but "
              + entries.size()
              + " are listed above; was the file truncated, or a line added without updating the"
              + " number?");
      return;
    }
    if (expectedSize == 3) {
      checkDigest(number, tokens.get(2), text.substring(0, start), bytes);
    }
  }

  private void checkDigest(int number, Token token, String before, byte[] bytes) {
    if (!DIGEST.matcher(token.text()).matches()) {
      fault(number, token.column(), "end", "\"sha256:\" and 64 hexadecimal digits expected");
      return;
    }
    int length = before.getBytes(StandardCharsets.UTF_8).length;
    if (!token.text().equals("sha256:" + Sha256.hex(bytes, 0, length))) {
      fault(number, token.column(), "end", "the digest does not match the lines above");
    }
  }

  private void parseServer(int number, List<Token> tokens) {
    if (tokens.size() != COLUMNS.length && tokens.size() != COLUMNS.length + 1) {
      fault(
          number,
          tokens.get(0).column(),
          "",
          tokens.size() + " columns; " + String.join(" ", COLUMNS) + " expected");
      return;
    }
    int faultsBefore = faults.size();
    String id = parseName(number, tokens, 0);
    String address = parseAddress(number, tokens.get(1));
    String zone = parseName(number, tokens, 2);
    String kind = parseName(number, tokens, 3);
    Token cell = tokens.get(4);
    if (!INTEGER.matcher(cell.text()).matches()) {
      fault(number, cell.column(), "cell", quoted(cell) + "; a whole number expected");
    }
    double weight = parseWeight(number, tokens.get(5));
    boolean inService = parsePhase(number, tokens.get(6));
    int grpcPort = tokens.size() > COLUMNS.length ? parseGrpcPort(number, tokens.get(7)) : 0;
    if (grpcPort > 0 && address.startsWith(ListedServer.GRPC_ONLY_PREFIX)) {
      fault(
          number,
          tokens.get(7).column(),
          "grpc",
          "cannot be combined with a grpc:// address; one of them expected");
    }
    if (faults.size() == faultsBefore) {
      ListedServer server =
          new ListedServer(
              id, address, zone, kind, Long.parseLong(cell.text()), weight, inService, grpcPort);
      entries.add(new ListEntry(server, file + ':' + number));
    }
  }

  private static String quoted(Token token) {
    String text = token.text();
    return "is \"" + (text.length() <= 60 ? text : text.substring(0, 60) + "...") + '"';
  }

  private String parseName(int number, List<Token> tokens, int column) {
    Token token = tokens.get(column);
    if (!NAME.matcher(token.text()).matches()) {
      fault(
          number,
          token.column(),
          COLUMNS[column],
          quoted(token) + "; at most 64 letters, digits, dots, hyphens or underscores expected");
    }
    return token.text();
  }

  private String parseAddress(int number, Token token) {
    boolean grpcOnly = token.text().startsWith(ListedServer.GRPC_ONLY_PREFIX);
    InetSocketAddress address =
        Addresses.parse(
            grpcOnly
                ? token.text().substring(ListedServer.GRPC_ONLY_PREFIX.length())
                : token.text());
    if (address == null || address.getPort() == 0) {
      fault(
          number,
          token.column(),
          "address",
          quoted(token) + "; a numeric address and port, such as 127.0.0.1:9101, expected");
      return "";
    }
    return (grpcOnly ? ListedServer.GRPC_ONLY_PREFIX : "") + Addresses.format(address);
  }

  /** Accepts any number that Java can parse; whether it is in bounds is validated later. */
  private double parseWeight(int number, Token token) {
    try {
      if (token.text().length() <= 40) {
        return Double.parseDouble(token.text());
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    fault(number, token.column(), "weight", quoted(token) + "; a number expected");
    return 0;
  }

  private boolean parsePhase(int number, Token token) {
    switch (token.text().toLowerCase(Locale.ROOT)) {
      case "in_service":
        return true;
      case "terminating":
        return false;
      default:
        fault(
            number,
            token.column(),
            "phase",
            quoted(token) + "; in_service or terminating expected");
        return false;
    }
  }

  private int parseGrpcPort(int number, Token token) {
    if (GRPC.matcher(token.text()).matches()) {
      int port = Integer.parseInt(token.text().substring(5));
      if (port > 0 && port < 65_536) {
        return port;
      }
    }
    fault(number, token.column(), "grpc", quoted(token) + "; \"grpc=PORT\" or nothing expected");
    return 0;
  }

  /** Formats a list as a file with a digest, which {@link #parse} can read. */
  public static String format(List<ListedServer> servers) {
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

  /** Formats the line of one server. */
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

  /** Returns a digest of the servers that does not depend on their order in the list. */
  public static String digest(List<ListedServer> servers) {
    String text =
        String.join("\n", servers.stream().map(MembersFormat::formatLine).sorted().toList());
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return Sha256.hex(bytes, 0, bytes.length);
  }
}
