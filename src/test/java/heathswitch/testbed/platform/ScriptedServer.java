package heathswitch.testbed.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A server of a fleet whose answers a test writes byte by byte. */
final class ScriptedServer implements AutoCloseable {
  /** Answers one request. */
  interface Handler {
    void handle(RawHead request, InputStream in, Socket connection) throws Exception;
  }

  private final ServerSocket listener;
  private final Handler handler;
  private final String id;

  /** The ids of the requests whose heads have been received, in their order. */
  final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  private ScriptedServer(ServerSocket listener, Handler handler, String id) {
    this.listener = listener;
    this.handler = handler;
    this.id = id;
  }

  /** Starts a server and adds it to discovery's list. */
  static ScriptedServer start(PlatformFleet fleet, Handler handler) throws IOException {
    ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    String id = fleet.addServerAt(new InetSocketAddress("127.0.0.1", listener.getLocalPort()));
    ScriptedServer server = new ScriptedServer(listener, handler, id);
    daemon(server::accept);
    return server;
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
  }

  /** Its id in discovery's list. */
  String id() {
    return id;
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = listener.accept();
        connection.setTcpNoDelay(true);
        daemon(() -> serve(connection));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      for (RawHead head = RawHead.read(in); head != null; head = RawHead.read(in)) {
        received.add(head.header("x-request-id"));
        handler.handle(head, in, connection);
      }
    } catch (Exception e) {
      // The balancer has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
