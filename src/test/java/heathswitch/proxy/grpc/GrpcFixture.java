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

/** Runs a balancer with a gRPC listener in this process, and creates grpc-java clients for it. */
final class GrpcFixture implements AutoCloseable {

  private final Path directory = Files.createTempDirectory("heathswitch-grpc-");
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final StringBuilder memberLines = new StringBuilder();
  private int memberCount;
  private int sockets = 512;
  private String extraConfig = "";
  private StandaloneNode node;

  GrpcFixture() throws Exception {}

  GrpcFixture server(int grpcPort) {
    memberCount++;
    memberLines.append(
        "s-"
            + memberCount
            + " 127.0.0.1:"
            + (10 + memberCount)
            + " a store 0 1 in_service grpc="
            + grpcPort
            + '\n');
    return this;
  }

  /** Adds a server by a raw line of the member list. */
  GrpcFixture memberLine(String text) {
    memberCount++;
    memberLines.append(text).append('\n');
    return this;
  }

  /** Replaces the member list of the running balancer. */
  void replaceMembers(String... lines) throws Exception {
    Path next =
        Files.writeString(
            directory.resolve("next"), String.join("\n", lines) + "\nend " + lines.length + "\n");
    Files.move(next, directory.resolve("m"), StandardCopyOption.ATOMIC_MOVE);
  }

  GrpcFixture sockets(int limit) {
    sockets = limit;
    return this;
  }

  /** Adds keys to the table {@code [grpc]} of the configuration. */
  GrpcFixture extraConfig(String lines) {
    extraConfig = lines;
    return this;
  }

  GrpcFixture start() throws Exception {
    Files.writeString(directory.resolve("m"), memberLines + "end " + memberCount + "\n");
    Path file =
        Files.writeString(
            directory.resolve("c.toml"),
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
                .formatted(sockets, extraConfig));
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

  /** Returns a new client channel with its own connection. */
  ManagedChannel channel() {
    ManagedChannel channel =
        NettyChannelBuilder.forAddress("127.0.0.1", port())
            .usePlaintext()
            .maxInboundMessageSize(8 << 20)
            .build();
    channels.add(channel);
    return channel;
  }

  /** The number of requests that are still in progress. */
  int liveRequestCount() throws Exception {
    return node.node().loop().submit(() -> node.node().dispatcher().liveRequestCount()).get();
  }

  /** The calls in flight and the window of each server. */
  Map<String, int[]> serverLoads() throws Exception {
    return node.node().loop().submit(() -> node.node().dispatcher().loads(1000)).get();
  }

  /** Waits until every request is answered and all attempts have ended. */
  void awaitNoLiveRequests() throws InterruptedException {
    Await.until(
        "no live requests",
        () -> {
          try {
            return liveRequestCount() == 0;
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
    try (var files = Files.list(directory)) {
      for (Path path : files.toList()) {
        Files.delete(path);
      }
    }
    Files.delete(directory);
  }
}
