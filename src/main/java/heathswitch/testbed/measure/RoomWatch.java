package heathswitch.testbed.measure;

import heathswitch.testbed.server.SimulatedServer;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** Looks several times a millisecond whether any of some servers could begin to work on a call. */
final class RoomWatch implements AutoCloseable {
  private static final long STEP_NANOS = 250_000L;

  /** A minute of looks; the oldest are overwritten. */
  private static final int MOST = 240_000;

  private final List<SimulatedServer> servers;
  private final long[] at = new long[MOST];
  private final boolean[] room = new boolean[MOST];
  private final Thread thread;
  private volatile int count;
  private volatile boolean closed;

  RoomWatch(List<SimulatedServer> servers) {
    this.servers = servers;
    thread = new Thread(this::look, "room-watch");
    thread.setDaemon(true);
    thread.start();
  }

  private void look() {
    while (!closed) {
      int slot = count % MOST;
      at[slot] = System.nanoTime();
      room[slot] = servers.stream().anyMatch(SimulatedServer::hasFreeCore);
      count++;
      LockSupport.parkNanos(STEP_NANOS);
    }
  }

  /** Whether there was room at a time of the recent past, by the look before it. */
  boolean hadRoom(long nanos) {
    int last = count - 1;
    int first = Math.max(0, last - MOST + 1000);
    while (first < last) {
      int middle = (first + last + 1) >>> 1;
      if (at[middle % MOST] <= nanos) {
        first = middle;
      } else {
        last = middle - 1;
      }
    }
    return last >= 0 && room[first % MOST];
  }

  @Override
  public void close() {
    closed = true;
  }
}
