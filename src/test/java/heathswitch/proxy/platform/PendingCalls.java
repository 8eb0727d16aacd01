package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Calls that have reached an upstream and whose answers a test gives when it wants to. */
final class PendingCalls {
  private final BlockingQueue<StubServer.Connection> calls = new LinkedBlockingQueue<>();

  /** An upstream that reads each request and leaves its answer to the test. */
  StubServer upstream() throws Exception {
    return StubServer.replying((connection, request) -> calls.add(connection));
  }

  /** A call has come on a connection. */
  void add(StubServer.Connection connection) {
    calls.add(connection);
  }

  /** The next call, which may still be on its way. */
  StubServer.Connection next() throws InterruptedException {
    StubServer.Connection connection = calls.poll(30, TimeUnit.SECONDS);
    assertNotNull(connection, "the call does not reach the upstream");
    return connection;
  }

  /** Whether no call has come that the test has not taken. */
  boolean isEmpty() {
    return calls.isEmpty();
  }
}
