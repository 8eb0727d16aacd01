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

/** Clients that connect while a listener ends: whoever has connected is taken. */
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

  /** Ends the listener in a turn of its loop that goes on until all clients have connected. */
  private void endWhileClientsConnect(Channel listener, Socket[] clients, boolean room)
      throws Exception {
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    CountDownLatch ending = new CountDownLatch(1);
    CountDownLatch connected = new CountDownLatch(1);
    loop.execute(
        () -> {
          Listeners.closeGracefully(listener, () -> room);
          ending.countDown();
          await(connected);
        });
    ending.await();
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
  void whoeverHasConnectedWhileTheLoopWasHeldUpIsTaken() throws Exception {
    Channel listener = listen();
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    Socket[] clients = new Socket[CLIENTS];
    endWhileClientsConnect(listener, clients, true);
    assertEquals(CLIENTS, accepted.get());
    for (Socket client : clients) {
      client.close();
    }
    assertThrows(IOException.class, () -> new Socket().connect(address, 1000));
  }

  /** An accept that failed just before must not keep it from that. */
  @Test
  void alsoWhereAnAcceptHasJustFailed() throws Exception {
    Channel listener = listen();
    loop.submit(() -> listener.pipeline().fireExceptionCaught(new IOException("no buffers")))
        .sync();
    Socket[] clients = new Socket[CLIENTS];
    endWhileClientsConnect(listener, clients, true);
    assertEquals(CLIENTS, accepted.get());
    for (Socket client : clients) {
      client.close();
    }
  }

  /** Without descriptors for them they are not all taken, and it ends nevertheless. */
  @Test
  void itEndsWhereThereIsNoRoom() throws Exception {
    Channel listener = listen();
    Socket[] clients = new Socket[CLIENTS];
    endWhileClientsConnect(listener, clients, false);
    assertTrue(accepted.get() < CLIENTS);
    for (Socket client : clients) {
      client.close();
    }
  }
}
