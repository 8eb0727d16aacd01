package heathswitch.proxy.gateway;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An HTTP/1.1 server that sends a long answer and closes the connection after each request. */
final class LongResponseServer implements AutoCloseable {
  private static final int CHUNK_BYTES = 16 << 10;

  private final ServerSocket listener;
  private final int bytes;

  LongResponseServer(int bytes) throws Exception {
    this.bytes = bytes;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "long-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the line of this server for the members file. */
  String memberLine(String name) {
    return name + " 127.0.0.1:" + listener.getLocalPort() + " a front 0 1 in_service";
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        readHead(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\nX-Long: yes\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        for (int left = bytes; left > 0; left -= CHUNK_BYTES) {
          out.write(new byte[Math.min(left, CHUNK_BYTES)]);
        }
        out.flush();
      } catch (Exception e) {
        // The client retries on another connection.
      }
    }
  }

  private static String readHead(InputStream in) throws Exception {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      head.append((char) next);
    }
    return head.toString();
  }

  /**
   * Sends requests to a balancer until one is served. Returns the bytes of the answer's body, or -1
   * if none is served.
   */
  static int requestUntilServed(InetSocketAddress balancer, String requestClass, String method)
      throws Exception {
    for (int i = 0; i < 200; i++) {
      try (Socket socket = new Socket(balancer.getAddress(), balancer.getPort())) {
        socket.setSoTimeout(30_000);
        String head =
            method
                + " /long HTTP/1.1\r\nHost: b\r\nX-Request-Id: long-"
                + i
                + "\r\nX-Class: "
                + requestClass
                + "\r\nConnection: close\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        String answer = readHead(socket.getInputStream());
        int body = socket.getInputStream().readAllBytes().length;
        if (answer.startsWith("HTTP/1.1 200") && answer.toLowerCase().contains("x-long")) {
          return body;
        }
      }
      Thread.sleep(50);
    }
    return -1;
  }

  @Override
  public void close() throws Exception {
    listener.close();
  }
}
