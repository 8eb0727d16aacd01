package heathswitch.proxy.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Base64;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Who is there among the balancers. */
@Command(
    name = "peers",
    description = "Who is there among the balancers.",
    mixinStandardHelpOptions = true)
final class PeersCommand {
  private static final int SECRET_BYTES = 32;

  @Spec private CommandSpec spec;

  @Command(name = "list", description = "Shows who is there, as a running balancer sees it.")
  int list(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.get("peers"));
  }

  @Command(
      name = "leave",
      description = "Has the others count a balancer as gone; it goes on serving by itself.")
  int leave(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.post("peers/leave"));
  }

  @Command(name = "key", description = "Prints a line for the file of keys, with a new secret.")
  int key(@Parameters(paramLabel = "ID") String id) {
    if (!id.matches("[A-Za-z0-9_.-]{1,16}")) {
      spec.commandLine().getErr().println("1 to 16 of A-Z a-z 0-9 . _ - expected");
      return 1;
    }
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    spec.commandLine().getOut().println(id + ' ' + Base64.getEncoder().encodeToString(secret));
    return 0;
  }
}
