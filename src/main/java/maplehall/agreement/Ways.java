package maplehall.agreement;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.netty.NettyFactory;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.ServerFactory;

/**
 * The library's own transport, but to the addresses that this instance's configuration names: the
 * library would take them from whoever leads, to whom an instance may be known by another. It makes
 * this class by its name.
 */
public final class Ways implements RpcType {
  /** The peers as this instance reaches them, a list of {@link RaftPeer}. */
  static final String PEERS = "heathswitch.peers";

  @Override
  public String name() {
    return SupportedRpcType.NETTY.name();
  }

  @Override
  public RpcFactory newFactory(Parameters parameters) {
    Map<RaftPeerId, RaftPeer> own = new HashMap<>();
    for (Object peer : parameters.get(PEERS, List.class)) {
      own.put(((RaftPeer) peer).getId(), (RaftPeer) peer);
    }
    return new Servers(new NettyFactory(parameters), own);
  }

  private record Servers(NettyFactory netty, Map<RaftPeerId, RaftPeer> own)
      implements ServerFactory {
    @Override
    public RpcType getRpcType() {
      return SupportedRpcType.NETTY;
    }

    @Override
    public RaftServerRpc newRaftServerRpc(RaftServer server) {
      RaftServerRpc rpc = netty.newRaftServerRpc(server);
      return (RaftServerRpc)
          Proxy.newProxyInstance(
              Ways.class.getClassLoader(),
              new Class<?>[] {RaftServerRpc.class},
              (proxy, method, arguments) -> {
                if (method.getName().equals("addRaftPeers")
                    && arguments[0] instanceof Collection<?> peers) {
                  rpc.addRaftPeers(asKnownHere(peers));
                  return null;
                }
                try {
                  return method.invoke(rpc, arguments);
                } catch (InvocationTargetException e) {
                  throw e.getCause();
                }
              });
    }

    private Collection<RaftPeer> asKnownHere(Collection<?> peers) {
      List<RaftPeer> known = new ArrayList<>();
      for (Object peer : peers) {
        known.add(own.getOrDefault(((RaftPeer) peer).getId(), (RaftPeer) peer));
      }
      return known;
    }
  }
}
