package heathswitch.proxy.spi;

/**
 * A complete answer in the representation of its protocol. It has one owner at a time; the last
 * owner releases it.
 */
public interface Answer {
  void release();
}
