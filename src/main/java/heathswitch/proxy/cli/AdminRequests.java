package heathswitch.proxy.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.standalone.StandaloneConfig;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;

/** What every command does that asks a running balancer. */
final class AdminRequests {
  /** One request to the admin listener. */
  interface Request {
    AdminClient.Answer sendTo(AdminClient admin) throws IOException;
  }

  private AdminRequests() {}

  /** The configuration, or null with its faults told. */
  static StandaloneConfig readConfig(CommandSpec spec, Path file) {
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    result.errors().forEach(fault -> spec.commandLine().getErr().println(fault));
    return result.config();
  }

  /** As it stands in a path or behind a request mark. */
  static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /** Asks, and shows the answer; the exit code. */
  static int sendAndPrint(CommandSpec spec, Path config, Request request) {
    StandaloneConfig read = readConfig(spec, config);
    if (read == null) {
      return 1;
    }
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    if (read.admin() == null) {
      err.println(config + ": the table [admin] is missing, so no balancer can be asked");
      return 1;
    }
    try {
      AdminClient.Answer answer = request.sendTo(new AdminClient(read.admin().listen()));
      JSON pretty = JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT);
      (answer.status() == 200 ? out : err).println(pretty.asString(answer.body()));
      return answer.status() == 200 ? 0 : 1;
    } catch (IOException e) {
      err.println(read.admin().listen() + " does not answer: " + e.getMessage());
      return 1;
    }
  }
}
