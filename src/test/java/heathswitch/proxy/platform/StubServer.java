package heathswitch.proxy.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted server on a loopback port that acts as an upstream or as discovery. */
final class StubServer implements AutoCloseable {
  /** An accepted connection, as passed to the handlers. */
  record Connection(int number, Socket socket, InputStream in, OutputStream out) {
    void send(String text) throws IOException {
      out.write(RawHttp.bytes(text));
      out.flush();
    }

    void answer(int status, String headers, String body) throws IOException {
      send(
          "HTTP/1.1 "
              + status
              + " X\r\nContent-Length: "
              + body.length()
              + "\r\n"
              + headers
              + "\r\n"
              + body);
    }

    /** Resets the connection, as a killed process does. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Handles a connection. */
  interface ConnectionHandler {
    /** Handles one connection until its end. */
    void handle(Connection connection) throws Exception;
  }

  /** Handles a request on a connection. */
  interface RequestHandler {
    /** Answers the request, or leaves that to the test. */
    void handle(Connection connection, RawHttp.Message request) throws Exception;
  }

  private final ServerSocket listener;
  private final ConnectionHandler handler;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** The requests received by {@link #replying}, in their order. */
  final BlockingQueue<RawHttp.Message> requests = new LinkedBlockingQueue<>();

  /** The numbers of the connections that have ended. */
  final BlockingQueue<Integer> ended = new LinkedBlockingQueue<>();

  StubServer(ConnectionHandler handler) throws IOException {
    this(0, handler);
  }

  StubServer(int port, ConnectionHandler handler) throws IOException {
    this.handler = handler;
    listener = new ServerSocket(port, 500, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept);
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts a server that passes each request, in turn, to the handler. */
  static StubServer replying(RequestHandler handler) throws IOException {
    StubServer[] self = new StubServer[1];
    StubServer server =
        new StubServer(
            connection -> {
              while (true) {
                RawHttp.Message request = RawHttp.read(connection.in());
                if (request == null) {
                  return;
                }
                synchronized (self) {
                  self[0].requests.add(request);
                }
                handler.handle(connection, request);
              }
            });
    synchronized (self) {
      self[0] = server;
    }
    return server;
  }

  /** Starts a server that answers each request with status 200 and this body. */
  static StubServer answering(String body) throws IOException {
    return replying((connection, request) -> connection.answer(200, "", body));
  }

  private void accept() {
    for (int number = 0; ; number++) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        int current = number;
        Thread thread = new Thread(() -> handle(current, socket));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void handle(int number, Socket socket) {
    try (socket) {
      handler.handle(
          new Connection(
              number,
              socket,
              new BufferedInputStream(socket.getInputStream()),
              socket.getOutputStream()));
    } catch (Exception e) {
      // The other side, or the test, ended the connection.
    } finally {
      ended.add(number);
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  int connections() {
    return sockets.size();
  }

  /** Waits for the next request and returns it. */
  RawHttp.Message awaitRequest() throws InterruptedException {
    RawHttp.Message request = requests.poll(30, TimeUnit.SECONDS);
    if (request == null) {
      throw new AssertionError("no request was received");
    }
    return request;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
