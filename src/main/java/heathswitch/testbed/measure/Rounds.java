package heathswitch.testbed.measure;

/**
 * Figures of several things over rounds that are alike, so that what changed can be told from
 * chance: the mean of each, and how far a mean of so many rounds strays by itself.
 */
final class Rounds {
  private final double[] sums;
  private final double[] squares;
  private int rounds;

  Rounds(int things) {
    sums = new double[things];
    squares = new double[things];
  }

  void add(double[] figures) {
    addDifference(figures, new double[sums.length]);
  }

  void addDifference(double[] figures, double[] others) {
    for (int i = 0; i < sums.length; i++) {
      double difference = figures[i] - others[i];
      sums[i] += difference;
      squares[i] += difference * difference;
    }
    rounds++;
  }

  double mean(int thing) {
    return sums[thing] / rounds;
  }

  /** The standard error of the mean; infinite for a single round, which tells nothing of it. */
  double error(int thing) {
    if (rounds < 2) {
      return Double.POSITIVE_INFINITY;
    }
    double variance = (squares[thing] - sums[thing] * mean(thing)) / (rounds - 1);
    return Math.sqrt(Math.max(0, variance) / rounds);
  }

  /** Which has the least mean. */
  int least() {
    int least = 0;
    for (int i = 1; i < sums.length; i++) {
      least = mean(i) < mean(least) ? i : least;
    }
    return least;
  }

  /** How many have a mean under so many of their standard errors. */
  int below(double errors) {
    int below = 0;
    for (int i = 0; i < sums.length; i++) {
      below += mean(i) < errors * error(i) ? 1 : 0;
    }
    return below;
  }
}
