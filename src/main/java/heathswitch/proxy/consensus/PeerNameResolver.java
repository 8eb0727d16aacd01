package heathswitch.proxy.consensus;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.ratis.thirdparty.io.grpc.EquivalentAddressGroup;
import org.apache.ratis.thirdparty.io.grpc.NameResolver;
import org.apache.ratis.thirdparty.io.grpc.NameResolverProvider;
import org.apache.ratis.thirdparty.io.grpc.NameResolverRegistry;
import org.apache.ratis.thirdparty.io.grpc.Status;

/**
 * Resolves peer names to the addresses in this instance's own configuration. The library
 * distributes the addresses that the leader uses to all peers, but each peer may reach an instance
 * at a different address; so a peer's address in the log is its name.
 */
final class PeerNameResolver extends NameResolverProvider {
  private static final String SCHEME = "heathswitch";

  /** Shared by the process, as is the library's resolver registry; one entry for each peer. */
  private static final Map<String, InetSocketAddress> ADDRESSES = new ConcurrentHashMap<>();

  static {
    NameResolverRegistry.getDefaultRegistry().register(new PeerNameResolver());
  }

  /** Registers a peer's address; returns the target URI that stands for it in the log. */
  static String register(Peer peer) {
    ADDRESSES.put(peer.name(), peer.address());
    return SCHEME + ":///" + peer.name();
  }

  @Override
  protected boolean isAvailable() {
    return true;
  }

  @Override
  protected int priority() {
    return 5;
  }

  @Override
  public String getDefaultScheme() {
    return SCHEME;
  }

  @Override
  public NameResolver newNameResolver(URI target, NameResolver.Args args) {
    if (!SCHEME.equals(target.getScheme())) {
      return null;
    }
    String name = target.getPath().substring(1);
    return new NameResolver() {
      @Override
      public String getServiceAuthority() {
        return name;
      }

      @Override
      public void start(Listener2 listener) {
        InetSocketAddress address = ADDRESSES.get(name);
        if (address == null) {
          listener.onError(Status.UNAVAILABLE.withDescription("no peer " + name));
          return;
        }
        listener.onResult(
            ResolutionResult.newBuilder()
                .setAddresses(List.of(new EquivalentAddressGroup(address)))
                .build());
      }

      @Override
      public void shutdown() {}
    };
  }
}
