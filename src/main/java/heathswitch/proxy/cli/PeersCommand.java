package heathswitch.proxy.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Base64;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands that show and manage the membership of the balancers. */
@Command(
    name = "peers",
    description = "Shows and manages the membership of the balancers.",
    mixinStandardHelpOptions = true)
final class PeersCommand {
  private static final int SECRET_BYTES = 32;

  @Spec private CommandSpec spec;

  @Command(
      name = "list",
      description = "Shows the state of all balancers, as seen by a running one.")
  int list(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.get("peers"));
  }

  @Command(
      name = "leave",
      description =
          "Announces to the other balancers that one leaves; it keeps serving on its own.")
  int leave(@Option(names = "--config", required = true, paramLabel = "CONFIG") Path config) {
    return AdminRequests.sendAndPrint(spec, config, admin -> admin.post("peers/leave"));
  }

  @Command(name = "key", description = "Prints a line for the key file, with a new secret.")
  int key(@Parameters(paramLabel = "ID") String id) {
    if (!id.matches("[A-Za-z0-9_.-]{1,16}")) {
      spec.commandLine().getErr().println("the ID must be 1 to 16 characters of A-Z a-z 0-9 . _ -");
      return 1;
    }
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    spec.commandLine().getOut().println(id + ' ' + Base64.getEncoder().encodeToString(secret));
    return 0;
  }
}
