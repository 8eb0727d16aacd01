package heathswitch.proxy.spi;

/** Connections to upstreams in one protocol, as far as the dispatcher knows them. */
public interface Transport {
  /** After a restart, a new address, a drain, or silence: idle connections are of no more use. */
  void closeIdle(Upstream upstream);

  /** Whether a connection is kept that a call to it could take. */
  boolean hasConnection(Upstream upstream);
}
