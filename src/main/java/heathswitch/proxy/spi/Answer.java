package heathswitch.proxy.spi;

/** A whole answer in the form of its protocol; whoever holds it last releases it. */
public interface Answer {
  void release();
}
