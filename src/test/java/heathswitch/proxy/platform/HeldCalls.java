package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Calls that have reached an upstream and whose answers a test gives when it wants to. */
final class HeldCalls {
  private final BlockingQueue<Peer.Connection> calls = new LinkedBlockingQueue<>();

  /** An upstream that reads each request and leaves its answer to the test. */
  Peer upstream() throws Exception {
    return Peer.replying((connection, request) -> calls.add(connection));
  }

  /** A call has come on a connection. */
  void add(Peer.Connection connection) {
    calls.add(connection);
  }

  /** The next call, which may still be on its way. */
  Peer.Connection next() throws InterruptedException {
    Peer.Connection connection = calls.poll(30, TimeUnit.SECONDS);
    assertNotNull(connection, "the call does not reach the upstream");
    return connection;
  }

  /** Whether no call has come that the test has not taken. */
  boolean isEmpty() {
    return calls.isEmpty();
  }
}
