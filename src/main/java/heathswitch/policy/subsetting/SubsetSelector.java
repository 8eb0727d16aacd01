package heathswitch.policy.subsetting;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Selects the subset of servers that one balancer uses. It is polled with the current fleet
 * snapshot and the time of the balancer's own monotonic clock in nanoseconds.
 */
public final class SubsetSelector {
  /**
   * Timing of the steps by which the balancer follows its plan.
   *
   * @param settleNanos after its start the balancer uses all servers for one to two times this
   *     long, until it has learned which other balancers are present
   * @param stepNanos mean interval between two steps; each interval is drawn at random, so that
   *     balancers that learn of the same change at once do not move in step
   * @param maxMovedShare maximum share of its calls that moves to other servers in one step
   * @param isolatedSteps number of steps for which a balancer that no longer sees any other one
   *     keeps its last subset
   */
  public record Pace(long settleNanos, long stepNanos, double maxMovedShare, int isolatedSteps) {
    /** One step per second. */
    public static final Pace DEFAULT = new Pace(3_000_000_000L, 1_000_000_000L, 0.1, 10);
  }

  private final String self;
  private final SubsetSizing sizing;
  private final Pace pace;
  private final SplittableRandom random;
  private final AssignmentTransition transition = new AssignmentTransition();
  private SubsetPlan plan;
  private boolean started;
  private boolean usesSubset;
  private long nextStepNanos;
  private int stepsAlone;
  private boolean hasSeenOthers;
  private double totalMovedShare;
  private long stepCount;

  /**
   * Creates a selector that uses all servers at first, as a balancer without others does.
   *
   * @param self the name of this balancer
   */
  public SubsetSelector(String self, SubsetSizing sizing, Pace pace, long seed) {
    this.self = self;
    this.sizing = sizing;
    this.pace = pace;
    random = new SplittableRandom(seed);
  }

  /** Whether a call of {@link #poll} at this time could have an effect. */
  public boolean isPollDue(long nowNanos) {
    return !started || nowNanos - nextStepNanos >= 0;
  }

  /**
   * Performs a step towards the plan for a snapshot, if a step is due.
   *
   * @param snapshot the present balancers, this one among them, and the servers in service
   * @return whether the shares may have changed
   */
  public boolean poll(long nowNanos, FleetSnapshot snapshot) {
    if (!started) {
      started = true;
      nextStepNanos = nowNanos + (long) (pace.settleNanos() * (1 + random.nextDouble()));
    }
    if (!isPollDue(nowNanos) || snapshot.servers().isEmpty()) {
      return false;
    }
    nextStepNanos = nowNanos + (long) (pace.stepNanos() * (0.5 + random.nextDouble()));
    boolean alone = snapshot.instances().size() < 2;
    hasSeenOthers |= !alone;
    stepsAlone = alone ? stepsAlone + 1 : 0;
    // Either all others have gone or the connection to them has failed. In the second case the
    // previous plan is still right, so it is kept for a while.
    boolean keepsPlan = alone && hasSeenOthers && stepsAlone <= pace.isolatedSteps();
    if (plan == null || !keepsPlan && !plan.snapshot().equals(snapshot)) {
      plan = SubsetPlan.compute(snapshot, sizing);
    }
    Set<String> listed = new HashSet<>();
    snapshot.servers().forEach(each -> listed.add(each.name()));
    Map<String, Double> target = plan.sharesOf(self);
    if (keepsPlan) {
      target.keySet().retainAll(listed);
      if (target.isEmpty()) {
        plan = SubsetPlan.compute(snapshot, sizing);
        target = plan.sharesOf(self);
      }
    }
    if (target.isEmpty()) {
      return false; // The snapshot does not contain this balancer.
    }
    double sum = target.values().stream().mapToDouble(share -> share).sum();
    target.replaceAll((server, share) -> share / sum);
    usesSubset = true;
    stepCount++;
    totalMovedShare += transition.step(target, listed, pace.maxMovedShare());
    return true;
  }

  /** Share of this balancer's calls for each server; null while it uses all servers. */
  public Map<String, Double> shares() {
    return usesSubset ? transition.current() : null;
  }

  /** The plan that the steps lead to, or null before the first step. */
  public SubsetPlan plan() {
    return plan;
  }

  /** Share of this balancer's calls that goes to different servers than the plan says. */
  public double distanceToPlan() {
    return plan == null ? 0 : transition.distanceTo(plan.sharesOf(self));
  }

  /** Sum of the shares that were moved to other servers in all steps. */
  public double totalMovedShare() {
    return totalMovedShare;
  }

  /** Number of steps since the start. */
  public long stepCount() {
    return stepCount;
  }
}
