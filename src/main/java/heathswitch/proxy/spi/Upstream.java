package heathswitch.proxy.spi;

import java.net.InetSocketAddress;

/** The state of one listed upstream that all protocols share. Used on the event loop only. */
public final class Upstream {
  public final long id;
  public final String name;

  /** The address for HTTP/1.1, or null if the upstream does not speak it. */
  public InetSocketAddress address;

  /** The address for gRPC, or null if the upstream does not speak it. */
  public InetSocketAddress grpcAddress;

  public long startedMillis;

  /**
   * Grows with each restart and each change of address. Whatever has come about under an earlier
   * value belongs to a process that may be gone.
   */
  public int generation;

  /** Draining or removed: connections to the upstream are not kept open. */
  public boolean outOfService;

  /** No longer on the list of discovery. */
  public boolean removed;

  /** The number of attempts in flight. */
  public int inFlight;

  /**
   * When something was last received or, if later, when an attempt was last started with no other
   * in flight.
   */
  public long silentSinceNanos;

  /** Consecutive connects that timed out with nothing received in between. */
  private int consecutiveDialTimeouts;

  /** Records that something was received from the upstream. */
  public void recordHeard(long nowNanos) {
    silentSinceNanos = nowNanos;
    consecutiveDialTimeouts = 0;
  }

  /**
   * Records that a connect timed out.
   *
   * @return the number of consecutive timeouts since something was last received
   */
  public int recordDialTimeout() {
    return ++consecutiveDialTimeouts;
  }

  public Upstream(long id, String name) {
    this.id = id;
    this.name = name;
  }
}
