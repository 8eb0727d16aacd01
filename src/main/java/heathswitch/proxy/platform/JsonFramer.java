package heathswitch.proxy.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Splits the byte stream of a watch into its JSON objects. Each object ends at a line feed outside
 * of it and may itself be indented over several lines; an empty line is returned as an empty text.
 */
final class JsonFramer {
  private final int maxBytes;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;

  JsonFramer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Adds one byte. Returns true if it completes an object or an empty line, which {@link #take}
   * then returns.
   *
   * @throws IOException if an object is longer than the limit
   */
  boolean add(byte next) throws IOException {
    if (next == '\n' && depth <= 0 && !inString) {
      return true;
    }
    if (text.size() >= maxBytes) {
      throw new IOException("a list of over " + maxBytes + " bytes");
    }
    text.write(next);
    trackNesting(next);
    return false;
  }

  private void trackNesting(byte next) {
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

  /** Returns the text since the last call, stripped of white space at both ends, and resets. */
  String take() {
    String whole = text.toString(StandardCharsets.UTF_8).strip();
    text.reset();
    depth = 0;
    inString = false;
    escaped = false;
    return whole;
  }
}
