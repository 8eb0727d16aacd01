package heathswitch.proxy.gateway;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server of one long answer, over HTTP/1.1, each time on a connection of its own. */
final class LongResponseServer implements AutoCloseable {
  private static final int PIECE = 16 << 10;

  private final ServerSocket listener;
  private final int bytes;

  LongResponseServer(int bytes) throws Exception {
    this.bytes = bytes;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "long-server");
    thread.setDaemon(true);
    thread.start();
  }

  String line(String name) {
    return name + " 127.0.0.1:" + listener.getLocalPort() + " a front 0 1 in_service";
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        readHead(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\nX-Long: yes\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        for (int left = bytes; left > 0; left -= PIECE) {
          out.write(new byte[Math.min(left, PIECE)]);
        }
        out.flush();
      } catch (Exception e) {
        // The next connection does better.
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

  /** Asks a balancer until it is not refused; bytes of the answer's body. */
  static int ask(InetSocketAddress balancer, String type, String method) throws Exception {
    for (int i = 0; i < 200; i++) {
      try (Socket socket = new Socket(balancer.getAddress(), balancer.getPort())) {
        socket.setSoTimeout(30_000);
        String head =
            method
                + " /long HTTP/1.1\r\nHost: b\r\nX-Request-Id: long-"
                + i
                + "\r\nX-Class: "
                + type
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
