package heathswitch.proxy.subsetting;

import heathswitch.policy.subsetting.SubsetSelector;
import heathswitch.policy.subsetting.SubsetSizing;
import heathswitch.proxy.config.ConfigSection;

/**
 * The table {@code [subset]} of the configuration file.
 *
 * @param sizing sizes of the subsets; must be the same on all balancers of the fleet
 * @param pace how fast this balancer follows its plan
 */
public record SubsetTable(SubsetSizing sizing, SubsetSelector.Pace pace) {
  /** Reads and checks the table; null if there is none, so that all servers are used. */
  public static SubsetTable read(ConfigSection root) {
    ConfigSection table = root.table("subset");
    if (table == null) {
      return null;
    }
    int width = (int) table.integer("width", (long) SubsetSizing.DEFAULT.width(), 1, 1000);
    int users = (int) table.integer("users", (long) SubsetSizing.DEFAULT.minUsers(), 1, 1000);
    int domains = (int) table.integer("domains", (long) SubsetSizing.DEFAULT.minCells(), 1, 1000);
    if (domains > width) {
      table.addError("domains", "is greater than width; at most as many cells as servers expected");
    }
    long settle = table.durationNanos("settle", "3s", "0s", "10min");
    long step = table.durationNanos("step", "1s", "100ms", "1min");
    double mostMoved =
        table.number("most_moved", SubsetSelector.Pace.DEFAULT.maxMovedShare(), 0.01, 1.0);
    int aloneSteps =
        (int)
            table.integer(
                "alone_steps", (long) SubsetSelector.Pace.DEFAULT.isolatedSteps(), 0, 10_000);
    if (!root.has("peers")) {
      table.addError("", "without table [peers] no other balancer is known; that table expected");
    }
    table.rejectUnknownKeys();
    return new SubsetTable(
        new SubsetSizing(width, users, domains),
        new SubsetSelector.Pace(settle, step, mostMoved, aloneSteps));
  }
}
