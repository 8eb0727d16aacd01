package heathswitch.proxy.members;

import heathswitch.policy.members.ListPolicy;
import heathswitch.proxy.config.Document;
import heathswitch.proxy.config.Section;
import java.nio.file.Path;
import java.util.List;

/**
 * The table {@code [members]} of the configuration.
 *
 * @param state folder for what must outlive the process, or null for none
 * @param drainMillis from leaving the list to being gone
 * @param pollMillis between two looks at the files
 * @param settleMillis for which a file must have stayed as it is before it is read
 */
public record MembersConfig(
    List<Path> files,
    Path state,
    long drainMillis,
    long pollMillis,
    long settleMillis,
    ListPolicy policy) {

  /** Reads and checks the table; null where it cannot be used, with faults in the document. */
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
      table.fault("files", "names a file twice; each once expected");
    }
    String state = table.optionalText("state");
    double least = table.number("least_weight", 0.01, 1e-6, 1e6);
    double most = table.number("most_weight", 100.0, 1e-6, 1e6);
    if (least > most) {
      table.fault("least_weight", "is over most_weight; at most " + most + " expected");
      most = least;
    }
    MembersConfig members =
        new MembersConfig(
            files,
            state == null ? null : document.resolve(state),
            table.millis("drain", "30s", "0ms", "1h"),
            table.millis("poll", "50ms", "1ms", "10s"),
            table.millis("settle", "50ms", "0ms", "10s"),
            new ListPolicy(
                table.number("most_removed", 0.3, 0.0001, 1.0),
                table.millis("removal_window", "10min", "0ms", "24h"),
                least,
                most,
                (int) table.whole("most_servers", 20_000L, 1, 100_000)));
    table.end();
    return members;
  }

  /** Greatest size of one file: a line for each server that a list may have. */
  int mostBytes() {
    return (int) Math.min(64L << 20, (policy.mostServers() + 1000L) * MembersFormat.MOST_LINE);
  }
}
