package heathswitch.proxy.grpc;

import heathswitch.proxy.standalone.StandaloneConfig;
import heathswitch.proxy.standalone.StandaloneNode;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import testing.Await;

/** A balancer with a gRPC front in this process, and grpc-java clients of it. */
final class GrpcFixture implements AutoCloseable {

  private final Path folder = Files.createTempDirectory("heathswitch-grpc-");
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final StringBuilder members = new StringBuilder();
  private int count;
  private int sockets = 512;
  private String more = "";
  private StandaloneNode node;

  GrpcFixture() throws Exception {}

  GrpcFixture server(int grpcPort) {
    count++;
    members.append(
        "s-"
            + count
            + " 127.0.0.1:"
            + (10 + count)
            + " a store 0 1 in_service grpc="
            + grpcPort
            + '\n');
    return this;
  }

  /** A server in words of the list's own. */
  GrpcFixture line(String words) {
    count++;
    members.append(words).append('\n');
    return this;
  }

  /** Replaces the list of servers while it runs. */
  void rewrite(String... lines) throws Exception {
    Path next =
        Files.writeString(
            folder.resolve("next"), String.join("\n", lines) + "\nend " + lines.length + "\n");
    Files.move(next, folder.resolve("m"), StandardCopyOption.ATOMIC_MOVE);
  }

  GrpcFixture sockets(int most) {
    sockets = most;
    return this;
  }

  /** Further keys of the table [grpc]. */
  GrpcFixture with(String lines) {
    more = lines;
    return this;
  }

  GrpcFixture start() throws Exception {
    Files.writeString(folder.resolve("m"), members + "end " + count + "\n");
    Path file =
        Files.writeString(
            folder.resolve("c.toml"),
            """
            [balancer]
            name = "g"
            listen = "127.0.0.1:0"
            zone = "a"
            seed = 3
            [limits]
            sockets = %d
            [[class]]
            name = "view"
            effect = "safe"
            aim = "2s"
            deadline = "20s"
            [[class]]
            name = "publish"
            effect = "unsafe"
            aim = "2s"
            deadline = "20s"
            [members]
            files = ["m"]
            poll = "10ms"
            settle = "10ms"
            most_removed = 1.0
            [grpc]
            listen = "127.0.0.1:0"
            %s
            [[grpc.method]]
            path = "*"
            class = "view"
            [[grpc.method]]
            path = "/timetable.Store/Publish"
            class = "publish"
            """
                .formatted(sockets, more));
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    if (result.config() == null) {
      throw new AssertionError(result.errors());
    }
    node = new StandaloneNode(file, result.config());
    node.start();
    return this;
  }

  StandaloneNode node() {
    return node;
  }

  int port() {
    return node.grpc().address().getPort();
  }

  /** A connection of its own. */
  ManagedChannel channel() {
    ManagedChannel channel =
        NettyChannelBuilder.forAddress("127.0.0.1", port())
            .usePlaintext()
            .maxInboundMessageSize(8 << 20)
            .build();
    channels.add(channel);
    return channel;
  }

  /** What the module and the pools have out. */
  int live() throws Exception {
    return node.node().loop().submit(() -> node.node().dispatcher().liveRequestCount()).get();
  }

  /** Calls in flight and window of each server. */
  Map<String, int[]> loads() throws Exception {
    return node.node().loop().submit(() -> node.node().dispatcher().loads(1000)).get();
  }

  /** Waits until no request is live: each was answered, and all its attempts have ended. */
  void awaitNothingLeft() throws InterruptedException {
    Await.until(
        "nothing is left over",
        () -> {
          try {
            return live() == 0;
          } catch (Exception e) {
            throw new AssertionError(e);
          }
        });
  }

  @Override
  public void close() throws Exception {
    channels.forEach(ManagedChannel::shutdownNow);
    if (node != null) {
      node.stop();
    }
    try (var files = Files.list(folder)) {
      for (Path path : files.toList()) {
        Files.delete(path);
      }
    }
    Files.delete(folder);
  }
}
