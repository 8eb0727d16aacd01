package heathswitch.proxy.members;

import heathswitch.policy.members.ListDecision;
import heathswitch.policy.members.ListDiff;
import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListValidator;
import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.config.Fault;
import heathswitch.proxy.files.BoundedFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Says what a running balancer would say to files of servers, from the state that it keeps, and
 * changes nothing.
 */
public final class MembersCheck {
  /** Lines of the difference that are shown of each kind. */
  private static final int MOST_SHOWN = 20;

  /**
   * What was found.
   *
   * @param good whether the list would be taken at once
   * @param faults what is wrong with the files themselves
   * @param lines the verdict and the difference, for people
   * @param servers the servers that the files name; empty where they have faults
   */
  public record Report(
      boolean acceptable, List<Fault> faults, List<String> lines, List<ListedServer> servers) {}

  private MembersCheck() {}

  /** Judges the files in place of those that the table names. */
  public static Report check(MembersConfig table, List<Path> files, long nowMillis) {
    List<Fault> faults = new ArrayList<>();
    List<ListEntry> candidate = new ArrayList<>();
    for (Path file : files) {
      try {
        byte[] bytes = BoundedFile.read(file, table.mostBytes());
        MembersFormat.Parsed parsed = MembersFormat.parse(file.toString(), bytes);
        faults.addAll(parsed.faults());
        candidate.addAll(parsed.entries());
      } catch (IOException e) {
        faults.add(new Fault(file.toString(), 0, 0, "", String.valueOf(e.getMessage())));
      }
    }
    if (!faults.isEmpty()) {
      return new Report(false, faults, List.of(), List.of());
    }
    List<String> lines = new ArrayList<>();
    ListValidator judge = new ListValidator(table.policy());
    restore(table, judge, lines);
    List<ListedServer> before = judge.current();
    ListDecision verdict = judge.judge(nowMillis, candidate);
    boolean good =
        verdict instanceof ListDecision.Accepted || verdict instanceof ListDecision.Unchanged;
    if (verdict instanceof ListDecision.Accepted accepted) {
      lines.add("would be accepted as version " + accepted.version());
    } else if (verdict instanceof ListDecision.PendingConfirmation held) {
      lines.add("would be held back until confirmed:");
      held.reasons().forEach(reason -> lines.add("  " + reason));
    } else if (verdict instanceof ListDecision.Refused refused) {
      lines.add("would be refused:");
      refused.reasons().forEach(reason -> lines.add("  " + reason));
    } else {
      lines.add("says what the current list says");
    }
    List<ListedServer> servers = candidate.stream().map(ListEntry::server).toList();
    differences(ListDiff.between(before, servers), lines);
    return new Report(good, faults, lines, servers);
  }

  private static void restore(MembersConfig table, ListValidator judge, List<String> lines) {
    if (table.state() == null) {
      lines.add("no state folder is configured: judged as the first list of a new balancer");
      return;
    }
    MembersStateStore.Found found = new MembersStateStore(table.state()).read();
    if (found.kept() != null) {
      MembersStateStore.Kept kept = found.kept();
      judge.restore(kept.version(), kept.number(), kept.list(), kept.joined(), kept.left());
      lines.add("current list: version " + kept.version() + ", " + kept.list().size() + " servers");
    } else {
      lines.add(
          (found.damage() == null ? "no state has been kept yet" : found.damage())
              + ": judged as the first list of a new balancer");
    }
  }

  private static void differences(ListDiff diff, List<String> lines) {
    shown("+ ", diff.added().stream().map(MembersFormat::formatLine).toList(), lines);
    shown("- ", diff.removed().stream().map(MembersFormat::formatLine).toList(), lines);
    shown(
        "~ ",
        diff.changed().stream()
            .map(
                change ->
                    MembersFormat.formatLine(change.before())
                        + "  ->  "
                        + MembersFormat.formatLine(change.after()))
            .toList(),
        lines);
  }

  private static void shown(String sign, List<String> servers, List<String> lines) {
    servers.stream().limit(MOST_SHOWN).forEach(line -> lines.add(sign + line));
    if (servers.size() > MOST_SHOWN) {
      lines.add(sign + "and " + (servers.size() - MOST_SHOWN) + " more");
    }
  }

  /**
   * The file's content with its last line made right: the count, and a digest of the rest. A fault
   * of the servers stays one.
   */
  public static String seal(String text) {
    StringBuilder lines = new StringBuilder();
    for (String line : text.split("\n", -1)) {
      String bare = line.strip();
      boolean end = bare.equals("end") || bare.startsWith("end ") || bare.startsWith("end\t");
      if (!end) {
        lines.append(line).append('\n');
      }
    }
    String body = lines.toString().stripTrailing() + '\n';
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    long servers =
        body.lines()
            .map(line -> line.replaceFirst("#.*", "").strip())
            .filter(l -> !l.isEmpty())
            .count();
    return body + "end " + servers + " sha256:" + Sha256.hex(bytes, 0, bytes.length) + '\n';
  }
}
