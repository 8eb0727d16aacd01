package heathswitch.proxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.api.parallel.Resources;

/** Runs the command line in this process and checks its output and exit codes. */
@ResourceLock(Resources.SYSTEM_OUT)
class CommandsTest {
  @TempDir Path folder;

  private record Result(int code, String text) {}

  private static Result run(Object... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream captured = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    System.setOut(captured);
    System.setErr(captured);
    try {
      String[] arguments = new String[args.length];
      for (int i = 0; i < args.length; i++) {
        arguments[i] = args[i].toString();
      }
      int code = Commands.run(arguments);
      return new Result(code, bytes.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  private Path example(String from, String to) throws Exception {
    String text = Files.readString(Path.of("deploy/example.toml"));
    assertTrue(text.contains(from), from);
    Files.copy(
        Path.of("deploy/example-members.txt"),
        folder.resolve("example-members.txt"),
        StandardCopyOption.REPLACE_EXISTING);
    return Files.writeString(
        folder.resolve("c.toml"),
        text.replace("../target/example-state", "state").replace(from, to));
  }

  /** An order would wait for ever if the capacity floor left no room for taking a server out. */
  @Test
  void checkReportsFloorsThatTheServerListCannotMeet() throws Exception {
    String work =
        """
        [admin]
        listen = "127.0.0.1:9401"
        [work]
        instance = "a"
        listen = "127.0.0.1:9501"
        folder = "work"
        when_cut_off = "stop"
        [[work.floor]]
        kind = "front"
        least = %s
        [[work.peer]]
        name = "a"
        address = "127.0.0.1:9501"
        votes = true
        [[work.peer]]
        name = "b"
        address = "127.0.0.1:9502"
        votes = true
        [[work.peer]]
        name = "c"
        address = "127.0.0.1:9503"
        votes = true
        """;
    Path config = example("", "");
    String text = Files.readString(config).replaceAll("(?s)\\[admin].*?(?=\\n\\[|$)", "");
    Files.writeString(config, text + work.formatted("0.1"));
    assertEquals(0, run("check", config).code(), run("check", config)::text);
    Files.writeString(config, text + work.formatted("0.6"));
    Result partly = run("check", config);
    assertEquals(0, partly.code(), partly.text());
    assertTrue(partly.text().contains("front-4 could never go"), partly.text());
    assertFalse(partly.text().contains("rules.lease"), "4 s are enough: " + partly.text());
    String shortLease = work.formatted("0.1") + "[work.rules]\nlease = \"2s\"\n";
    Files.writeString(config, text + shortLease);
    assertTrue(run("check", config).text().contains("work.rules.lease: 2000 ms"), "a short lease");
    Files.writeString(config, text + work.formatted("0.99"));
    Result unsatisfiable = run("check", config);
    assertEquals(1, unsatisfiable.code(), unsatisfiable.text());
    assertTrue(
        unsatisfiable.text().contains("none of its servers could ever go"), unsatisfiable.text());
    Files.writeString(config, text + work.formatted("0.1").replace("front", "fornt"));
    Result typo = run("check", config);
    assertEquals(1, typo.code(), typo.text());
    assertTrue(typo.text().contains("fornt in zone *: no server of the list"), typo.text());
  }

  @Test
  void checkAcceptsTheExampleConfig() throws Exception {
    Path config = example("", "");
    Result result = run("check", config);
    assertEquals(0, result.code(), result.text());
    assertTrue(result.text().contains("would be accepted as version 1"), result.text());
    assertTrue(result.text().endsWith(config + ": ok\n"), result.text());
  }

  @Test
  void checkReportsEveryFault() throws Exception {
    Path config = example("worth = 1.0\n", "wroth = 1.0\n");
    Files.writeString(
        config,
        Files.readString(config)
            .replace("127.0.0.1:9900", "10.0.0.1:9900")
            .replace("least_weight = 0.01", "least_weight = 200")
            .replace("deadline = \"6s\"", "deadline = \"6ms\""));
    Result result = run("check", config);
    assertEquals(1, result.code());
    String text = result.text().replace(config.toString(), "c");
    assertTrue(text.contains(": class[0].wroth: is not known (did you mean worth?)"), text);
    assertTrue(text.contains(": class[1].deadline: is under aim; at least as long"), text);
    assertTrue(text.contains(": admin.listen: is no loopback address"), text);
    assertTrue(text.contains(": members.least_weight: is over most_weight"), text);
    assertEquals(5, text.lines().filter(line -> line.matches("c:\\d+:\\d+: .*")).count(), text);
  }

  @Test
  void checkAndServeRejectAnInvalidServerList() throws Exception {
    Path config = example("", "");
    Path members = folder.resolve("example-members.txt");
    Files.writeString(members, Files.readString(members).replace("end 4", "end 5"));
    Result result = run("check", config);
    assertEquals(1, result.code());
    assertTrue(
        result.text().startsWith(members + ":7:5: end: states 5 servers but 4 are listed above"),
        result.text());
    Result serve = run("serve", "--config", config);
    assertEquals(1, serve.code());
    assertTrue(serve.text().contains("no list of servers to start with"), serve.text());
  }

  @Test
  void serveReportsMissingTables() throws Exception {
    Path config = Files.writeString(folder.resolve("c.toml"), "");
    Result result = run("serve", "--config", config);
    assertEquals(1, result.code());
    assertEquals(
        """
        c:1:1: balancer: missing; a table [balancer] expected
        c:1:1: class: missing; at least one table [[class]] expected
        c:1:1: members: missing; a table [members] that names the files is expected
        """,
        result.text().replace(config.toString(), "c"));
  }

  @Test
  void membersCheckValidatesTheGivenFileInsteadOfTheConfiguredOne() throws Exception {
    Path config = example("", "");
    Path other = folder.resolve("other.txt");
    Files.writeString(other, "x 127.0.0.1:1 a k 0 NaN in_service\nend 1\n");
    Result result = run("members", "check", "--config", config, other);
    assertEquals(1, result.code());
    assertTrue(
        result
            .text()
            .contains(other + ":1: x has weight NaN; a weight from 0.01 to 100 is expected"),
        result.text());
  }

  @Test
  void sealedFilePassesMembersCheck() throws Exception {
    Path file = Files.writeString(folder.resolve("m"), "x 127.0.0.1:1 a k 0 1 in_service\n");
    assertEquals(0, run("members", "seal", file).code());
    assertTrue(Files.readString(file).matches("x .*\nend 1 sha256:[0-9a-f]{64}\n"));
    assertEquals(0, run("members", "check", "--config", example("", ""), file).code());
  }

  @Test
  void statusReportsAnUnreachableBalancer() throws Exception {
    Path config = example("127.0.0.1:9900", "127.0.0.1:1");
    Result result = run("members", "status", "--config", config);
    assertEquals(1, result.code());
    assertTrue(result.text().contains("127.0.0.1:1 does not answer: "), result.text());
  }

  @Test
  void invalidArgumentsAreAUsageError() {
    assertEquals(2, run("serv").code());
    assertEquals(2, run("serve").code());
    assertEquals(0, run("--help").code());
  }
}
