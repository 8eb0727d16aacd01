package heathswitch.proxy.runtime;

import java.util.ArrayDeque;

/**
 * Limits descriptors and the bytes of buffered request bodies.
 *
 * <p>A body reserves all the bytes it may need before it is read, or waits in a queue without
 * holding any. Thus two partly read bodies can never wait for each other.
 */
public final class ResourceBudget {
  /** Descriptors reserved for the JVM's own files, the listener, discovery and the log. */
  public static final int RESERVED_DESCRIPTORS = 48;

  /** Limit of buffered body bytes; one body of the maximum size always fits. */
  public static final long BODY_BYTES = 8L << 20;

  private record Waiter(long bytes, Runnable granted) {}

  private final int descriptors;
  private int maxConnections;
  private int connections;
  private long freeBytes;
  private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();

  public ResourceBudget(int descriptors, long bodyBytes) {
    this.descriptors = descriptors;
    this.maxConnections = descriptors - RESERVED_DESCRIPTORS;
    this.freeBytes = bodyBytes;
  }

  /** Sets how many descriptors other processes of this balancer use, which share its limit. */
  public void setDescriptorsOfOtherProcesses(int descriptorsOfOthers) {
    maxConnections = descriptors - RESERVED_DESCRIPTORS - descriptorsOfOthers;
  }

  /** The number of descriptors that this process uses or has reserved. */
  public int usedDescriptors() {
    return connections + RESERVED_DESCRIPTORS;
  }

  public int maxConnections() {
    return maxConnections;
  }

  public int availableConnections() {
    return maxConnections - connections;
  }

  public void connectionOpened() {
    connections++;
  }

  public void connectionClosed() {
    connections--;
  }

  public int connections() {
    return connections;
  }

  public long freeBytes() {
    return freeBytes;
  }

  /**
   * Reserves bytes and returns null, or queues the reservation and calls back once it is granted.
   *
   * @return null, or a token to pass to {@link #cancelReservation}
   */
  public Object reserve(long bytes, Runnable granted) {
    if (waiters.isEmpty() && bytes <= freeBytes) {
      freeBytes -= bytes;
      return null;
    }
    Waiter waiter = new Waiter(bytes, granted);
    waiters.add(waiter);
    return waiter;
  }

  /** Cancels a queued reservation. */
  public void cancelReservation(Object waiter) {
    waiters.remove(waiter);
    grantWaiters();
  }

  /** Returns reserved bytes. */
  public void release(long bytes) {
    freeBytes += bytes;
    grantWaiters();
  }

  private void grantWaiters() {
    while (!waiters.isEmpty() && waiters.peek().bytes() <= freeBytes) {
      Waiter waiter = waiters.poll();
      freeBytes -= waiter.bytes();
      waiter.granted().run();
    }
  }
}
