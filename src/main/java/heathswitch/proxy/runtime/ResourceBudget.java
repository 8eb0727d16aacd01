package heathswitch.proxy.runtime;

import java.util.ArrayDeque;

/**
 * Counts what must not grow without bound: descriptors and the bytes of bodies that are held.
 *
 * <p>A body reserves all that it may need before it is read, or waits for its turn holding nothing.
 * Two half-read bodies can so never wait for each other.
 */
public final class ResourceBudget {
  /** Descriptors left for the JVM's own files, the listener, discovery and the log. */
  public static final int RESERVED_DESCRIPTORS = 48;

  /** Bytes of bodies held at once; one body of the largest size always fits. */
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

  /** So many descriptors are held by other processes of this balancer, which share its limit. */
  public void setDescriptorsOfOtherProcesses(int descriptorsOfOthers) {
    maxConnections = descriptors - RESERVED_DESCRIPTORS - descriptorsOfOthers;
  }

  /** Descriptors that this process counts for. */
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

  /** Takes the bytes now and returns null, or calls back later when they have been taken. */
  public Object reserve(long bytes, Runnable granted) {
    if (waiters.isEmpty() && bytes <= freeBytes) {
      freeBytes -= bytes;
      return null;
    }
    Waiter waiter = new Waiter(bytes, granted);
    waiters.add(waiter);
    return waiter;
  }

  /** A waiting body is no longer wanted. */
  public void cancelReservation(Object waiter) {
    waiters.remove(waiter);
    grantWaiters();
  }

  /** Gives bytes back. */
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
