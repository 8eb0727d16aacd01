package heathswitch.proxy.consensus;

import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.apache.ratis.client.RaftClient;

/**
 * A pool of the Raft clients with which this instance submits entries to the log. Each is used by
 * one thread at a time: the library's client looks up its connection twice per call, and if another
 * thread drops that connection in between, because a peer has just died, the call fails with a
 * {@link NullPointerException} without having been sent.
 *
 * <p>There are at most as many clients as threads that call concurrently. The most recently used
 * client is reused first, so that consecutive calls share one set of connections.
 */
final class LogClients implements AutoCloseable {
  /** A call made with a client. */
  interface Call<T> {
    T execute(RaftClient client) throws IOException;
  }

  private final Supplier<RaftClient> factory;
  private final List<RaftClient> all = new ArrayList<>();
  private final Deque<RaftClient> idle = new ArrayDeque<>();
  private boolean closed;

  LogClients(Supplier<RaftClient> factory) {
    this.factory = factory;
  }

  /** Runs a call with a client that no other thread uses meanwhile. */
  <T> T call(Call<T> call) throws IOException {
    RaftClient client = borrow();
    try {
      return call.execute(client);
    } finally {
      release(client);
    }
  }

  private synchronized RaftClient borrow() throws IOException {
    if (closed) {
      throw new IOException("ending");
    }
    RaftClient client = idle.poll();
    if (client == null) {
      client = factory.get();
      all.add(client);
    }
    return client;
  }

  private synchronized void release(RaftClient client) {
    idle.push(client);
  }

  /** Closes all clients, also those in use, so that no caller goes on waiting for an answer. */
  @Override
  public void close() {
    for (RaftClient each : markClosed()) {
      try {
        each.close();
      } catch (IOException e) {
        Log.warn("agreement", "end: " + e);
      }
    }
  }

  private synchronized List<RaftClient> markClosed() {
    closed = true;
    return List.copyOf(all);
  }
}
