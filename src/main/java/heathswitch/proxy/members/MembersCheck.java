package heathswitch.proxy.members;

import heathswitch.policy.members.ListDecision;
import heathswitch.policy.members.ListDiff;
import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListValidator;
import heathswitch.policy.members.ListedServer;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.files.BoundedFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Dry run of a new list: reports how a running balancer would decide about the given files,
 * according to its saved state, without changing anything. Also writes the end line of a file.
 */
public final class MembersCheck {
  /** Maximum number of lines shown for each kind of difference. */
  private static final int MAX_SHOWN = 20;

  /**
   * The result of a check.
   *
   * @param acceptable whether the list would be used without confirmation
   * @param faults syntax errors in the files, or why they could not be read
   * @param lines the decision and the differences from the current list, as text
   * @param servers the servers in the files; empty if there are faults
   */
  public record Report(
      boolean acceptable,
      List<ValidationError> faults,
      List<String> lines,
      List<ListedServer> servers) {}

  private MembersCheck() {}

  /** Checks the given files in place of the configured ones. */
  public static Report check(MembersConfig config, List<Path> files, long nowMillis) {
    List<ValidationError> faults = new ArrayList<>();
    List<ListEntry> candidate = new ArrayList<>();
    for (Path file : files) {
      try {
        byte[] bytes = BoundedFile.read(file, config.maxFileBytes());
        MembersFormat.Parsed parsed = MembersFormat.parse(file.toString(), bytes);
        faults.addAll(parsed.faults());
        candidate.addAll(parsed.entries());
      } catch (IOException e) {
        faults.add(new ValidationError(file.toString(), 0, 0, "", String.valueOf(e.getMessage())));
      }
    }
    if (!faults.isEmpty()) {
      return new Report(false, faults, List.of(), List.of());
    }
    List<String> lines = new ArrayList<>();
    ListValidator validator = new ListValidator(config.policy());
    restore(config, validator, lines);
    List<ListedServer> before = validator.current();
    ListDecision decision = validator.submit(nowMillis, candidate);
    boolean acceptable =
        decision instanceof ListDecision.Accepted || decision instanceof ListDecision.Unchanged;
    if (decision instanceof ListDecision.Accepted accepted) {
      lines.add("would be accepted as version " + accepted.version());
    } else if (decision instanceof ListDecision.PendingConfirmation pending) {
      lines.add("would be held back until confirmed:");
      pending.reasons().forEach(reason -> lines.add("  " + reason));
    } else if (decision instanceof ListDecision.Refused refused) {
      lines.add("would be refused:");
      refused.reasons().forEach(reason -> lines.add("  " + reason));
    } else {
      lines.add("equals the current list");
    }
    List<ListedServer> servers = candidate.stream().map(ListEntry::server).toList();
    addDifferences(ListDiff.between(before, servers), lines);
    return new Report(acceptable, faults, lines, servers);
  }

  private static void restore(MembersConfig config, ListValidator validator, List<String> lines) {
    if (config.state() == null) {
      lines.add("no state folder is configured: checked as the first list of a new balancer");
      return;
    }
    MembersStateStore.ReadResult result = new MembersStateStore(config.state()).read();
    if (result.state() != null) {
      MembersStateStore.SavedState state = result.state();
      validator.restore(
          state.version(),
          state.lastAssignedVersion(),
          state.list(),
          state.joinedMillis(),
          state.departures());
      lines.add(
          "current list: version " + state.version() + ", " + state.list().size() + " servers");
    } else {
      lines.add(
          (result.damage() == null ? "no state has been saved yet" : result.damage())
              + ": checked as the first list of a new balancer");
    }
  }

  private static void addDifferences(ListDiff diff, List<String> lines) {
    addShown("+ ", diff.added().stream().map(MembersFormat::formatLine).toList(), lines);
    addShown("- ", diff.removed().stream().map(MembersFormat::formatLine).toList(), lines);
    addShown(
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

  private static void addShown(String sign, List<String> servers, List<String> lines) {
    servers.stream().limit(MAX_SHOWN).forEach(line -> lines.add(sign + line));
    if (servers.size() > MAX_SHOWN) {
      lines.add(sign + "and " + (servers.size() - MAX_SHOWN) + " more");
    }
  }

  /**
   * Returns the content of a file with a correct end line, which states the number of servers and a
   * digest of the lines before it. Errors in the other lines are not corrected.
   */
  public static String seal(String text) {
    StringBuilder lines = new StringBuilder();
    for (String line : text.split("\n", -1)) {
      String stripped = line.strip();
      boolean end =
          stripped.equals("end") || stripped.startsWith("end ") || stripped.startsWith("end\t");
      if (!end) {
        lines.append(line).append('\n');
      }
    }
    String body = lines.toString().stripTrailing() + '\n';
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    long servers =
        body.lines()
            .map(line -> line.replaceFirst("#.*", "").strip())
            .filter(line -> !line.isEmpty())
            .count();
    return body + "end " + servers + " sha256:" + Sha256.hex(bytes, 0, bytes.length) + '\n';
  }
}
