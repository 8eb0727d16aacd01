package heathswitch.proxy.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Numeric addresses with a port, such as 127.0.0.1:9000; names are never looked up. */
public final class Addresses {
  private Addresses() {}

  /** The address in a text, IPv6 in brackets or without, or null for what is none. */
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

  /** The one way of writing an address that is used to compare two of them. */
  public static String format(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }
}
