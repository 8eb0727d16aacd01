/**
 * The interfaces between the dispatcher and the protocols. To add a protocol, implement a {@link
 * heathswitch.proxy.spi.Caller} that waits for an answer, a {@link heathswitch.proxy.spi.Payload}
 * that starts an {@link heathswitch.proxy.spi.Attempt} over the protocol's own {@link
 * heathswitch.proxy.spi.Transport}, and an {@link heathswitch.proxy.spi.Answer} that carries the
 * result back to the caller.
 */
package heathswitch.proxy.spi;
