package heathswitch.proxy.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.standalone.StandaloneConfig;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;

/** Helpers for the commands that send a request to the admin listener of a running balancer. */
final class AdminRequests {
  /** One request to the admin listener. */
  interface Request {
    AdminClient.Answer sendTo(AdminClient admin) throws IOException;
  }

  private AdminRequests() {}

  /** Reads the configuration; prints its faults and returns null if it is unusable. */
  static StandaloneConfig readConfig(CommandSpec spec, Path file) {
    StandaloneConfig.Result result = StandaloneConfig.read(file);
    result.errors().forEach(fault -> spec.commandLine().getErr().println(fault));
    return result.config();
  }

  /** Encodes text for a path segment or a query parameter. */
  static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /** Sends the request and prints the answer; returns the exit code. */
  static int sendAndPrint(CommandSpec spec, Path config, Request request) {
    StandaloneConfig parsed = readConfig(spec, config);
    if (parsed == null) {
      return 1;
    }
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    if (parsed.admin() == null) {
      err.println(
          config + ": the table [admin] is missing, so requests cannot be sent to the balancer");
      return 1;
    }
    try {
      AdminClient.Answer answer = request.sendTo(new AdminClient(parsed.admin().listen()));
      JSON pretty = JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT);
      (answer.status() == 200 ? out : err).println(pretty.asString(answer.body()));
      return answer.status() == 200 ? 0 : 1;
    } catch (IOException e) {
      err.println(parsed.admin().listen() + " does not answer: " + e.getMessage());
      return 1;
    }
  }
}
