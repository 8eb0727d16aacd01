package heathswitch.proxy.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.ratis.client.RaftClient;
import org.junit.jupiter.api.Test;

/** {@link LogClients} gives no client to two threads at once and leaves none open. */
class LogClientsTest {
  private final AtomicInteger created = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final LogClients clients = new LogClients(this::newClient);

  private RaftClient newClient() {
    created.incrementAndGet();
    return (RaftClient)
        Proxy.newProxyInstance(
            LogClientsTest.class.getClassLoader(),
            new Class<?>[] {RaftClient.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "close" -> closed.incrementAndGet();
                  case "equals" -> proxy == arguments[0];
                  case "hashCode" -> System.identityHashCode(proxy);
                  default -> throw new UnsupportedOperationException(method.getName());
                });
  }

  @Test
  void concurrentCallsUseSeparateClients() throws Exception {
    CompletableFuture<RaftClient> first = new CompletableFuture<>();
    CompletableFuture<Void> finish = new CompletableFuture<>();
    CompletableFuture<Void> running =
        CompletableFuture.runAsync(
            () -> {
              try {
                clients.call(
                    client -> {
                      first.complete(client);
                      return finish.join();
                    });
              } catch (IOException e) {
                first.completeExceptionally(e);
              }
            });
    RaftClient inUse = first.get(10, TimeUnit.SECONDS);
    RaftClient other = clients.call(client -> client);
    assertNotSame(inUse, other);
    finish.complete(null);
    running.get(10, TimeUnit.SECONDS);
    assertEquals(2, created.get());
  }

  @Test
  void consecutiveCallsShareOneClient() throws Exception {
    RaftClient first = clients.call(client -> client);
    assertThrows(
        IOException.class,
        () ->
            clients.call(
                client -> {
                  throw new IOException("refused");
                }));
    assertSame(first, clients.call(client -> client));
    assertEquals(1, created.get());
  }

  @Test
  void closeClosesAllClientsAndRejectsFurtherCalls() throws Exception {
    clients.call(outer -> clients.call(inner -> inner));
    clients.close();
    assertEquals(2, created.get());
    assertEquals(2, closed.get());
    assertThrows(IOException.class, () -> clients.call(client -> client));
  }
}
