package heathswitch.policy.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonEOFException;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads batches of events token by token and passes each event to its instance. */
final class WireReader {
  /** Lists that the input can define; each has a number, its sheet. */
  private static final int LIST_SLOTS = 16;

  private final JsonParser parser;
  private final WireWriter out;
  private final PrintStream err;
  private final Map<String, Instance> instances = new HashMap<>();
  private final List<List<ServerEntry>> lists = new ArrayList<>();
  private long nowNanos;
  private boolean inBatch;
  private String currentInstance;

  WireReader(InputStream in, OutputStream out, PrintStream err) throws IOException {
    this.parser = new JsonFactory().createParser(in);
    this.out = new WireWriter(out);
    this.err = err;
    for (int i = 0; i < LIST_SLOTS; i++) {
      lists.add(null);
    }
  }

  /** Processes the input to its end. */
  void run() throws IOException, ProtocolException {
    try {
      while (parser.nextToken() != null) {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "a message, as an array");
        message(text("the message's name"));
      }
    } catch (JsonEOFException e) {
      throw new ProtocolException(line(), "the input ends inside a message");
    } catch (JsonParseException e) {
      throw new ProtocolException(
          e.getLocation().getLineNr(), "JSON expected: " + e.getOriginalMessage());
    }
    if (inBatch) {
      throw new ProtocolException(line(), "COMMIT expected, but the input ends inside a batch");
    }
  }

  private void message(String name) throws IOException, ProtocolException {
    if (name.equals("BEGIN_BATCH")) {
      check(!inBatch, "COMMIT expected before another BEGIN_BATCH");
      nowNanos = number("the clock");
      end();
      inBatch = true;
      return;
    }
    check(inBatch, "BEGIN_BATCH expected, not " + name);
    switch (name) {
      case "COMMIT" -> commit();
      case "ROSTER" -> roster();
      case "CREATE" -> create();
      case "POWER_OFF" -> {
        String id = text("balancer_id");
        end();
        check(instances.remove(id) != null, "a running instance expected, not " + id);
      }
      case "ANNOUNCE" -> announce(instance());
      case "QUERY" -> query(instance());
      case "OPENED" -> opened(instance());
      case "RESPONSE" -> response(instance());
      case "HANGUP" -> hangup(instance());
      case "WAKE" -> wake(instance());
      case "PING_RESULT" -> pingResult(instance());
      case "PEER" -> peer(instance());
      default -> throw error("an event name expected, not " + name);
    }
  }

  private void commit() throws IOException, ProtocolException {
    end();
    inBatch = false;
    out.endReply();
    out.flush();
  }

  private void roster() throws IOException, ProtocolException {
    long slot = number("sheet");
    check(slot >= 0 && slot < LIST_SLOTS, "a sheet from 0 to 15 expected, not " + slot);
    expect(parser.nextToken(), JsonToken.START_ARRAY, "members_list as an array");
    List<ServerEntry> entries = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      expect(parser.currentToken(), JsonToken.START_ARRAY, "an entry as an array");
      entries.add(entry());
    }
    end();
    lists.set((int) slot, entries);
  }

  private ServerEntry entry() throws IOException, ProtocolException {
    long id = number("upstream");
    String zone = text("zone");
    String kind = text("family_type");
    long cell = number("cohort");
    Health health = health(text("health"));
    double weight = decimal("power_hint");
    long startedNanos = numberOr("came_up_ns", 0);
    end();
    return new ServerEntry(id, zone, kind, cell, health, weight, startedNanos);
  }

  private Health health(String word) throws ProtocolException {
    return switch (word == null ? "" : word) {
      case "on" -> Health.READY;
      case "fading" -> Health.DRAINING;
      case "off" -> Health.GONE;
      default -> throw error("health on, fading or off expected, not " + word);
    };
  }

  private void create() throws IOException, ProtocolException {
    String id = text("balancer_id");
    long seed = number("seed");
    expect(parser.nextToken(), JsonToken.START_OBJECT, "env as an object");
    Map<String, Object> env = object();
    end();
    check(id != null && !instances.containsKey(id), "a new instance expected, not " + id);
    currentInstance = id;
    runOrReportFault(
        () -> {
          Settings settings = SettingsReader.read(env);
          Instance instance = new Instance(id, settings, seed, out);
          instances.put(id, instance);
          instance.balancer.start(nowNanos);
        });
  }

  private void announce(Instance instance) throws IOException, ProtocolException {
    ListUpdate update = listUpdate(text("form"));
    numberOr("generation", 0);
    long slot = numberOr("sheet", 0);
    end();
    List<ServerEntry> entries = List.of();
    if (update != ListUpdate.FAILED) {
      check(slot >= 0 && slot < LIST_SLOTS, "a sheet from 0 to 15 expected, not " + slot);
      entries = lists.get((int) slot);
      check(entries != null, "a defined sheet expected, not " + slot);
    }
    List<ServerEntry> listed = entries;
    runOrReportFault(() -> instance.balancer.onListUpdate(nowNanos, update, listed));
  }

  private ListUpdate listUpdate(String word) throws ProtocolException {
    return switch (word == null ? "" : word) {
      case "patch" -> ListUpdate.DELTA;
      case "whole" -> ListUpdate.FULL;
      case "stale_copy" -> ListUpdate.STALE_FULL;
      case "broken" -> ListUpdate.FAILED;
      default -> throw error("form patch, whole, stale_copy or broken expected, not " + word);
    };
  }

  private void query(Instance instance) throws IOException, ProtocolException {
    long requestId = number("rid");
    String className = text("profile");
    String tenant = text("team");
    text("affinity");
    long ttlNanos = number("ttl_ns");
    numberOr("expected_ns", 0);
    boolean repeat = bool("repeat");
    bool("is_write");
    end();
    runOrReportFault(
        () ->
            instance.balancer.onRequest(
                nowNanos, requestId, className, tenant, ttlNanos, repeat, RequestProtocol.HTTP1));
  }

  private void opened(Instance instance) throws IOException, ProtocolException {
    long requestId = number("rid");
    long tookNanos = number("took_ns");
    int attempt = (int) number("shot");
    number("upstream");
    end();
    runOrReportFault(
        () -> instance.balancer.onAnswerBegun(nowNanos, requestId, attempt, tookNanos));
  }

  private void response(Instance instance) throws IOException, ProtocolException {
    long requestId = number("rid");
    int attempt = (int) number("shot");
    number("upstream");
    Outcome outcome = outcome(number("reason"));
    long tookNanos = number("took_ns");
    boolean terminal = bool("terminal");
    pressure();
    end();
    runOrReportFault(
        () ->
            instance.balancer.onOutcome(
                nowNanos, requestId, attempt, outcome, tookNanos, terminal));
  }

  private void hangup(Instance instance) throws IOException, ProtocolException {
    long requestId = number("rid");
    end();
    runOrReportFault(() -> instance.balancer.onClientGone(nowNanos, requestId));
  }

  private void wake(Instance instance) throws IOException, ProtocolException {
    long token = number("handle");
    end();
    runOrReportFault(() -> instance.balancer.onTimer(nowNanos, token));
  }

  /** Balancers send no probes; a result is only checked for validity. */
  private void pingResult(Instance instance) throws IOException, ProtocolException {
    number("took_ns");
    number("reason");
    number("upstream");
    pressure();
    end();
  }

  /** Balancers send no messages to peers; a message is only checked for validity. */
  private void peer(Instance instance) throws IOException, ProtocolException {
    number("by");
    text("raw");
    end();
  }

  private static Outcome outcome(long code) {
    return switch ((int) code) {
      case 200 -> Outcome.OK;
      case 500 -> Outcome.ERROR;
      case 503 -> Outcome.REFUSED;
      case 504 -> Outcome.TIMEOUT;
      case 502 -> Outcome.CONNECT_FAILED;
      case 598 -> Outcome.RESET;
      case 499 -> Outcome.CANCELLED;
      case 410 -> Outcome.MOOT;
      default -> Outcome.UNKNOWN;
    };
  }

  /** Runs a decision; if it throws, reports a fault in place of its actions. */
  private void runOrReportFault(Runnable decision) {
    int mark = out.mark();
    try {
      decision.run();
    } catch (RuntimeException e) {
      out.truncate(mark);
      e.printStackTrace(err);
      Instance.fault(currentInstance, e.toString(), out);
    }
  }

  // ---- values ----

  private Instance instance() throws IOException, ProtocolException {
    currentInstance = text("balancer_id");
    Instance instance = instances.get(currentInstance);
    if (instance == null) {
      throw error("a running instance expected, not " + currentInstance);
    }
    return instance;
  }

  private long number(String what) throws IOException, ProtocolException {
    expect(parser.nextToken(), JsonToken.VALUE_NUMBER_INT, what + " as a whole number");
    return wholeValue(what);
  }

  private long numberOr(String what, long defaultValue) throws IOException, ProtocolException {
    if (parser.nextToken() == JsonToken.VALUE_NULL) {
      return defaultValue;
    }
    expect(parser.currentToken(), JsonToken.VALUE_NUMBER_INT, what + " as a whole number or null");
    return wholeValue(what);
  }

  private long wholeValue(String what) throws IOException, ProtocolException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      // A seed may exceed the range of a long; its low 64 bits are used.
      check(what.equals("seed"), what + " expected below 2^63");
      return parser.getBigIntegerValue().longValue();
    }
    return parser.getLongValue();
  }

  private double decimal(String what) throws IOException, ProtocolException {
    JsonToken token = parser.nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return 1;
    }
    check(token != null && token.isNumeric(), what + " as a number expected");
    return parser.getDoubleValue();
  }

  /** Text, or null for an absent value. A site without tenants sends 0 as the tenant. */
  private String text(String what) throws IOException, ProtocolException {
    JsonToken token = parser.nextToken();
    if (token == JsonToken.VALUE_NULL || (what.equals("team") && isNumber(token))) {
      return null;
    }
    expect(token, JsonToken.VALUE_STRING, what + " as text");
    return parser.getText();
  }

  private static boolean isNumber(JsonToken token) {
    return token == JsonToken.VALUE_NUMBER_INT;
  }

  private boolean bool(String what) throws IOException, ProtocolException {
    JsonToken token = parser.nextToken();
    if (token == JsonToken.VALUE_NULL) {
      return false;
    }
    check(token != null && token.isBoolean(), what + " as true or false expected");
    return token == JsonToken.VALUE_TRUE;
  }

  private void pressure() throws IOException, ProtocolException {
    JsonToken token = parser.nextToken();
    check(
        token == JsonToken.VALUE_NULL || (token != null && token.isStructStart()),
        "pressure as an object, pairs or null expected");
    parser.skipChildren();
  }

  private void end() throws IOException, ProtocolException {
    expect(parser.nextToken(), JsonToken.END_ARRAY, "the end of the message");
  }

  private Map<String, Object> object() throws IOException {
    Map<String, Object> map = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      parser.nextToken();
      map.put(key, value());
    }
    return map;
  }

  private Object value() throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object();
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          list.add(value());
        }
        yield list;
      }
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> null;
    };
  }

  private void expect(JsonToken token, JsonToken expected, String what) throws ProtocolException {
    check(token == expected, what + " expected");
  }

  private void check(boolean holds, String message) throws ProtocolException {
    if (!holds) {
      throw error(message);
    }
  }

  private ProtocolException error(String message) {
    return new ProtocolException(line(), message);
  }

  private int line() {
    return parser.currentLocation().getLineNr();
  }
}
