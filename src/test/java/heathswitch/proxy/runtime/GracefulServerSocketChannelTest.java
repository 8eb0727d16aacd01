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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
    return Listeners.bootstrap(loop, channel -> accepted.incrementAndGet())
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
