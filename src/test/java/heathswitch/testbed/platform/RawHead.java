package heathswitch.testbed.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** The lines of the head of a message, read byte by byte. */
record RawHead(List<String> lines) {
  /** Reads a head; null at the end of the connection. */
  static RawHead read(InputStream in) throws IOException {
    List<String> lines = new ArrayList<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      lines.add(line);
    }
    return lines.isEmpty() ? null : new RawHead(lines);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(US_ASCII);
  }

  /** The part of this number of the path of a request. */
  String pathPart(int number) {
    return lines.get(0).split(" ")[1].split("/")[number];
  }

  int status() {
    return Integer.parseInt(lines.get(0).split(" ")[1]);
  }

  /** The value of a header given in lower case, or null. */
  String header(String name) {
    for (String line : lines) {
      if (line.toLowerCase().startsWith(name + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return null;
  }

  boolean isChunked() {
    return header("transfer-encoding") != null;
  }

  int contentLength() {
    String value = header("content-length");
    return value == null ? 0 : Integer.parseInt(value);
  }

  /** Reads the body that follows the head. */
  byte[] readBody(InputStream in) throws IOException {
    if (!isChunked()) {
      return in.readNBytes(contentLength());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (String size = readLine(in); size != null; size = readLine(in)) {
      body.write(in.readNBytes(Integer.parseInt(size, 16)));
      readLine(in);
      if (size.equals("0")) {
        return body.toByteArray();
      }
    }
    throw new IOException("connection ended after " + body.size() + " bytes of the body");
  }
}
