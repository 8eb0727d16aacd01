package heathswitch.testbed.balancer;

import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.members.MembersFormat;
import heathswitch.testbed.server.SimulatedServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Temporary folder of one balancer, with its configuration, server list, state and log. */
public final class BalancerFolder implements AutoCloseable {
  private final Path path;

  public BalancerFolder(String name) throws IOException {
    path = Files.createTempDirectory("heathswitch-" + name + '-');
  }

  public Path path() {
    return path;
  }

  public Path serverListFile() {
    return path.resolve("members.txt");
  }

  /** Returns the server list entry of a simulated server. */
  public static ListedServer listEntry(
      SimulatedServer server, String zone, String kind, double weight) {
    InetSocketAddress socketAddress = server.address();
    String address = socketAddress.getAddress().getHostAddress() + ':' + socketAddress.getPort();
    return new ListedServer(server.name(), address, zone, kind, 0, weight, true);
  }

  /** Formats a server list as if written by hand: with a count but without a digest. */
  public static String formatServerList(List<ListedServer> servers) {
    return servers.stream().map(MembersFormat::formatLine).collect(Collectors.joining("\n"))
        + "\nend "
        + servers.size()
        + '\n';
  }

  /**
   * Writes the configuration file.
   *
   * @param membersLines lines of the table {@code [members]} after its files and its state folder
   */
  public Path writeConfig(
      InetSocketAddress listen, InetSocketAddress admin, int sockets, String membersLines)
      throws IOException {
    String text =
        """
        [balancer]
        name = "rig"
        listen = "%s"
        zone = "a"
        seed = 7
        [limits]
        sockets = %d
        most_retry_after = "1s"
        [rules]
        warm_up = "1s"
        [[class]]
        name = "view"
        effect = "safe"
        aim = "2500ms"
        deadline = "6s"
        [[class]]
        name = "publish"
        effect = "unsafe"
        aim = "2500ms"
        deadline = "6s"
        [[tenant]]
        name = "school"
        share = 1.0
        [members]
        files = ["members.txt"]
        state = "state"
        %s
        [admin]
        listen = "%s"
        loop_watch = "1ms"
        """
            .formatted(hostAndPort(listen), sockets, membersLines, hostAndPort(admin));
    return Files.writeString(path.resolve("balancer.toml"), text);
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  @Override
  public void close() throws IOException {
    Folders.deleteRecursively(path);
  }
}
