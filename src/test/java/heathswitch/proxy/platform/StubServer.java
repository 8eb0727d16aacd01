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

/** A scripted server on a loopback port: an upstream, or discovery. */
final class StubServer implements AutoCloseable {
  /** One connection, as the script sees it. */
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

    /** Ends the connection as a dying process does. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  interface Script {
    /** Plays one connection to its end. */
    void play(Connection connection) throws Exception;
  }

  interface Reply {
    void to(Connection connection, RawHttp.Message request) throws Exception;
  }

  private final ServerSocket listener;
  private final Script script;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  final BlockingQueue<RawHttp.Message> requests = new LinkedBlockingQueue<>();
  final BlockingQueue<Integer> ended = new LinkedBlockingQueue<>();

  StubServer(Script script) throws IOException {
    this(0, script);
  }

  StubServer(int port, Script script) throws IOException {
    this.script = script;
    listener = new ServerSocket(port, 500, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept);
    thread.setDaemon(true);
    thread.start();
  }

  /** Replies to each request on each connection in turn. */
  static StubServer replying(Reply reply) throws IOException {
    StubServer[] self = new StubServer[1];
    StubServer peer =
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
                reply.to(connection, request);
              }
            });
    synchronized (self) {
      self[0] = peer;
    }
    return peer;
  }

  static StubServer serving(String body) throws IOException {
    return replying((connection, request) -> connection.answer(200, "", body));
  }

  private void accept() {
    for (int number = 0; ; number++) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        int current = number;
        Thread thread = new Thread(() -> play(current, socket));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void play(int number, Socket socket) {
    try (socket) {
      script.play(
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

  RawHttp.Message request() throws InterruptedException {
    RawHttp.Message request = requests.poll(30, TimeUnit.SECONDS);
    if (request == null) {
      throw new AssertionError("no request came");
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
