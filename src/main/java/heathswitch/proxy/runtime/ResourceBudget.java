package heathswitch.proxy.runtime;

/** Limits descriptors and the bytes of buffered request bodies. Nothing waits for either. */
public final class ResourceBudget {
  /** Descriptors reserved for the JVM's own files, the listener, discovery and the log. */
  public static final int RESERVED_DESCRIPTORS = 48;

  /** Limit of buffered body bytes. */
  public static final long BODY_BYTES = 8L << 20;

  private final int descriptors;
  private int maxConnections;
  private int connections;
  private long freeBytes;

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

  /** Reserves bytes for the body of a request; false if there are not enough left. */
  public boolean tryReserve(long bytes) {
    if (bytes > freeBytes) {
      return false;
    }
    freeBytes -= bytes;
    return true;
  }

  /** Returns reserved bytes. */
  public void release(long bytes) {
    freeBytes += bytes;
  }
}
