package heathswitch.proxy.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats numeric addresses with a port, such as 127.0.0.1:9000, without DNS lookups.
 */
public final class Addresses {
  private Addresses() {}

  /** Parses an address, IPv6 with or without brackets; returns null if it is invalid. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return null;
    }
    byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (host == null) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByAddress(host), port);
    } catch (UnknownHostException | IllegalArgumentException e) {
      return null;
    }
  }

  /** Formats an address in its canonical form, which can be compared as text. */
  public static String format(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }
}
