package heathswitch.proxy.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client whose connect succeeded while the listener was being closed must be accepted. */
@Timeout(30)
class GracefulServerSocketChannelTest {
  private static final int CLIENTS = 40;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final AtomicInteger accepted = new AtomicInteger();

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 5, TimeUnit.SECONDS);
  }

  private Channel listen() throws InterruptedException {
    return listen(channel -> {});
  }

  /**
   * Starts a listener.
   *
   * @param onAccept called with each accepted connection, after it was counted
   */
  private Channel listen(Consumer<Channel> onAccept) throws InterruptedException {
    return Listeners.bootstrap(
            loop,
            channel -> {
              accepted.incrementAndGet();
              onAccept.accept(channel);
            })
        .bind(new InetSocketAddress("127.0.0.1", 0))
        .sync()
        .channel();
  }

  /** Closes the listener in a task that blocks the event loop until all clients have connected. */
  private void closeWhileClientsConnect(Channel listener, Socket[] clients, boolean hasRoom)
      throws Exception {
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    CountDownLatch closing = new CountDownLatch(1);
    CountDownLatch connected = new CountDownLatch(1);
    loop.execute(
        () -> {
          Listeners.closeGracefully(listener, () -> hasRoom);
          closing.countDown();
          await(connected);
        });
    closing.await();
    for (int i = 0; i < clients.length; i++) {
      clients[i] = new Socket();
      clients[i].connect(address, 5000);
    }
    connected.countDown();
    assertTrue(listener.closeFuture().await(10, TimeUnit.SECONDS), "closed");
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void acceptsClientsThatConnectedWhileLoopWasBlocked() throws Exception {
    Channel listener = listen();
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    Socket[] clients = new Socket[CLIENTS];
    closeWhileClientsConnect(listener, clients, true);
    assertEquals(CLIENTS, accepted.get());
    for (Socket client : clients) {
      client.close();
    }
    assertThrows(IOException.class, () -> new Socket().connect(address, 1000));
  }

  /** The pause after a failed accept must not keep the listener from accepting these clients. */
  @Test
  void acceptsPendingClientsRightAfterFailedAccept() throws Exception {
    Channel listener = listen();
    loop.submit(() -> listener.pipeline().fireExceptionCaught(new IOException("no buffers")))
        .sync();
    Socket[] clients = new Socket[CLIENTS];
    closeWhileClientsConnect(listener, clients, true);
    assertEquals(CLIENTS, accepted.get());
    for (Socket client : clients) {
      client.close();
    }
  }

  /**
   * Guards against resets of clients that connect while the last pending connection is being set
   * up: nothing may happen between the accept that finds no connection and the close.
   */
  @Test
  void acceptsClientsThatConnectDuringSetUpOfPendingOnes() throws Exception {
    Queue<Socket> clients = new ConcurrentLinkedQueue<>();
    CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
    Channel listener =
        listen(
            channel -> {
              if (accepted.get() < CLIENTS) {
                connect(address.join(), clients);
              }
            });
    InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
    loop.submit(
            () -> {
              Listeners.closeGracefully(listener, () -> true);
              connect(bound, clients);
              address.complete(bound);
            })
        .sync();
    assertTrue(listener.closeFuture().await(10, TimeUnit.SECONDS), "closed");
    loop.submit(() -> {}).sync();
    assertEquals(clients.size(), accepted.get());
    for (Socket client : clients) {
      client.close();
    }
  }

  /** Connects a client if the listener still takes one. */
  private static void connect(InetSocketAddress address, Queue<Socket> clients) {
    try {
      Socket client = new Socket();
      client.connect(address, 5000);
      clients.add(client);
    } catch (IOException e) {
      // Refused: the client knows that it has to go elsewhere.
    }
  }

  /** Without descriptors not all clients are accepted, but the listener must still be closed. */
  @Test
  void closesWhenThereIsNoRoomForPendingClients() throws Exception {
    Channel listener = listen();
    Socket[] clients = new Socket[CLIENTS];
    closeWhileClientsConnect(listener, clients, false);
    assertTrue(accepted.get() < CLIENTS);
    for (Socket client : clients) {
      client.close();
    }
  }
}
