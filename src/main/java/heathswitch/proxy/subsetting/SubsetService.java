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
 * This balancer's subset: a thread of its own looks at who is there and what is listed, computes
 * what to use, and hands it to the event loop, which never waits for it.
 */
public final class SubsetService implements AutoCloseable {
  private static final int LOOKS_A_STEP = 10;
  private static final long LEAST_LOOK_MILLIS = 20;

  /**
   * What people are told; made by the thread, read by the loop.
   *
   * @param spread by the plan, the most loaded server against its due
   * @param unseen peers that were there and are not heard any more
   */
  record Shown(
      SubsetPlan plan, double spread, int unseen, double apart, double moved, long steps) {}

  private record Seen(FleetSnapshot census, int unseen) {}

  private final Node node;
  private final GossipService peers;
  private final SubsetTable table;
  private final String instance;
  private final SubsetOverlay narrowing = new SubsetOverlay();
  private final SubsetSelector subset;
  private final ScheduledExecutorService thread;
  private volatile Shown shown = new Shown(null, 1, 0, 0, 0, 0);

  /** Lays itself over the node's lists; before its start. */
  public SubsetService(
      Node node, GossipService peers, SubsetTable table, String instance, long seed) {
    this.node = node;
    this.peers = peers;
    this.table = table;
    this.instance = instance;
    subset = new SubsetSelector(instance, table.rule(), table.pace(), seed ^ instance.hashCode());
    thread =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread made = new Thread(task, "subset");
              made.setDaemon(true);
              return made;
            });
    node.dispatcher().addOverlay(narrowing);
  }

  /** Looks from now on. */
  public void start() {
    long every = Math.max(LEAST_LOOK_MILLIS, table.pace().stepNanos() / 1_000_000 / LOOKS_A_STEP);
    thread.scheduleWithFixedDelay(this::look, every, every, MILLISECONDS);
  }

  // ---- on its thread ----

  private void look() {
    if (!subset.due(System.nanoTime())) {
      return; // What there is may be thousands of servers: nothing is asked of the loop in vain.
    }
    try {
      Seen seen = node.loop().submit(this::see).get();
      if (subset.look(System.nanoTime(), seen.census())) {
        Map<String, Double> uses = subset.uses();
        SubsetPlan plan = subset.plan();
        Shown before = shown;
        shown =
            new Shown(
                plan,
                before.plan() == plan ? before.spread() : plan.spread(),
                seen.unseen(),
                subset.apart(),
                subset.moved(),
                subset.steps());
        node.loop().execute(() -> narrowing.update(uses, node.dispatcher()));
      }
    } catch (RejectedExecutionException e) {
      // The node has ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | RuntimeException e) {
      Log.error("subset", "a step failed", e); // Thrown on, it would be the last.
    }
  }

  // ---- on the loop ----

  private Seen see() {
    List<FleetSnapshot.Instance> instances = new ArrayList<>();
    Set<String> addresses = new HashSet<>();
    boolean here = false;
    for (PeerRecord each : peers.presentPeers()) {
      if (!addresses.add(each.address())) {
        continue; // By name the first one there: a process that goes by fifty names is one.
      }
      here |= each.name().equals(instance);
      instances.add(
          new FleetSnapshot.Instance(
              each.name(), each.attributes().zone(), each.attributes().load()));
    }
    if (!here) { // It has left, and goes on by itself with its own part.
      PeerRecord self = peers.self();
      instances.add(
          new FleetSnapshot.Instance(instance, self.attributes().zone(), self.attributes().load()));
    }
    return new Seen(new FleetSnapshot(instances, narrowing.servers()), peers.deadPeerCount());
  }

  Shown shown() {
    return shown;
  }

  String instance() {
    return instance;
  }

  SubsetOverlay narrowing() {
    return narrowing;
  }

  int connected() {
    return node.dispatcher().connectedUpstreamCount();
  }

  /** Adds the pages of subsets to the admin listener. */
  public void addPages(AdminServer admin) {
    new SubsetPages(this).add(admin);
  }

  /** Adds what can be read of subsets to the figures. */
  public void addFigures(Metrics metrics) {
    metrics
        .gauge("subset.servers", "servers that are used", this::uses)
        .gauge("subset.spread", "most loaded server against its due, planned", () -> shown.spread())
        .gauge("subset.apart", "part of calls that goes elsewhere", () -> shown.apart())
        .counter("subset.moved", "parts of calls that went elsewhere", () -> shown.moved());
  }

  private double uses() {
    Map<String, Double> uses = narrowing.uses();
    return uses == null ? narrowing.servers().size() : uses.size();
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
