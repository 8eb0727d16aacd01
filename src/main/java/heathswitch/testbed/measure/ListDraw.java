package heathswitch.testbed.measure;

import heathswitch.policy.members.ListedServer;
import heathswitch.testbed.balancer.BalancerFolder;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws lists: good ones that follow each other in small steps, and bad ones of every sort. Each
 * has a number in its first line, so that no two files are alike.
 */
final class ListDraw {
  /** Servers that one good step takes out and brings in at most. */
  private static final int MOST_STEP = 3;

  private static final int LEAST_LISTED = 10;
  private static final int MOST_LISTED = 16;
  private static final double[] WEIGHTS = {0.5, 1, 2};

  private final SplittableRandom random;
  private final List<ListedServer> absent;
  private final List<ListedServer> listed = new ArrayList<>();
  private int number;
  private int bad;

  /** Starts with the first servers of all. */
  ListDraw(SplittableRandom random, List<ListedServer> all) {
    this.random = random;
    absent = new ArrayList<>(all);
    for (int i = 0; i < MOST_LISTED; i++) {
      listed.add(absent.remove(0));
    }
  }

  List<ListedServer> listed() {
    return List.copyOf(listed);
  }

  String text() {
    return "# " + number++ + '\n' + BalancerFolder.formatServerList(listed);
  }

  /** The next good list; never like the one before. */
  void step() {
    for (int i = random.nextInt(MOST_STEP) + 1; i > 0 && listed.size() > LEAST_LISTED; i--) {
      // Those that are first of their kind and zone stay, so that none of these is ever empty.
      int at = random.nextInt(MembersMeasurement.GROUPS, listed.size());
      absent.add(listed.remove(at));
    }
    for (int i = random.nextInt(MOST_STEP) + 1; i > 0 && listed.size() < MOST_LISTED; i--) {
      listed.add(absent.remove(random.nextInt(absent.size())));
    }
    int at = random.nextInt(listed.size());
    ListedServer server = listed.get(at);
    double weight = WEIGHTS[random.nextInt(WEIGHTS.length)];
    weight = weight == server.weight() ? weight * 2 : weight;
    listed.set(
        at,
        new ListedServer(
            server.id(), server.address(), server.zone(), server.kind(), 0, weight, true));
  }

  /** A file that must not be taken. */
  String badText() {
    String good = text();
    return switch (bad++ % 6) {
      case 0, 1 -> good.substring(0, random.nextInt(1, good.length() - 1));
      case 2 -> "";
      case 3 -> garbage();
      case 4 -> "# " + number++ + '\n' + BalancerFolder.formatServerList(listed.subList(0, 2));
      default ->
          good.replaceFirst("\nend \\d+", "\n" + good.lines().skip(1).findFirst().get() + "$0");
    };
  }

  private String garbage() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      text.append((char) random.nextInt(1, 0x3000));
    }
    return text.toString();
  }
}
