package heathswitch.testbed.measure;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * What sites could serve if somebody saw the true room of each at every moment, in virtual time: a
 * call of the loaded site goes to a free core at home, else to a free core elsewhere, else to the
 * shortest queue from which it can still be served in time. Calls of the other sites stay at home.
 */
final class SiteOracle {
  private final int cores;
  private final int queue;
  private final double meanMillis;
  private final double spread;
  private final double deadlineMillis;

  /** Sites of so many cores and places in all their servers' queues together. */
  SiteOracle(int cores, int queue, double meanMillis, double spread, double deadlineMillis) {
    this.cores = cores;
    this.queue = queue;
    this.meanMillis = meanMillis;
    this.spread = spread;
    this.deadlineMillis = deadlineMillis;
  }

  /** When a site's cores are free, and how many calls it has taken. */
  private final class Site {
    final PriorityQueue<Double> free = new PriorityQueue<>();
    final PriorityQueue<Double> ends = new PriorityQueue<>();

    Site() {
      for (int i = 0; i < cores; i++) {
        free.add(0.0);
      }
    }

    int held(double now) {
      while (!ends.isEmpty() && ends.peek() <= now) {
        ends.poll();
      }
      return ends.size();
    }

    double serve(double at, double work) {
      double begin = Math.max(at, free.poll());
      free.add(begin + work);
      ends.add(begin + work);
      return begin + work;
    }
  }

  /**
   * Plays so many seconds; the share of the first site's calls that is served in time.
   *
   * @param perSecond calls of each site, the loaded one first
   */
  double served(double[] perSecond, double hopMillis, double seconds, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Site[] sites = new Site[perSecond.length];
    double[] next = new double[sites.length];
    for (int i = 0; i < sites.length; i++) {
      sites[i] = new Site();
      next[i] = wait(random, perSecond[i]);
    }
    long calls = 0;
    long served = 0;
    while (true) {
      int from = 0;
      for (int i = 1; i < sites.length; i++) {
        from = next[i] < next[from] ? i : from;
      }
      double now = next[from];
      if (now > seconds * 1000) {
        return calls == 0 ? 0 : (double) served / calls;
      }
      next[from] += wait(random, perSecond[from]);
      int to = from == 0 ? place(sites, now) : from;
      double hop = to == from ? 0 : hopMillis;
      boolean done =
          to >= 0
              && sites[to].held(now) < cores + queue
              && sites[to].serve(now + hop, work(random)) + hop - now <= deadlineMillis;
      calls += from == 0 ? 1 : 0;
      served += from == 0 && done ? 1 : 0;
    }
  }

  /** Home first, then whoever holds least. */
  private int place(Site[] sites, double now) {
    if (sites[0].held(now) < cores) {
      return 0;
    }
    int best = 0;
    for (int i = 1; i < sites.length; i++) {
      best = sites[i].held(now) < sites[best].held(now) ? i : best;
    }
    return best;
  }

  private static double wait(SplittableRandom random, double perSecond) {
    return -Math.log(1 - random.nextDouble()) / perSecond * 1000;
  }

  private double work(SplittableRandom random) {
    double variance = Math.log(1 + spread * spread);
    return meanMillis * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
  }
}
