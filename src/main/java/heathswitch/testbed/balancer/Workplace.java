package heathswitch.testbed.balancer;

import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.members.MembersFormat;
import heathswitch.testbed.server.StandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** A folder of its own for one balancer: its configuration, its lists of servers, its log. */
public final class Workplace implements AutoCloseable {
  private final Path folder;

  public Workplace(String name) throws IOException {
    folder = Files.createTempDirectory("heathswitch-" + name + '-');
  }

  public Path folder() {
    return folder;
  }

  public Path members() {
    return folder.resolve("members.txt");
  }

  /** A server as the list names it. */
  public static ListedServer listed(StandIn server, String zone, String kind, double weight) {
    InetSocketAddress at = server.address();
    String address = at.getAddress().getHostAddress() + ':' + at.getPort();
    return new ListedServer(server.name(), address, zone, kind, 0, weight, true);
  }

  /** A list as a person would write it: with a count, without a digest. */
  public static String text(List<ListedServer> servers) {
    return servers.stream().map(MembersFormat::formatLine).collect(Collectors.joining("\n"))
        + "\nend "
        + servers.size()
        + '\n';
  }

  /**
   * Writes a configuration.
   *
   * @param members the lines of the table [members] after its files and its state folder
   */
  public Path configure(
      InetSocketAddress listen, InetSocketAddress admin, int sockets, String members)
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
            .formatted(plain(listen), sockets, members, plain(admin));
    return Files.writeString(folder.resolve("balancer.toml"), text);
  }

  private static String plain(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  @Override
  public void close() throws IOException {
    Folders.delete(folder);
  }
}
