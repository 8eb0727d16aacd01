package heathswitch.policy.subsetting;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Which servers one balancer uses, from who is there and what is listed; it is told both again and
 * again, with the time of a monotonic clock of its own in nanoseconds.
 */
public final class SubsetSelector {
  /**
   * How fast it follows.
   *
   * @param settleNanos from its start until it narrows at all, up to twice that: first it has to
   *     hear who is there
   * @param stepNanos between two steps on the mean; each is drawn anew, so that balancers which
   *     learn of the same change at once do not move in step
   * @param mostMoved the part of its calls that goes elsewhere in one step
   * @param aloneSteps steps for which one that sees nobody any more uses what it used last
   */
  public record Pace(long settleNanos, long stepNanos, double mostMoved, int aloneSteps) {
    /** With a step a second. */
    public static final Pace DEFAULT = new Pace(3_000_000_000L, 1_000_000_000L, 0.1, 10);
  }

  private final String self;
  private final SubsetSizing rule;
  private final Pace pace;
  private final SplittableRandom random;
  private final AssignmentTransition passage = new AssignmentTransition();
  private SubsetPlan plan;
  private boolean begun;
  private boolean narrow;
  private long nextNanos;
  private int stepsAlone;
  private boolean met;
  private double moved;
  private long steps;

  /**
   * One that uses all servers, as a balancer by itself does.
   *
   * @param self the name of its balancer
   */
  public SubsetSelector(String self, SubsetSizing rule, Pace pace, long seed) {
    this.self = self;
    this.rule = rule;
    this.pace = pace;
    random = new SplittableRandom(seed);
  }

  /** Whether a look at this moment would come to anything. */
  public boolean due(long nowNanos) {
    return !begun || nowNanos - nextNanos >= 0;
  }

  /**
   * Looks at what there is.
   *
   * @param census who is there, this balancer among them, and the servers in service
   * @return whether what it uses may have changed
   */
  public boolean look(long nowNanos, FleetSnapshot census) {
    if (!begun) {
      begun = true;
      nextNanos = nowNanos + (long) (pace.settleNanos() * (1 + random.nextDouble()));
    }
    if (!due(nowNanos) || census.servers().isEmpty()) {
      return false;
    }
    nextNanos = nowNanos + (long) (pace.stepNanos() * (0.5 + random.nextDouble()));
    boolean alone = census.instances().size() < 2;
    met |= !alone;
    stepsAlone = alone ? stepsAlone + 1 : 0;
    // All others have gone, or the way to them has: what it used was right a moment ago.
    boolean waits = alone && met && stepsAlone <= pace.aloneSteps();
    if (plan == null || !waits && !plan.census().equals(census)) {
      plan = SubsetPlan.of(census, rule);
    }
    Set<String> listed = new HashSet<>();
    census.servers().forEach(each -> listed.add(each.name()));
    Map<String, Double> wanted = plan.row(self);
    if (waits) {
      wanted.keySet().retainAll(listed);
      if (wanted.isEmpty()) {
        plan = SubsetPlan.of(census, rule);
        wanted = plan.row(self);
      }
    }
    if (wanted.isEmpty()) {
      return false; // It does not count as there itself.
    }
    double sum = wanted.values().stream().mapToDouble(part -> part).sum();
    wanted.replaceAll((server, part) -> part / sum);
    narrow = true;
    steps++;
    moved += passage.step(wanted, listed, pace.mostMoved());
    return true;
  }

  /** Which part of its calls goes to each server; null while it chooses among all by itself. */
  public Map<String, Double> uses() {
    return narrow ? passage.now() : null;
  }

  /** What it goes towards, or null. */
  public SubsetPlan plan() {
    return plan;
  }

  /** The part of its calls that goes elsewhere than the plan says. */
  public double apart() {
    return plan == null ? 0 : passage.apart(plan.row(self));
  }

  /** Parts of its calls that have gone elsewhere, added up over all steps. */
  public double moved() {
    return moved;
  }

  /** Steps since its start. */
  public long steps() {
    return steps;
  }
}
