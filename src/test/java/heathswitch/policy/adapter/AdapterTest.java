package heathswitch.policy.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Replies and error reports of the adapter for batches of events. */
class AdapterTest {
  private static final String SETTINGS =
      "{\"classes\":[{\"name\":\"read\",\"aim_ns\":1000000000,\"hard_limit_ns\":4000000000,"
          + "\"idempotency\":\"read_like\",\"importance\":1.0,\"new_key\":[1,{\"x\":null}]}],"
          + "\"limits\":{\"most_tries\":3,\"may_duplicate\":false,\"cancelling\":true,"
          + "\"max_retry_after_ns\":250000000},\"membership_mode\":\"automatic\",\"tier\":0,"
          + "\"zone\":\"z\",\"replicas_of_me\":1}";
  private static final String BEGIN = "[\"BEGIN_BATCH\",1000]\n";
  private static final String COMMIT = "[\"COMMIT\"]\n";
  private static final String CREATE = "[\"CREATE\",\"balancer_0\",5," + SETTINGS + "]\n";
  private static final String LIST =
      "[\"ROSTER\",3,[[9,\"z\",\"k\",0,\"on\",1,null]]]\n"
          + "[\"ANNOUNCE\",\"balancer_0\",\"stale_copy\",1,3]\n";

  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private int code;

  private String run(String input) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    code =
        Main.run(
            new String[] {"adapter"},
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            out,
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String query(long rid) {
    return "[\"QUERY\",\"balancer_0\","
        + rid
        + ",\"read\",null,null,2000000000,null,false,false]\n";
  }

  @Test
  void repliesToEmptyBatch() {
    assertEquals("[\"NEXT\"]\n", run(BEGIN + COMMIT));
    assertEquals(0, code);
  }

  @Test
  void sendsRequestToListedServer() {
    assertEquals(
        "[\"FORWARD\",\"balancer_0\",4503599627370495,9,0]\n[\"NEXT\"]\n",
        run(BEGIN + CREATE + LIST + query(4503599627370495L) + COMMIT));
  }

  @Test
  void redefinedListReplacesTheEarlierOneInTheSameBatch() {
    String other =
        "[\"ROSTER\",3,[[9,\"z\",\"k\",0,\"off\",1,0],[8,\"z\",\"k\",0,\"on\",1.5,0]]]\n"
            + "[\"ANNOUNCE\",\"balancer_0\",\"patch\",2,3]\n";
    assertEquals(
        "[\"FORWARD\",\"balancer_0\",1,8,0]\n[\"NEXT\"]\n",
        run(BEGIN + CREATE + LIST + other + query(1) + COMMIT));
  }

  @Test
  void recreatedInstanceHasNoState() {
    String again = "[\"POWER_OFF\",\"balancer_0\"]\n" + CREATE;
    assertEquals(
        "[\"NOT_NOW\",\"balancer_0\",1,250000000]\n[\"NEXT\"]\n",
        run(BEGIN + CREATE + LIST + again + query(1) + COMMIT));
  }

  @Test
  void toleratesEventsAfterTheFinalAnswer() {
    String outcomes =
        "[\"RESPONSE\",\"balancer_0\",1,0,9,200,5000,true,{\"busy_reqs\":3}]\n"
            + "[\"RESPONSE\",\"balancer_0\",1,0,9,777,5000,true,null]\n"
            + "[\"HANGUP\",\"balancer_0\",1]\n[\"WAKE\",\"balancer_0\",31]\n"
            + "[\"PING_RESULT\",\"balancer_0\",5,200,9,null]\n"
            + "[\"PEER\",\"balancer_0\",2,\"hi\"]\n[\"OPENED\",\"balancer_0\",1,5,0,9]\n";
    assertEquals(
        "[\"FORWARD\",\"balancer_0\",1,9,0]\n[\"NEXT\"]\n",
        run(BEGIN + CREATE + LIST + query(1) + outcomes + COMMIT));
    assertEquals(0, code);
  }

  private void assertInvalidInput(String input, String expected) {
    assertEquals("", run(input));
    assertEquals(1, code);
    String message = err.toString(StandardCharsets.UTF_8);
    assertTrue(message.contains(expected), message);
    assertEquals(1, message.lines().count(), message);
  }

  @Test
  void malformedJsonIsReportedWithItsLine() {
    assertInvalidInput(BEGIN + "[\"WAKE\",,]\n", "line 2: JSON expected");
  }

  @Test
  void unknownEventIsReportedWithItsLine() {
    assertInvalidInput(BEGIN + CREATE + "[\"JUMP\",\"balancer_0\"]\n", "line 3: an event name");
  }

  @Test
  void unknownInstanceIsAnError() {
    assertInvalidInput(BEGIN + "[\"WAKE\",\"balancer_7\",1]\n", "line 2: a running instance");
  }

  @Test
  void wrongArityAndTypeAreErrors() {
    assertInvalidInput(
        BEGIN + CREATE + "[\"WAKE\",\"balancer_0\"]\n", "line 3: handle as a whole number");
    err.reset();
    assertInvalidInput(
        BEGIN + CREATE + "[\"WAKE\",\"balancer_0\",\"x\"]\n", "line 3: handle as a whole number");
    err.reset();
    assertInvalidInput(
        BEGIN + CREATE + "[\"WAKE\",\"balancer_0\",1,2]\n", "line 3: the end of the message");
  }

  @Test
  void truncatedBatchIsAnError() {
    assertInvalidInput(BEGIN + CREATE, "COMMIT expected");
    err.reset();
    assertInvalidInput(BEGIN + "[\"CREATE\",\"bal", "the input ends");
  }

  @Test
  void invalidSettingsAreReportedAsFault() {
    String reply = run(BEGIN + "[\"CREATE\",\"balancer_0\",5,{}]\n" + COMMIT);
    assertTrue(reply.startsWith("[\"FAULT\",\"balancer_0\",\""), reply);
    assertTrue(reply.contains("invalid setting: classes"), reply);
  }

  @Test
  void wrongCommandLinePrintsTheUsage() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int result =
        Main.run(new String[] {}, new ByteArrayInputStream(new byte[0]), out, new PrintStream(err));
    assertEquals(2, result);
    assertTrue(err.toString(StandardCharsets.UTF_8).startsWith("usage:"));
    assertEquals(0, out.size());
  }

  @Test
  void instancesDoNotInfluenceEachOther() {
    String second = (CREATE + LIST + query(2)).replace("balancer_0", "balancer_1");
    String alone0 = run(BEGIN + CREATE + LIST + query(1) + COMMIT);
    String alone1 = run(BEGIN + second + COMMIT);
    String together = run(BEGIN + CREATE + LIST + query(1) + second + COMMIT);
    assertEquals(alone0.replace("[\"NEXT\"]\n", "") + alone1, together);
  }
}
