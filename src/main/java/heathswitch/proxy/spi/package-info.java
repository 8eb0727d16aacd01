/**
 * What every protocol and the dispatcher agree on. Who writes another protocol writes a {@link
 * heathswitch.proxy.spi.Caller} for whoever waits for an answer, a {@link
 * heathswitch.proxy.spi.Payload} that starts a {@link heathswitch.proxy.spi.Attempt} over a {@link
 * heathswitch.proxy.spi.Transport} of its own, and an {@link heathswitch.proxy.spi.Answer} that
 * goes back from one to the other.
 */
package heathswitch.proxy.spi;
