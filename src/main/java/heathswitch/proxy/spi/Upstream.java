package heathswitch.proxy.spi;

import java.net.InetSocketAddress;

/** One upstream as a list names it, whatever it speaks. */
public final class Upstream {
  public final long id;
  public final String name;

  /** Where it speaks HTTP/1.1, or null where it does not. */
  public InetSocketAddress address;

  /** Where it speaks gRPC, or null where it does not. */
  public InetSocketAddress grpcAddress;

  public long startedMillis;

  /** Draining or gone: connections to it are not kept. */
  public boolean outOfService;

  /** No longer on discovery's list. */
  public boolean removed;

  /** Attempts that are out, and since when nothing at all has come back. */
  public int inFlight;

  public long silentSinceNanos;

  /** Connections one after the other that did not come up in time, with nothing heard between. */
  private int consecutiveDialTimeouts;

  /** Something has come from it. */
  public void recordHeard(long nowNanos) {
    silentSinceNanos = nowNanos;
    consecutiveDialTimeouts = 0;
  }

  /** A connection did not come up in time; how many did not since it was heard of. */
  public int recordDialTimeout() {
    return ++consecutiveDialTimeouts;
  }

  public Upstream(long id, String name) {
    this.id = id;
    this.name = name;
  }
}
