package heathswitch.proxy.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client connection on which a test writes and reads raw HTTP. */
final class TestClient implements AutoCloseable {
  final Socket socket = new Socket();
  final InputStream in;
  final OutputStream out;

  TestClient(InetSocketAddress address) throws IOException {
    this(address, 0);
  }

  TestClient(InetSocketAddress address, int receiveBuffer) throws IOException {
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(address, 30_000);
    socket.setSoTimeout(30_000);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String get(String path, String headers) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r1\r\nX-Class: view\r\n"
        + headers
        + "\r\n";
  }

  static String post(String requestClass, String headers, String body) {
    return "POST /api/x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r1\r\nX-Class: "
        + requestClass
        + "\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  void send(String text) throws IOException {
    out.write(RawHttp.bytes(text));
    out.flush();
  }

  RawHttp.Message read() throws IOException {
    return RawHttp.read(in);
  }

  RawHttp.Message call(String text) throws IOException {
    send(text);
    return read();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
