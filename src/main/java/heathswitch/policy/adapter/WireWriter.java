package heathswitch.policy.adapter;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the actions of a reply in a buffer and writes them at once. */
final class WireWriter {
  private static final byte[] NEXT = ascii("[\"NEXT\"]\n");

  private final OutputStream out;
  private byte[] buffer = new byte[1 << 16];
  private int length;

  WireWriter(OutputStream out) {
    this.out = out;
  }

  /** Begins an action with its name and its instance, both already quoted. */
  WireWriter openAction(byte[] name, byte[] instance) {
    put((byte) '[');
    put(name);
    put((byte) ',');
    return put(instance);
  }

  WireWriter number(long value) {
    put((byte) ',');
    return digits(value);
  }

  WireWriter bool(boolean value) {
    put((byte) ',');
    return put(ascii(value ? "true" : "false"));
  }

  WireWriter text(String value) {
    put((byte) ',');
    return put(quoted(value));
  }

  void closeAction() {
    put((byte) ']');
    put((byte) '\n');
  }

  /** Adds the line that ends a reply. */
  void endReply() {
    put(NEXT);
  }

  /** The present position, for {@link #truncate}. */
  int mark() {
    return length;
  }

  /** Removes what was written after the mark. */
  void truncate(int mark) {
    length = mark;
  }

  void flush() throws IOException {
    out.write(buffer, 0, length);
    out.flush();
    length = 0;
  }

  static byte[] quoted(String value) {
    return ascii('"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(value)) + '"');
  }

  static byte[] ascii(String value) {
    return value.getBytes(StandardCharsets.UTF_8);
  }

  private WireWriter put(byte[] bytes) {
    ensureCapacity(bytes.length);
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
    return this;
  }

  private void put(byte value) {
    ensureCapacity(1);
    buffer[length++] = value;
  }

  private WireWriter digits(long value) {
    if (value < 0) {
      return put(ascii(Long.toString(value)));
    }
    ensureCapacity(20);
    int end = length + 1;
    for (long rest = value; rest >= 10; rest /= 10) {
      end++;
    }
    long rest = value;
    for (int i = end - 1; i >= length; i--) {
      buffer[i] = (byte) ('0' + rest % 10);
      rest /= 10;
    }
    length = end;
    return this;
  }

  private void ensureCapacity(int extra) {
    if (length + extra > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(length + extra, 2 * buffer.length));
    }
  }
}
