package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A connection to an upstream comes up later than the window for repeats of a keyed request. */
@Timeout(60)
class LateConnectionTest {
  private static final long WINDOW_MILLIS = 500;
  private static final long LATE_MILLIS = 700;

  /** How much later than the window a repeat may come whole. */
  private static final long WINDOW_SLACK_MILLIS = 200;

  private static final int ROUNDS = 2;

  private final Map<String, Long> firstRunNanos = new ConcurrentHashMap<>();
  private final List<String> lateRepeats = new ArrayList<>();
  private volatile boolean steadyRanLast;

  private synchronized void ran(boolean steady, String id) {
    steadyRanLast = steady;
    Long first = firstRunNanos.putIfAbsent(id, System.nanoTime());
    long laterMillis = first == null ? 0 : (System.nanoTime() - first) / 1_000_000;
    if (laterMillis > WINDOW_MILLIS + WINDOW_SLACK_MILLIS) {
      lateRepeats.add(id + " ran again after " + laterMillis + " ms");
    }
  }

  private static String request(String id) {
    return "POST /api/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
        + id
        + "\r\nX-Class: keyed\r\nX-Deadline: 6\r\nIdempotency-Key: k-"
        + id
        + "\r\nContent-Length: 5\r\n\r\ndraft";
  }

  /** Serves one request on each connection; takes no new connections for a while when told to. */
  private final class LateServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private volatile boolean accepting = true;

    LateServer() throws IOException {
      listener.setSoTimeout(20);
      start(this::accept);
    }

    private void start(Runnable task) {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      thread.start();
    }

    InetSocketAddress address() {
      return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          if (accepting) {
            Socket connection = listener.accept();
            start(() -> serve(connection));
          } else {
            Thread.sleep(5);
          }
        } catch (SocketTimeoutException e) {
          // No connection has come; look again.
        } catch (IOException | InterruptedException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        RawHttp.Message request =
            RawHttp.read(new BufferedInputStream(connection.getInputStream()));
        if (request != null) {
          ran(false, request.headers().get("x-request-id"));
          String answer = "HTTP/1.1 200 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
          connection.getOutputStream().write(RawHttp.bytes(answer));
        }
      } catch (IOException e) {
        // The balancer has given the attempt up.
      }
    }

    /** Fills the queue of new connections, so that a further one is not established. */
    void holdConnections() throws Exception {
      accepting = false;
      Thread.sleep(100);
      List<Socket> fillers = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        Socket filler = new Socket();
        filler.connect(address(), 500);
        fillers.add(filler);
      }
      start(
          () -> {
            try {
              Thread.sleep(LATE_MILLIS);
              accepting = true;
              for (Socket filler : fillers) {
                filler.close();
              }
            } catch (IOException | InterruptedException e) {
              accepting = true;
            }
          });
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  // Guards against a keyed request that runs again as its first attempt's connection is late.
  @Test
  void keyedRequestIsNotWrittenAfterTheWindowOfItsHedge() throws Exception {
    try (LateServer late = new LateServer();
        StubServer steady =
            StubServer.replying(
                (connection, request) -> {
                  String id = request.headers().get("x-request-id");
                  ran(true, id);
                  Thread.sleep(id.startsWith("slow") ? 1300 : 5);
                  connection.answer(200, "", "ok");
                });
        BalancerFixture fixture =
            new BalancerFixture()
                .dedupWindow(WINDOW_MILLIS)
                .limit("dial_timeout_ns", 1_500 * BalancerFixture.MS)
                .upstream(steady)
                .upstreamAddress("127.0.0.1:" + late.address().getPort())
                .start();
        TestClient client = fixture.client()) {
      for (int round = 0; round < ROUNDS; round++) {
        // The next request goes to the upstream that was used longest ago.
        for (int i = 0; i < 30 || !steadyRanLast; i++) {
          assertTrue(i < 500, "the steady upstream gets requests");
          assertEquals(200, client.call(request("quick-" + round + "-" + i)).status());
        }
        late.holdConnections();
        assertEquals(200, client.call(request("slow-" + round)).status());
        Thread.sleep(LATE_MILLIS);
      }
      assertEquals(List.of(), lateRepeats);
    }
  }
}
