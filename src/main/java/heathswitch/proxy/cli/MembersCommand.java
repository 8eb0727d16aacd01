package heathswitch.proxy.cli;

import heathswitch.proxy.files.AtomicFile;
import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.members.MembersCheck;
import heathswitch.proxy.standalone.StandaloneConfig;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands that check, seal, show and confirm lists of servers. */
@Command(
    name = "members",
    description = "Checks, seals, shows and confirms lists of servers.",
    mixinStandardHelpOptions = true)
final class MembersCommand {
  private static final int MAX_FILE_BYTES = 64 << 20;

  @Spec private CommandSpec spec;

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  @Command(
      name = "check",
      description =
          "Checks files as a running balancer would if they replaced its configured ones.")
  int check(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files) {
    StandaloneConfig parsed = AdminRequests.readConfig(spec, config);
    if (parsed == null) {
      return 1;
    }
    MembersCheck.Report report =
        MembersCheck.check(parsed.members(), files, System.currentTimeMillis());
    report.faults().forEach(out()::println);
    report.lines().forEach(out()::println);
    return report.acceptable() ? 0 : 1;
  }

  @Command(
      name = "seal",
      description = "Writes the closing line of a file: its number of servers and a digest.")
  int seal(@Parameters(paramLabel = "FILE") Path file) {
    try {
      String text = BoundedFile.decodeUtf8(BoundedFile.read(file, MAX_FILE_BYTES));
      AtomicFile.write(file.toRealPath(), MembersCheck.seal(text).getBytes(StandardCharsets.UTF_8));
      return 0;
    } catch (IOException e) {
      err().println(file + ": " + e.getMessage());
      return 1;
    }
  }

  @Command(name = "status", description = "Shows the current list of a running balancer.")
  int status(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return ask(config, admin -> admin.get("members"));
  }

  @Command(name = "confirm", description = "Accepts a list that is held back for confirmation.")
  int confirm(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "VERSION") long version) {
    return ask(config, admin -> admin.post("members/confirm/" + version));
  }

  private int ask(Path config, AdminRequests.Request request) {
    return AdminRequests.sendAndPrint(spec, config, request);
  }
}
