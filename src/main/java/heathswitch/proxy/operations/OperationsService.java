package heathswitch.proxy.operations;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.rotation.Suspension;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.Consumer;

/**
 * What operators do with a running balancer. Files are read and written by a thread of their own,
 * in order, and the loop takes what that thread has seen: a mark is in force only when every
 * process of the balancer will know of it, and a yes is said after that.
 */
public final class OperationsService implements ConsoleServer.Commands {
  /** How soon one process of an upgrade hears what the other was told. */
  static final long POLL_MILLIS = 200;

  /** Calls that may wait for their files; one more is told no. */
  private static final int MOST_WAITING = 64;

  private final Node node;
  private final ProcessGeneration generation;
  private final MarkOverlay standings;
  private final MarkStore marks;
  private final ConsoleServer console;
  private final ScheduledThreadPoolExecutor files;
  private volatile boolean serving;
  private volatile int holds = ResourceBudget.RESERVED_DESCRIPTORS;

  /**
   * Lays itself over the node's lists; before its start.
   *
   * @param folder shared by all processes of this balancer and by nobody else; null for none
   */
  public OperationsService(Node node, Path folder) {
    this.node = node;
    generation = new ProcessGeneration(folder == null ? null : folder.resolve("processes"));
    marks = new MarkStore(folder == null ? null : folder.resolve("marks"));
    console = new ConsoleServer(node.loop(), node.budget(), this);
    files =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "operations");
              thread.setDaemon(true);
              return thread;
            });
    standings = new MarkOverlay(node::nowMillis);
    node.dispatcher().addOverlay(standings);
    node.shutdown().setSuccessorCheck(generation::followed);
    standings.update(marks.read(node.nowMillis()), node.dispatcher());
  }

  /** Whether another process serves this balancer when this one starts. */
  public boolean hasPredecessor() {
    return generation.follows();
  }

  /** Opens the console; fails if the address cannot be had. Must not be called on the loop. */
  public void start(InetSocketAddress address) throws InterruptedException {
    int held = generation.heldElsewhere(System.nanoTime());
    node.loop().execute(() -> node.budget().setDescriptorsOfOtherProcesses(held));
    console.start(address);
    files.scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, MILLISECONDS);
  }

  /** Clients can connect: from now on the console says so, and a later process can tell. */
  public void announceServing() {
    generation.serving(ResourceBudget.RESERVED_DESCRIPTORS);
    node.loop().execute(() -> serving = true);
  }

  public InetSocketAddress address() {
    return console.address();
  }

  /** Ends the thread of files; the console ends with the loop. */
  public void stop() {
    files.shutdownNow();
  }

  // ---- the thread of files ----

  private void poll() {
    try {
      Map<String, Suspension> now = marks.read(node.nowMillis());
      int held = generation.heldElsewhere(System.nanoTime());
      if (serving) {
        generation.serving(holds);
      }
      node.loop()
          .execute(
              () -> {
                standings.update(now, node.dispatcher());
                node.budget().setDescriptorsOfOtherProcesses(held);
                holds = node.budget().usedDescriptors();
              });
    } catch (RejectedExecutionException e) {
      files.shutdown(); // The node has ended.
    } catch (RuntimeException e) {
      Log.error("operations", "marks could not be read", e); // Thrown on, it would be the last.
    }
  }

  private void write(String id, boolean out, Consumer<HttpResponseStatus> done) {
    HttpResponseStatus status = HttpResponseStatus.OK;
    long now = node.nowMillis();
    try {
      if (out) {
        marks.suspend(id, now);
      } else {
        marks.resume(id, now);
      }
    } catch (IOException | RuntimeException e) {
      Log.error("operations", "a mark could not be written", e);
      status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
    }
    Map<String, Suspension> marked = marks.read(now);
    HttpResponseStatus said = status;
    node.loop()
        .execute(
            () -> {
              standings.update(marked, node.dispatcher());
              done.accept(said);
            });
  }

  // ---- the operators' calls, on the loop ----

  @Override
  public boolean ready() {
    return serving && !node.operatorDrain().isDraining() && !node.shutdown().isDraining();
  }

  @Override
  public void mark(String id, boolean out, Consumer<HttpResponseStatus> done) {
    if (!standings.knows(id)) {
      done.accept(HttpResponseStatus.NOT_FOUND);
      return;
    }
    if (files.getQueue().size() >= MOST_WAITING) {
      done.accept(HttpResponseStatus.SERVICE_UNAVAILABLE); // The disk does not keep up.
      return;
    }
    Log.info("operations", (out ? "taken out: " : "put back: ") + id);
    files.execute(() -> write(id, out, done));
  }

  @Override
  public void empty(boolean empty) {
    if (empty) {
      node.operatorDrain().begin();
    } else {
      node.operatorDrain().end();
    }
  }
}
