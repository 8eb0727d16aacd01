package heathswitch.proxy.members;

import heathswitch.policy.members.ListPolicy;
import heathswitch.proxy.config.Document;
import heathswitch.proxy.config.Section;
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
  public static MembersConfig read(Document document) {
    Section root = document.root();
    Section table = root.table("members");
    if (table == null) {
      if (!root.has("members")) {
        root.fault("members", "missing; a table [members] that names the files is expected");
      }
      return null;
    }
    List<Path> files = table.texts("files", true).stream().map(document::resolve).toList();
    if (files.stream().distinct().count() != files.size()) {
      table.fault("files", "contains a file twice; each file once expected");
    }
    String state = table.optionalText("state");
    double minWeight = table.number("least_weight", 0.01, 1e-6, 1e6);
    double maxWeight = table.number("most_weight", 100.0, 1e-6, 1e6);
    if (minWeight > maxWeight) {
      table.fault("least_weight", "is over most_weight; at most " + maxWeight + " expected");
      maxWeight = minWeight;
    }
    MembersConfig config =
        new MembersConfig(
            files,
            state == null ? null : document.resolve(state),
            table.millis("drain", "30s", "0ms", "1h"),
            table.millis("poll", "50ms", "1ms", "10s"),
            table.millis("settle", "50ms", "0ms", "10s"),
            new ListPolicy(
                table.number("most_removed", 0.3, 0.0001, 1.0),
                table.millis("removal_window", "10min", "0ms", "24h"),
                minWeight,
                maxWeight,
                (int) table.whole("most_servers", 20_000L, 1, 100_000)));
    table.end();
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
