package heathswitch.proxy.grpc;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** An HTTP/2 client that writes raw frames, so that tests can send what no library would. */
final class RawHttp2Client implements AutoCloseable {
  static final int DATA = 0;
  static final int HEADERS = 1;
  static final int RST_STREAM = 3;
  static final int SETTINGS = 4;
  static final int PING = 6;
  static final int GOAWAY = 7;
  static final int CONTINUATION = 9;
  static final int END_STREAM = 1;
  static final int END_HEADERS = 4;

  /** A received frame. */
  record Frame(int type, int flags, int stream, byte[] payload) {
    boolean endsStream() {
      return (type == HEADERS || type == DATA) && (flags & END_STREAM) != 0;
    }
  }

  final Socket socket;
  final DataOutputStream out;

  RawHttp2Client(int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(30_000);
    out = new DataOutputStream(socket.getOutputStream());
    out.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    sendFrame(SETTINGS, 0, 0, new byte[0]);
  }

  void sendFrame(int type, int flags, int stream, byte[] payload) throws IOException {
    out.writeByte(payload.length >> 16);
    out.writeShort(payload.length);
    out.writeByte(type);
    out.writeByte(flags);
    out.writeInt(stream);
    out.write(payload);
  }

  /** Reads until the connection is closed. Returns whether a GOAWAY was received. */
  boolean readUntilClosed() throws IOException {
    boolean goAway = false;
    InputStream in = socket.getInputStream();
    try {
      while (true) {
        byte[] head = in.readNBytes(9);
        if (head.length < 9) {
          return goAway;
        }
        int length = (head[0] & 255) << 16 | (head[1] & 255) << 8 | head[2] & 255;
        goAway |= head[3] == GOAWAY;
        in.readNBytes(length);
      }
    } catch (SocketException e) {
      return goAway; // Reset by the peer, since it had not read all that was sent.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Reads the next frame. Returns null if the connection is closed. */
  Frame readFrame() throws IOException {
    InputStream in = socket.getInputStream();
    byte[] head = in.readNBytes(9);
    if (head.length < 9) {
      return null;
    }
    int length = (head[0] & 255) << 16 | (head[1] & 255) << 8 | head[2] & 255;
    int stream =
        (head[5] & 127) << 24 | (head[6] & 255) << 16 | (head[7] & 255) << 8 | head[8] & 255;
    return new Frame(head[3], head[4], stream, in.readNBytes(length));
  }

  /** Returns a gRPC message with its prefix. */
  static byte[] lengthPrefixed(String text) {
    byte[] bytes = new byte[5 + text.length()];
    bytes[4] = (byte) text.length();
    System.arraycopy(text.getBytes(StandardCharsets.US_ASCII), 0, bytes, 5, text.length());
    return bytes;
  }

  /**
   * Encodes headers as literals without indexing (RFC 7541, section 6.2.2). Names and values
   * alternate.
   */
  static byte[] encodeHeaders(String... namesAndValues) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int i = 0; i < namesAndValues.length; i++) {
      if (i % 2 == 0) {
        bytes.write(0);
      }
      bytes.write(namesAndValues[i].length());
      bytes.write(namesAndValues[i].getBytes(StandardCharsets.US_ASCII));
    }
    return bytes.toByteArray();
  }

  /** Encodes the headers of a call, and additional headers. */
  static byte[] callHeaders(String path, String... moreHeaders) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(
        encodeHeaders(
            ":method",
            "POST",
            ":scheme",
            "http",
            ":path",
            path,
            ":authority",
            "b",
            "content-type",
            "application/grpc",
            "te",
            "trailers"));
    bytes.write(encodeHeaders(moreHeaders));
    return bytes.toByteArray();
  }
}
