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

/** Lists of servers: judged, asked about, confirmed. */
@Command(
    name = "members",
    description = "Lists of servers: judged, asked about, confirmed.",
    mixinStandardHelpOptions = true)
final class MembersCommand {
  private static final int MOST_SEALED_BYTES = 64 << 20;

  @Spec private CommandSpec spec;

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  @Command(
      name = "check",
      description = "Says what a running balancer would say to these files in place of its own.")
  int check(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files) {
    StandaloneConfig read = AdminRequests.readConfig(spec, config);
    if (read == null) {
      return 1;
    }
    MembersCheck.Report report =
        MembersCheck.check(read.members(), files, System.currentTimeMillis());
    report.faults().forEach(out()::println);
    report.lines().forEach(out()::println);
    return report.acceptable() ? 0 : 1;
  }

  @Command(
      name = "seal",
      description = "Writes a file's last line: how many servers it has, and a digest.")
  int seal(@Parameters(paramLabel = "FILE") Path file) {
    try {
      String text = BoundedFile.decodeUtf8(BoundedFile.read(file, MOST_SEALED_BYTES));
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

  @Command(name = "confirm", description = "Has a list taken that was held back.")
  int confirm(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "VERSION") long version) {
    return ask(config, admin -> admin.post("members/confirm/" + version));
  }

  private int ask(Path config, AdminRequests.Request request) {
    return AdminRequests.sendAndPrint(spec, config, request);
  }
}
