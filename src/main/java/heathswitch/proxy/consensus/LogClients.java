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
 * The clients by which this instance asks for entries of the log. Each is used by one thread at a
 * time: the library's client looks its connection up twice for one call, and where another thread
 * drops that connection in between, because a peer has just died, the call fails with a {@link
 * NullPointerException} and without having been sent.
 *
 * <p>There are at most as many clients as threads that call at once, and the one that was used last
 * is used first, so that calls one after another share one set of connections.
 */
final class LogClients implements AutoCloseable {
  /** What is asked of a client. */
  interface Call<T> {
    T by(RaftClient client) throws IOException;
  }

  private final Supplier<RaftClient> factory;
  private final List<RaftClient> all = new ArrayList<>();
  private final Deque<RaftClient> idle = new ArrayDeque<>();
  private boolean closed;

  LogClients(Supplier<RaftClient> factory) {
    this.factory = factory;
  }

  /** Runs a call on a client that nobody else uses meanwhile. */
  <T> T call(Call<T> call) throws IOException {
    RaftClient client = borrow();
    try {
      return call.by(client);
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

  /** Closes all of them, also those in use: whoever waits for an answer is not to go on waiting. */
  @Override
  public void close() {
    for (RaftClient each : ended()) {
      try {
        each.close();
      } catch (IOException e) {
        Log.warn("agreement", "end: " + e);
      }
    }
  }

  private synchronized List<RaftClient> ended() {
    closed = true;
    return List.copyOf(all);
  }
}
