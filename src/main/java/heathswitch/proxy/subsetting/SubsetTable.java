package heathswitch.proxy.subsetting;

import heathswitch.policy.subsetting.SubsetSelector;
import heathswitch.policy.subsetting.SubsetSizing;
import heathswitch.proxy.config.Section;

/**
 * The table {@code [subset]} of the configuration.
 *
 * @param rule how wide balancers choose; the same on all of them
 * @param pace how fast this one follows
 */
public record SubsetTable(SubsetSizing rule, SubsetSelector.Pace pace) {
  /** Reads and checks the table; null where there is none, and all servers are used. */
  public static SubsetTable read(Section root) {
    Section table = root.table("subset");
    if (table == null) {
      return null;
    }
    int width = (int) table.whole("width", (long) SubsetSizing.DEFAULT.width(), 1, 1000);
    int users = (int) table.whole("users", (long) SubsetSizing.DEFAULT.users(), 1, 1000);
    int domains = (int) table.whole("domains", (long) SubsetSizing.DEFAULT.domains(), 1, 1000);
    if (domains > width) {
      table.fault("domains", "is over the width; as many servers as cells expected");
    }
    long settle = table.nanos("settle", "3s", "0s", "10min");
    long step = table.nanos("step", "1s", "100ms", "1min");
    double most = table.number("most_moved", SubsetSelector.Pace.DEFAULT.mostMoved(), 0.01, 1.0);
    int alone =
        (int)
            table.whole("alone_steps", (long) SubsetSelector.Pace.DEFAULT.aloneSteps(), 0, 10_000);
    if (!root.has("peers")) {
      table.fault("", "without [peers] nobody else is known; that table expected, too");
    }
    table.end();
    return new SubsetTable(
        new SubsetSizing(width, users, domains),
        new SubsetSelector.Pace(settle, step, most, alone));
  }
}
