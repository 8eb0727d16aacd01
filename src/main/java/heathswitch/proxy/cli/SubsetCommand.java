package heathswitch.proxy.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands that show which subset of the servers a balancer uses. */
@Command(
    name = "subset",
    description = "Shows which subset of the servers a balancer uses.",
    mixinStandardHelpOptions = true)
final class SubsetCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "show",
      description = "Shows the servers that a running balancer uses, and its plan.")
  int show(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.get("subset"));
  }

  @Command(
      name = "explain",
      description = "Shows which balancers use a server, and for how many calls.")
  int explain(
      @Parameters(paramLabel = "SERVER") String server,
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(
        spec, config, admin -> admin.get("subset/" + AdminRequests.urlEncode(server)));
  }
}
