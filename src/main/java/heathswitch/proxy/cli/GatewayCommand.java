package heathswitch.proxy.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The gateway to other sites: asked about, its links taken out and put back. */
@Command(
    name = "gateway",
    description = "The gateway to other sites: asked about, its links taken out and put back.",
    mixinStandardHelpOptions = true)
final class GatewayCommand {
  @Spec private CommandSpec spec;

  @Command(name = "status", description = "Shows the links, calls and room of a running balancer.")
  int status(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.get("gateway"));
  }

  @Command(
      name = "drain",
      description = "Sends nothing more over a link, or to any gateway of a site.")
  int drain(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "SITE[/ADDRESS:PORT]") String link) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.post("gateway/drain/" + link));
  }

  @Command(name = "resume", description = "Uses a link, or all links to a site, again.")
  int resume(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "SITE[/ADDRESS:PORT]") String link) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.post("gateway/resume/" + link));
  }
}
