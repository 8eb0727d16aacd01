package heathswitch.proxy.platform;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Just enough of HTTP to play the other side of a socket byte by byte. */
final class RawHttp {
  /** A message as it came: its first line, its headers with lower-case names, its body. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private RawHttp() {}

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** The first line and the headers, or null at the end of the connection. */
  static Message readHead(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Message(start, headers, new byte[0]);
  }

  /** A whole message, or null at the end of the connection; a cut one is an EOFException. */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    return new Message(head.start(), head.headers(), body(in, head));
  }

  /** What follows a head, as the head says where it ends. */
  static byte[] body(InputStream in, Message head) throws IOException {
    if ("chunked".equals(head.headers().get("transfer-encoding"))) {
      return chunks(in);
    } else if (head.headers().containsKey("content-length")) {
      return exactly(in, Integer.parseInt(head.headers().get("content-length")));
    }
    return new byte[0];
  }

  private static byte[] chunks(InputStream in) throws IOException {
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("chunk expected");
      }
      int length = Integer.parseInt(size, 16);
      body.write(exactly(in, length));
      line(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException(body.length + " bytes of " + length);
    }
    return body;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    if (line.length() > 0) {
      throw new EOFException("cut inside a line");
    }
    return null;
  }
}
