package heathswitch.proxy.cli;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands that show the gateway to other sites and drain or resume its links. */
@Command(
    name = "gateway",
    description = "Shows the gateway to other sites, drains and resumes its links.",
    mixinStandardHelpOptions = true)
final class GatewayCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "status",
      description = "Shows the links, calls and free capacity of a running balancer's gateway.")
  int status(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.get("gateway"));
  }

  @Command(name = "drain", description = "Stops sending over a link, or over all links to a site.")
  int drain(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "SITE[/ADDRESS:PORT]") String link) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.post("gateway/drain/" + link));
  }

  @Command(name = "resume", description = "Sends over a link, or over all links to a site, again.")
  int resume(
      @Option(names = "--config", required = true, paramLabel = "CONFIG") Path config,
      @Parameters(paramLabel = "SITE[/ADDRESS:PORT]") String link) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.post("gateway/resume/" + link));
  }
}
