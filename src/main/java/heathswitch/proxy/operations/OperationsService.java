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
  private static final int MAX_QUEUED_COMMANDS = 64;

  private final Node node;
  private final ProcessGeneration generation;
  private final MarkOverlay overlay;
  private final MarkStore marks;
  private final ConsoleServer console;
  private final ScheduledThreadPoolExecutor fileExecutor;
  private volatile boolean serving;
  private volatile int heldDescriptors = ResourceBudget.RESERVED_DESCRIPTORS;

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
    fileExecutor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "operations");
              thread.setDaemon(true);
              return thread;
            });
    overlay = new MarkOverlay(node::nowMillis);
    node.dispatcher().addOverlay(overlay);
    node.shutdown().setSuccessorCheck(generation::hasSuccessor);
    overlay.update(marks.read(node.nowMillis()), node.dispatcher());
  }

  /** Whether another process serves this balancer when this one starts. */
  public boolean hasPredecessor() {
    return generation.hasPredecessor();
  }

  /** Opens the console; fails if the address cannot be had. Must not be called on the loop. */
  public void start(InetSocketAddress address) throws InterruptedException {
    int heldByOthers = generation.descriptorsHeldByOthers(System.nanoTime());
    node.loop().execute(() -> node.budget().setDescriptorsOfOtherProcesses(heldByOthers));
    console.start(address);
    fileExecutor.scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, MILLISECONDS);
  }

  /** Clients can connect: from now on the console says so, and a later process can tell. */
  public void announceServing() {
    generation.writeHeartbeat(ResourceBudget.RESERVED_DESCRIPTORS);
    node.loop().execute(() -> serving = true);
  }

  public InetSocketAddress address() {
    return console.address();
  }

  /** Ends the thread of files; the console ends with the loop. */
  public void stop() {
    fileExecutor.shutdownNow();
  }

  // ---- the thread of files ----

  private void poll() {
    try {
      Map<String, Suspension> current = marks.read(node.nowMillis());
      int heldByOthers = generation.descriptorsHeldByOthers(System.nanoTime());
      if (serving) {
        generation.writeHeartbeat(heldDescriptors);
      }
      node.loop()
          .execute(
              () -> {
                overlay.update(current, node.dispatcher());
                node.budget().setDescriptorsOfOtherProcesses(heldByOthers);
                heldDescriptors = node.budget().usedDescriptors();
              });
    } catch (RejectedExecutionException e) {
      fileExecutor.shutdown(); // The node has ended.
    } catch (RuntimeException e) {
      Log.error("operations", "marks could not be read", e); // Thrown on, it would be the last.
    }
  }

  private void writeMark(String id, boolean suspended, Consumer<HttpResponseStatus> done) {
    HttpResponseStatus status = HttpResponseStatus.OK;
    long now = node.nowMillis();
    try {
      if (suspended) {
        marks.suspend(id, now);
      } else {
        marks.resume(id, now);
      }
    } catch (IOException | RuntimeException e) {
      Log.error("operations", "a mark could not be written", e);
      status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
    }
    Map<String, Suspension> current = marks.read(now);
    HttpResponseStatus result = status;
    node.loop()
        .execute(
            () -> {
              overlay.update(current, node.dispatcher());
              done.accept(result);
            });
  }

  // ---- the operators' calls, on the loop ----

  @Override
  public boolean isReady() {
    return serving && !node.operatorDrain().isDraining() && !node.shutdown().isDraining();
  }

  @Override
  public void setSuspended(String id, boolean suspended, Consumer<HttpResponseStatus> done) {
    if (!overlay.isKnown(id)) {
      done.accept(HttpResponseStatus.NOT_FOUND);
      return;
    }
    if (fileExecutor.getQueue().size() >= MAX_QUEUED_COMMANDS) {
      done.accept(HttpResponseStatus.SERVICE_UNAVAILABLE); // The disk does not keep up.
      return;
    }
    Log.info("operations", (suspended ? "taken out: " : "put back: ") + id);
    fileExecutor.execute(() -> writeMark(id, suspended, done));
  }

  @Override
  public void setDraining(boolean draining) {
    if (draining) {
      node.operatorDrain().begin();
    } else {
      node.operatorDrain().end();
    }
  }
}
