package heathswitch.proxy.platform;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 parser for tests that read and write sockets byte by byte. */
final class RawHttp {
  /** A message as received: its first line, its headers with lower-case names, and its body. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private RawHttp() {}

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Reads the first line and the headers; null at the end of the connection. */
  static Message readHead(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Message(startLine, headers, new byte[0]);
  }

  /**
   * Reads a complete message; null at the end of the connection. A truncated message throws an
   * EOFException.
   */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    return new Message(head.startLine(), head.headers(), body(in, head));
  }

  /** Reads the body, whose length or encoding the headers give. */
  static byte[] body(InputStream in, Message head) throws IOException {
    if ("chunked".equals(head.headers().get("transfer-encoding"))) {
      return readChunks(in);
    } else if (head.headers().containsKey("content-length")) {
      return readExactly(in, Integer.parseInt(head.headers().get("content-length")));
    }
    return new byte[0];
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException("expected a chunk");
      }
      int length = Integer.parseInt(size, 16);
      body.write(readExactly(in, length));
      readLine(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException(body.length + " bytes of " + length);
    }
    return body;
  }

  private static String readLine(InputStream in) throws IOException {
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
      throw new EOFException("connection ended inside a line");
    }
    return null;
  }
}
