package heathswitch.proxy.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Finds where one list ends and the next begins in what a watch brings: lists are JSON objects,
 * each closed by the end of a line, and may be indented over several lines.
 */
final class JsonFramer {
  private final int mostBytes;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;

  JsonFramer(int mostBytes) {
    this.mostBytes = mostBytes;
  }

  /**
   * Takes one byte; true if it completes a list or an empty line, which {@link #take} then gives.
   *
   * @throws IOException if a list grows too long
   */
  boolean add(byte next) throws IOException {
    if (next == '\n' && depth <= 0 && !inString) {
      return true;
    }
    if (text.size() >= mostBytes) {
      throw new IOException("a list of over " + mostBytes + " bytes");
    }
    text.write(next);
    follow(next);
    return false;
  }

  private void follow(byte next) {
    if (inString) {
      inString = escaped || next != '"';
      escaped = !escaped && next == '\\';
      return;
    }
    switch (next) {
      case '"' -> inString = true;
      case '{', '[' -> depth++;
      case '}', ']' -> depth--;
      default -> {}
    }
  }

  /** What has come since the last list, without the blanks around it. */
  String take() {
    String whole = text.toString(StandardCharsets.UTF_8).strip();
    text.reset();
    depth = 0;
    inString = false;
    escaped = false;
    return whole;
  }
}
