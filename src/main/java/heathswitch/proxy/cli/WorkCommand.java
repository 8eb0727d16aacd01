package heathswitch.proxy.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.maintenance.VoterFolder;
import heathswitch.proxy.standalone.StandaloneConfig;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The commands that request, follow and finish maintenance orders, and manage voters. */
@Command(
    name = "work",
    description = {
      "Takes machines out for maintenance: requests, follows and finishes orders.",
      "Exit codes: 0 done, 1 no usable answer, 3 refused, 4 will not go out any more."
    },
    mixinStandardHelpOptions = true)
final class WorkCommand {
  static final int REFUSED = 3;
  static final int WILL_NOT_GO_OUT = 4;
  private static final long POLL_MILLIS = 100;

  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "CONFIG",
      scope = ScopeType.INHERIT,
      description =
          "Configuration of the balancer that receives the request; any instance will do.")
  private Path config;

  @Option(
      names = "--json",
      scope = ScopeType.INHERIT,
      description = "Prints the JSON answers of the admin listener.")
  private boolean json;

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  @Command(
      name = "init",
      description = "Creates the folder of a voter: once, for a new installation.")
  int init() {
    StandaloneConfig parsed = AdminRequests.readConfig(spec, config);
    if (parsed == null || parsed.maintenance() == null) {
      err().println(config + ": no usable table [work]");
      return 1;
    }
    try {
      boolean created = VoterFolder.create(parsed.maintenance());
      out().println(parsed.maintenance().folder() + (created ? " created" : " exists already"));
      return 0;
    } catch (IOException e) {
      err().println(parsed.maintenance().folder() + ": " + e.getMessage());
      return 1;
    }
  }

  @Command(
      name = "request",
      description = "Requests machines; repeating the same request makes no second order.")
  int request(
      @Option(names = "--machine", paramLabel = "ID") List<String> machines,
      @Option(names = "--balancer", paramLabel = "INSTANCE") List<String> balancers,
      @Option(names = "--kind", defaultValue = "") String kind,
      @Option(names = "--zone", defaultValue = "") String zone,
      @Option(names = "--cell", defaultValue = "") String cell,
      @Option(names = "--for", defaultValue = "PT1H", description = "ISO 8601, such as PT2H30M")
          Duration duration,
      @Option(names = "--at-once", defaultValue = "1") int atOnce,
      @Option(names = "--after", defaultValue = "0", paramLabel = "ORDER") long after,
      @Option(names = "--not-before", defaultValue = "PT0S", description = "from now")
          Duration notBefore,
      @Option(names = "--not-after", defaultValue = "PT0S", description = "from now")
          Duration notAfter,
      @Option(names = "--urgent") boolean urgent,
      @Option(names = "--why", required = true) String why,
      @Option(names = "--who", defaultValue = "${sys:user.name}") String who,
      @Option(names = "--key", defaultValue = "", description = "identifies this request")
          String key,
      @Option(names = "--wait", description = "Returns when the machines are out.") boolean wait)
      throws InterruptedException {
    List<String> ids = machines == null ? List.of() : machines;
    List<String> instances = balancers == null ? List.of() : balancers;
    String requestKey =
        key.isEmpty()
            ? String.join(
                "|", who, why, kind, zone, cell, String.join(",", ids), String.join(",", instances))
            : key;
    StringBuilder path =
        new StringBuilder("work/ask?key=").append(AdminRequests.urlEncode(requestKey));
    instances.forEach(each -> path.append("&balancer=").append(AdminRequests.urlEncode(each)));
    ids.forEach(id -> path.append("&machine=").append(AdminRequests.urlEncode(id)));
    path.append("&kind=").append(AdminRequests.urlEncode(kind));
    path.append("&zone=").append(AdminRequests.urlEncode(zone));
    path.append("&cell=").append(AdminRequests.urlEncode(cell));
    path.append("&who=").append(AdminRequests.urlEncode(who));
    path.append("&why=").append(AdminRequests.urlEncode(why));
    path.append("&urgent=").append(urgent);
    path.append("&at_once=").append(atOnce);
    path.append("&for_ms=").append(duration.toMillis());
    path.append("&after=").append(after);
    path.append("&not_before_ms=").append(notBefore.toMillis());
    path.append("&not_after_ms=").append(notAfter.toMillis());
    AdminClient.Answer answer = send(admin -> admin.post(path.toString()));
    if (answer == null || answer.status() != 200) {
      return printResult(answer);
    }
    long order = ((Number) answer.body().get("order")).longValue();
    out().println(json ? text(answer) : "order " + order + " " + answer.body().get("message"));
    out().flush();
    return wait ? waitFor(order) : 0;
  }

  /** Waits until as many machines are out as may be out at once, or no more will go out. */
  private int waitFor(long order) throws InterruptedException {
    boolean unreachable = false;
    while (true) {
      AdminClient.Answer answer =
          unreachable ? orderPageOrNull(order) : send(admin -> admin.get("work/" + order));
      unreachable = answer == null; // The error is printed only once.
      if (answer != null && answer.status() == 200) {
        Map<?, ?> phases = (Map<?, ?>) answer.body().get("phases");
        long out = count(phases, "out");
        long pending = count(phases, "waiting") + count(phases, "emptying");
        long atOnce = ((Number) answer.body().get("at_once")).longValue();
        if (out > 0 && (out >= atOnce || pending == 0)) {
          out().println(json ? text(answer) : "order " + order + " is out");
          return 0;
        }
        if (out + pending == 0) {
          err().println("order " + order + " will not go out any more");
          return WILL_NOT_GO_OUT;
        }
      }
      Thread.sleep(POLL_MILLIS); // A balancer that is restarting will answer again.
    }
  }

  /** An order's page, or null without an error message. */
  private AdminClient.Answer orderPageOrNull(long order) {
    try {
      return new AdminClient(StandaloneConfig.read(config).config().admin().listen())
          .get("work/" + order);
    } catch (IOException e) {
      return null;
    }
  }

  private static long count(Map<?, ?> phases, String phase) {
    return phases.get(phase) instanceof Number number ? number.longValue() : 0;
  }

  @Command(name = "list", description = "Shows all orders and instances.")
  int list() {
    AdminClient.Answer answer = send(admin -> admin.get("work"));
    if (json || answer == null || answer.status() != 200) {
      return printResult(answer);
    }
    Map<String, Object> page = answer.body();
    out().println("entry " + page.get("entry") + ", " + page.get("leader") + " leads");
    String trouble = String.valueOf(page.getOrDefault("trouble", ""));
    if (!trouble.isEmpty()) {
      out().println("here: " + trouble);
    }
    for (Object each : (List<?>) page.get("instances")) {
      Map<?, ?> row = (Map<?, ?>) each;
      String fenced = Boolean.TRUE.equals(row.get("fenced")) ? "  fenced" : "";
      out()
          .printf(
              "%-16s last heard %s ms ago%s%n", row.get("name"), row.get("heard_ms_ago"), fenced);
    }
    for (Object each : (List<?>) page.get("orders")) {
      Map<?, ?> row = (Map<?, ?>) each;
      out()
          .printf(
              "order %-5s %-40s %s: %s%s%n",
              row.get("order"),
              row.get("phases"),
              row.get("who"),
              row.get("why"),
              Integer.valueOf(0).equals(row.get("wanted_back"))
                  ? ""
                  : "  " + row.get("wanted_back") + " wanted back");
    }
    return 0;
  }

  @Command(
      name = "show",
      aliases = "explain",
      description = "Shows the phase of each machine of an order, and what it waits for.")
  int show(@Parameters(paramLabel = "ORDER") long order) {
    AdminClient.Answer answer = send(admin -> admin.get("work/" + order));
    if (json || answer == null || answer.status() != 200) {
      return printResult(answer);
    }
    printOrder(answer.body());
    return 0;
  }

  private void printOrder(Map<String, Object> page) {
    out().println("order " + page.get("order") + " of " + page.get("who") + ": " + page.get("why"));
    for (Object each : (List<?>) page.get("standings")) {
      Map<?, ?> row = (Map<?, ?>) each;
      out()
          .printf(
              "%-20s %-10s for %s ms  %s%n",
              row.get("machine"), row.get("phase"), row.get("since_ms"), row.get("waits_for"));
    }
    out().flush();
  }

  @Command(
      name = "watch",
      description = "Shows an order each time the phase of one of its machines changes.")
  int watch(@Parameters(paramLabel = "ORDER") long order) throws InterruptedException {
    Object previous = null;
    while (true) {
      AdminClient.Answer answer = send(admin -> admin.get("work/" + order));
      if (answer == null || answer.status() != 200) {
        return printResult(answer);
      }
      Map<?, ?> phases = (Map<?, ?>) answer.body().get("phases");
      if (!phases.equals(previous)) {
        previous = phases;
        if (json) {
          out().println(text(answer));
          out().flush();
        } else {
          printOrder(answer.body());
        }
      }
      long ended = count(phases, "done") + count(phases, "abandoned");
      if (ended == ((Number) answer.body().get("machines")).longValue()) {
        return 0;
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  @Command(
      name = "done",
      description = "Ends the work and returns machines to service: all that are out, or one.")
  int done(
      @Parameters(paramLabel = "ORDER") long order,
      @Parameters(paramLabel = "MACHINE", arity = "0..1") String machine) {
    String machinePath = machine == null ? "" : "/" + AdminRequests.urlEncode(machine);
    return printResult(send(admin -> admin.post("work/done/" + order + machinePath)));
  }

  @Command(name = "extend", description = "Extends the time for which the machines are out.")
  int extend(
      @Parameters(paramLabel = "ORDER") long order,
      @Parameters(paramLabel = "TIME", description = "ISO 8601, such as PT30M") Duration by) {
    return printResult(send(admin -> admin.post("work/extend/" + order + '/' + by.toMillis())));
  }

  @Command(
      name = "cancel",
      description = "Cancels an order: machines that are not out yet will not go out.")
  int cancel(@Parameters(paramLabel = "ORDER") long order) {
    return printResult(send(admin -> admin.post("work/cancel/" + order)));
  }

  @Command(
      name = "vote",
      description = "Makes an instance a voter, or with --no a listener; one at a time.")
  int vote(
      @Parameters(paramLabel = "INSTANCE") String instance,
      @Option(names = "--no", description = "Removes the instance from the voters.") boolean no) {
    String path = (no ? "work/unvote/" : "work/vote/") + AdminRequests.urlEncode(instance);
    return printResult(send(admin -> admin.post(path)));
  }

  @Command(
      name = "fence",
      description = "States that an instance does not run: orders no longer wait for it.")
  int fence(
      @Parameters(paramLabel = "INSTANCE") String instance,
      @Option(names = "--forget", description = "Also removes the instance: it will not come back.")
          boolean forget) {
    String path = (forget ? "work/forget/" : "work/fence/") + AdminRequests.urlEncode(instance);
    return printResult(send(admin -> admin.post(path)));
  }

  private static String text(AdminClient.Answer answer) {
    try {
      return JSON.std.asString(answer.body());
    } catch (IOException e) {
      return String.valueOf(answer.body());
    }
  }

  /** Sends the request; prints the reason and returns null if there is no answer. */
  private AdminClient.Answer send(AdminRequests.Request request) {
    StandaloneConfig parsed = AdminRequests.readConfig(spec, config);
    if (parsed == null) {
      return null;
    }
    if (parsed.admin() == null || parsed.maintenance() == null) {
      err().println(config + ": the tables [admin] and [work] are both needed");
      return null;
    }
    try {
      return request.sendTo(new AdminClient(parsed.admin().listen()));
    } catch (IOException e) {
      err().println(parsed.admin().listen() + " does not answer: " + e.getMessage());
      return null;
    }
  }

  private int printResult(AdminClient.Answer answer) {
    if (answer == null) {
      return 1;
    }
    if (answer.status() == 200) {
      out().println(text(answer));
      return 0;
    }
    err().println(json ? text(answer) : String.valueOf(answer.body().get("error")));
    return answer.status() == 409 ? REFUSED : 1;
  }
}
