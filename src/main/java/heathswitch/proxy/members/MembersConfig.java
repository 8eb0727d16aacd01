package heathswitch.proxy.members;

import heathswitch.policy.members.ListPolicy;
import heathswitch.proxy.config.ConfigDocument;
import heathswitch.proxy.config.ConfigSection;
import java.nio.file.Path;
import java.util.List;

/**
 * The table {@code [members]} of the configuration.
 *
 * @param files the watched files; their entries together form the list
 * @param state folder for the state that must survive a restart, or null for none
 * @param drainMillis drain time of a server that has left the list
 * @param pollMillis interval between two polls of the files
 * @param settleMillis how long a file must have been unchanged before it is read
 */
public record MembersConfig(
    List<Path> files,
    Path state,
    long drainMillis,
    long pollMillis,
    long settleMillis,
    ListPolicy policy) {

  /**
   * Reads and checks the table. Adds faults to the document; returns null if there is no such
   * table.
   */
  public static MembersConfig read(ConfigDocument document) {
    ConfigSection root = document.root();
    ConfigSection table = root.table("members");
    if (table == null) {
      if (!root.has("members")) {
        root.addError("members", "missing; a table [members] that names the files is expected");
      }
      return null;
    }
    List<Path> files = table.strings("files", true).stream().map(document::resolve).toList();
    if (files.stream().distinct().count() != files.size()) {
      table.addError("files", "contains a file twice; each file once expected");
    }
    String state = table.optionalString("state");
    double minWeight = table.number("least_weight", 0.01, 1e-6, 1e6);
    double maxWeight = table.number("most_weight", 100.0, 1e-6, 1e6);
    if (minWeight > maxWeight) {
      table.addError("least_weight", "is over most_weight; at most " + maxWeight + " expected");
      maxWeight = minWeight;
    }
    MembersConfig config =
        new MembersConfig(
            files,
            state == null ? null : document.resolve(state),
            table.durationMillis("drain", "30s", "0ms", "1h"),
            table.durationMillis("poll", "50ms", "1ms", "10s"),
            table.durationMillis("settle", "50ms", "0ms", "10s"),
            new ListPolicy(
                table.number("most_removed", 0.3, 0.0001, 1.0),
                table.durationMillis("removal_window", "10min", "0ms", "24h"),
                minWeight,
                maxWeight,
                (int) table.integer("most_servers", 20_000L, 1, 100_000)));
    table.rejectUnknownKeys();
    return config;
  }

  /**
   * Largest allowed size of one file: a line of maximum length for each allowed server and for 1000
   * further lines, but at most 64 MiB.
   */
  int maxFileBytes() {
    return (int) Math.min(64L << 20, (policy.maxServers() + 1000L) * MembersFormat.MAX_LINE_LENGTH);
  }
}
