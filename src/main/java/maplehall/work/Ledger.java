package maplehall.work;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import maplehall.agreement.Replica;
import meadowtrack.work.Command;
import meadowtrack.work.Form;
import meadowtrack.work.Reply;
import meadowtrack.work.Settled;

/** What is settled, as this instance has taken it from the log; for any thread. */
final class Ledger implements Replica {
  /** How entries are written. An instance that meets a later one stops rather than guess. */
  static final int FORMAT = 1;

  private final Consumer<List<Settled.Away>> news;
  private Settled settled = new Settled();
  private long toldChanges = -1;

  /**
   * An empty one.
   *
   * @param news told, on the log's thread, of every machine that an order has a hand on whenever
   *     that changes; must return at once
   */
  Ledger(Consumer<List<Settled.Away>> news) {
    this.news = news;
  }

  static byte[] bytes(Command command) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("format", FORMAT);
    tree.putAll(Form.of(command));
    return json(tree);
  }

  private static byte[] json(Object tree) {
    try {
      return JSON.std.asBytes(tree);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<String, Object> tree(byte[] json) {
    try {
      return JSON.std.mapFrom(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Reply reply(byte[] json) {
    Map<String, Object> tree = tree(json);
    return new Reply(
        (Boolean) tree.get("ok"),
        ((Number) tree.get("order")).longValue(),
        (String) tree.get("message"));
  }

  @Override
  public byte[] take(long index, long stampMillis, byte[] entry) {
    Map<String, Object> tree = tree(entry);
    if (!(tree.get("format") instanceof Number format) || format.intValue() != FORMAT) {
      throw new IllegalArgumentException(
          "entry " + index + " is of the format " + tree.get("format") + ", not " + FORMAT);
    }
    Command command = Form.command(tree);
    Reply reply;
    synchronized (this) {
      reply = settled.apply(index, stampMillis, command);
      tell();
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("ok", reply.ok());
    answer.put("order", reply.order());
    answer.put("message", reply.message());
    return json(answer);
  }

  private void tell() {
    if (settled.changes() != toldChanges) {
      toldChanges = settled.changes();
      news.accept(settled.away());
    }
  }

  @Override
  public synchronized byte[] save() {
    return json(settled.save());
  }

  @Override
  public synchronized void load(byte[] saved) {
    settled = Settled.load(tree(saved));
    toldChanges = -1;
    tell();
  }

  /** Asks what is settled now. */
  synchronized <T> T ask(Function<Settled, T> question) {
    return question.apply(settled);
  }

  /** A digest of all that is settled: the same on instances that have taken the same entries. */
  synchronized String picture() {
    return new String(json(settled.save()), StandardCharsets.UTF_8);
  }
}
