package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Calls that have reached a stub upstream and that the test answers when it chooses to. */
final class PendingCalls {
  private final BlockingQueue<StubServer.Connection> calls = new LinkedBlockingQueue<>();

  /** Starts an upstream that reads each request and leaves the answer to the test. */
  StubServer startUpstream() throws Exception {
    return StubServer.replying((connection, request) -> calls.add(connection));
  }

  /** Adds the connection on which a call was received. */
  void add(StubServer.Connection connection) {
    calls.add(connection);
  }

  /** Waits for the next call and returns its connection. */
  StubServer.Connection next() throws InterruptedException {
    StubServer.Connection connection = calls.poll(30, TimeUnit.SECONDS);
    assertNotNull(connection, "no call reached the upstream");
    return connection;
  }

  /** Whether the test has taken all calls received so far. */
  boolean isEmpty() {
    return calls.isEmpty();
  }
}
