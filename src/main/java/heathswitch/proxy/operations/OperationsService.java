package heathswitch.proxy.operations;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.rotation.Suspension;
import heathswitch.proxy.dispatch.UsedRequestIds;
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
 * Executes the commands of operators on a running balancer. A separate thread reads and writes all
 * files in order, and the event loop applies what that thread has read. A suspension is therefore
 * applied only once all processes of the balancer can see it, and success is answered after that.
 */
public final class OperationsService implements ConsoleServer.Commands {
  /** How often a process reads what another process of an upgrade has written. */
  static final long POLL_MILLIS = 200;

  /** Commands that may wait for file access; further ones are rejected. */
  private static final int MAX_QUEUED_COMMANDS = 64;

  private final Node node;
  private final ProcessGeneration generation;
  private final SuspensionOverlay overlay;
  private final SuspensionStore suspensions;
  private final ConsoleServer console;
  private final ScheduledThreadPoolExecutor fileExecutor;
  private volatile boolean serving;
  private volatile int heldDescriptors = ResourceBudget.RESERVED_DESCRIPTORS;

  /**
   * Registers the overlay of suspensions at the dispatcher of the node. Must be called before the
   * node is started.
   *
   * @param folder shared by the processes of this balancer only; null for none
   */
  public OperationsService(Node node, Path folder) {
    this.node = node;
    generation = new ProcessGeneration(folder == null ? null : folder.resolve("processes"));
    suspensions = new SuspensionStore(folder == null ? null : folder.resolve("marks"));
    console = new ConsoleServer(node.loop(), node.budget(), this);
    fileExecutor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "operations");
              thread.setDaemon(true);
              return thread;
            });
    overlay = new SuspensionOverlay(node::nowMillis);
    node.dispatcher().addOverlay(overlay);
    node.shutdown().setSuccessorCheck(generation::hasSuccessor);
    overlay.update(suspensions.read(node.nowMillis()), node.dispatcher());
    if (folder != null) {
      shareRequestIds(folder.resolve("request-ids"));
    }
  }

  private void shareRequestIds(Path file) {
    try {
      node.dispatcher().setUsedRequestIds(UsedRequestIds.shared(file));
    } catch (IOException e) {
      Log.warn(
          "upgrade", "ids of requests are not shared: another process may run them again: " + e);
    }
  }

  /** Whether another process was serving this balancer when this one started. */
  public boolean hasPredecessor() {
    return generation.hasPredecessor();
  }

  /** Opens the console; fails if its address is in use. Must not be called on the event loop. */
  public void start(InetSocketAddress address) throws InterruptedException {
    int heldByOthers = generation.descriptorsHeldByOthers(System.nanoTime());
    node.loop().execute(() -> node.budget().setDescriptorsOfOtherProcesses(heldByOthers));
    console.start(address);
    fileExecutor.scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, MILLISECONDS);
  }

  /** Called once clients can connect: reports ready and becomes visible to later processes. */
  public void announceServing() {
    generation.writeHeartbeat(ResourceBudget.RESERVED_DESCRIPTORS);
    node.loop().execute(() -> serving = true);
  }

  public InetSocketAddress address() {
    return console.address();
  }

  /** Stops the file thread; the console ends with the event loop. */
  public void stop() {
    fileExecutor.shutdownNow();
  }

  // ---- on the file thread ----

  private void poll() {
    try {
      Map<String, Suspension> current = suspensions.read(node.nowMillis());
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
      fileExecutor.shutdown(); // The event loop has been shut down.
    } catch (RuntimeException e) {
      Log.error("operations", "polling the files failed", e); // An exception would cancel polling.
    }
  }

  private void writeSuspension(String id, boolean suspended, Consumer<HttpResponseStatus> done) {
    HttpResponseStatus status = HttpResponseStatus.OK;
    long now = node.nowMillis();
    try {
      if (suspended) {
        suspensions.suspend(id, now);
      } else {
        suspensions.resume(id, now);
      }
    } catch (IOException | RuntimeException e) {
      Log.error("operations", "suspension could not be written", e);
      status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
    }
    Map<String, Suspension> current = suspensions.read(now);
    HttpResponseStatus result = status;
    node.loop()
        .execute(
            () -> {
              overlay.update(current, node.dispatcher());
              done.accept(result);
            });
  }

  // ---- commands, on the event loop ----

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
      done.accept(HttpResponseStatus.SERVICE_UNAVAILABLE); // The disk is too slow.
      return;
    }
    Log.info("operations", (suspended ? "upstream suspended: " : "upstream resumed: ") + id);
    fileExecutor.execute(() -> writeSuspension(id, suspended, done));
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
