package heathswitch.proxy.subsetting;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.gossip.PeerRecord;
import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.SubsetPlan;
import heathswitch.policy.subsetting.SubsetSelector;
import heathswitch.proxy.admin.AdminServer;
import heathswitch.proxy.gossip.GossipService;
import heathswitch.proxy.metrics.Metrics;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.runtime.Log;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Keeps this balancer's subset up to date. A dedicated thread takes a snapshot of the fleet,
 * computes the shares of the servers and hands them to the event loop, which never waits for it.
 */
public final class SubsetService implements AutoCloseable {
  private static final int POLLS_PER_STEP = 10;
  private static final long MIN_POLL_MILLIS = 20;

  /**
   * State for pages and metrics; written by the subset thread, read by the event loop.
   *
   * @param plan null until the first step
   * @param spread highest ratio of a server's planned call rate to its fair share
   * @param unseen peers that were present before and are not heard of any more
   */
  record Status(
      SubsetPlan plan,
      double spread,
      int unseen,
      double distanceToPlan,
      double totalMovedShare,
      long stepCount) {}

  private record View(FleetSnapshot snapshot, int unseen) {}

  private final Node node;
  private final GossipService peers;
  private final SubsetTable table;
  private final String instance;
  private final SubsetOverlay overlay = new SubsetOverlay();
  private final SubsetSelector selector;
  private final ScheduledExecutorService thread;
  private volatile Status status = new Status(null, 1, 0, 0, 0, 0);

  /** Adds the subset overlay to the node's lists; must be called before the node starts. */
  public SubsetService(
      Node node, GossipService peers, SubsetTable table, String instance, long seed) {
    this.node = node;
    this.peers = peers;
    this.table = table;
    this.instance = instance;
    selector =
        new SubsetSelector(instance, table.sizing(), table.pace(), seed ^ instance.hashCode());
    thread =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread created = new Thread(task, "subset");
              created.setDaemon(true);
              return created;
            });
    node.dispatcher().addOverlay(overlay);
  }

  /** Starts polling. */
  public void start() {
    long interval =
        Math.max(MIN_POLL_MILLIS, table.pace().stepNanos() / 1_000_000 / POLLS_PER_STEP);
    thread.scheduleWithFixedDelay(this::poll, interval, interval, MILLISECONDS);
  }

  // ---- on the subset thread ----

  private void poll() {
    if (!selector.isPollDue(System.nanoTime())) {
      return; // Spares the event loop a snapshot of what may be thousands of servers.
    }
    try {
      View view = node.loop().submit(this::takeView).get();
      if (selector.poll(System.nanoTime(), view.snapshot())) {
        Map<String, Double> shares = selector.shares();
        SubsetPlan plan = selector.plan();
        Status previous = status;
        status =
            new Status(
                plan,
                previous.plan() == plan ? previous.spread() : plan.spread(),
                view.unseen(),
                selector.distanceToPlan(),
                selector.totalMovedShare(),
                selector.stepCount());
        node.loop().execute(() -> overlay.update(shares, node.dispatcher()));
      }
    } catch (RejectedExecutionException e) {
      // The event loop has shut down.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | RuntimeException e) {
      // An exception that leaves the task would end the polling.
      Log.error("subset", "failed to update the subset", e);
    }
  }

  // ---- on the event loop ----

  private View takeView() {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    Set<String> addresses = new HashSet<>();
    boolean selfPresent = false;
    for (PeerRecord each : peers.presentPeers()) {
      if (!addresses.add(each.address())) {
        continue; // Counts a process once, by its first name, if it is known by several names.
      }
      selfPresent |= each.name().equals(instance);
      instances.add(
          new FleetSnapshot.Instance(
              each.name(), each.attributes().zone(), each.attributes().load()));
    }
    if (!selfPresent) { // It has left the peers, and still keeps a subset by itself.
      PeerRecord self = peers.self();
      instances.add(
          new FleetSnapshot.Instance(instance, self.attributes().zone(), self.attributes().load()));
    }
    return new View(new FleetSnapshot(instances, overlay.servers()), peers.deadPeerCount());
  }

  Status status() {
    return status;
  }

  String instance() {
    return instance;
  }

  SubsetOverlay overlay() {
    return overlay;
  }

  int connectedServerCount() {
    return node.dispatcher().connectedUpstreamCount();
  }

  /** Adds the pages about the subset to the admin listener. */
  public void addPages(AdminServer admin) {
    new SubsetPages(this).add(admin);
  }

  /** Registers the metrics of the subset. */
  public void addFigures(Metrics metrics) {
    metrics
        .gauge("subset.servers", "number of servers in use", this::usedServerCount)
        .gauge(
            "subset.spread",
            "highest ratio of a server's planned load to its fair share",
            () -> status.spread())
        .gauge(
            "subset.apart",
            "share of the calls that does not go as planned yet",
            () -> status.distanceToPlan())
        .counter(
            "subset.moved",
            "sum of the shares of the calls moved to other servers",
            () -> status.totalMovedShare());
  }

  private double usedServerCount() {
    Map<String, Double> shares = overlay.shares();
    return shares == null ? overlay.servers().size() : shares.size();
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
