package heathswitch.proxy.members;

import heathswitch.policy.members.Departures;
import heathswitch.policy.members.ListJudge;
import heathswitch.policy.members.ListedServer;
import heathswitch.policy.members.Placed;
import heathswitch.policy.members.Verdict;
import heathswitch.proxy.config.Fault;
import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Follows the files: has each new content judged, keeps what was accepted on disk, and says what is
 * to be told of the servers. All calls come from one thread, and none on the event loop.
 */
final class MembersKeeper implements AutoCloseable {
  /** A start that finds no list at all that it could serve with. */
  static final class NoList extends Exception {
    private static final long serialVersionUID = 1L;

    NoList(String message) {
      super(message);
    }
  }

  static final int MOST_REFUSALS = 16;

  /** A state that could not be written is tried again so long after. */
  private static final long SAVE_AGAIN_MILLIS = 5000;

  private MembersTable table;
  private final ListJudge judge;
  private final Departures departures;
  private final MembersState state;
  private List<WatchedFile> files;
  private final ArrayDeque<MembersStatus.Refusal> refusals = new ArrayDeque<>();
  private String judged = "";
  private List<String> source = List.of();
  private String digest = "";
  private long acceptedMillis;
  private long acceptedTotal;
  private long refusedTotal;
  private long heldMillis;
  private boolean unsaved;
  private long saveAgainMillis;
  private String stateTrouble;
  private long changes;

  MembersKeeper(MembersTable table) {
    this.table = table;
    judge = new ListJudge(table.policy());
    departures = new Departures(table.policy().mostServers());
    state = table.state() == null ? null : new MembersState(table.state());
    files = watch(table);
  }

  private static List<WatchedFile> watch(MembersTable table) {
    return table.files().stream().map(path -> new WatchedFile(path, table.mostBytes())).toList();
  }

  /**
   * The list to start with: that of the files, judged against the one that was kept, or else the
   * kept one.
   */
  List<Departures.News> start(long nowMillis) throws NoList {
    List<String> why = new ArrayList<>();
    if (state != null) {
      takeUp(why);
    }
    for (WatchedFile file : files) {
      file.look(nowMillis, 0);
    }
    if (!(judgeFiles(nowMillis) instanceof Verdict.Accepted) && judge.version() == 0) {
      refusals.forEach(refusal -> why.addAll(refusal.reasons()));
      throw new NoList("no list of servers to start with:\n  " + String.join("\n  ", why));
    }
    keep(nowMillis);
    return departures.begin(judge.current());
  }

  private void takeUp(List<String> why) throws NoList {
    try {
      state.lock();
    } catch (IOException e) {
      throw new NoList("state folder " + table.state() + " " + e.getMessage());
    }
    MembersState.Found found = state.read();
    if (found.damage() != null) {
      why.add(found.damage());
      try {
        Log.warn("members", found.damage() + "; set aside as " + state.setAside());
      } catch (IOException e) {
        stateTrouble = "the damaged state could not be set aside: " + e.getMessage();
        Log.warn("members", stateTrouble);
      }
    } else if (found.kept() != null) {
      MembersState.Kept kept = found.kept();
      judge.restore(kept.version(), kept.number(), kept.list(), kept.joined(), kept.left());
      acceptedMillis = kept.acceptedMillis();
      source = List.of(state.file().toString());
      digest = MembersFormat.digest(judge.current());
    } else {
      why.add(state.file() + " is not there");
    }
  }

  /** Looks at the files once; what is to be told of the servers, which is mostly nothing. */
  List<Departures.News> look(long nowMillis) {
    boolean settled = true;
    for (WatchedFile file : files) {
      settled &= file.look(nowMillis, table.settleMillis());
    }
    List<Departures.News> news = departures.tick(nowMillis);
    changes += news.isEmpty() ? 0 : 1;
    if (settled && !marks().equals(judged)) {
      Verdict verdict = judgeFiles(nowMillis);
      if (verdict instanceof Verdict.Accepted) {
        news = new ArrayList<>(news);
        news.addAll(departures.accept(nowMillis, table.drainMillis(), judge.current()));
      }
    }
    return news;
  }

  /** Takes the list that is held back; null where it was, else why not. */
  Verdict confirm(long nowMillis, long version, List<Departures.News> news) {
    Verdict verdict = judge.confirm(nowMillis, version);
    if (verdict instanceof Verdict.Accepted accepted) {
      accepted(nowMillis, accepted);
      news.addAll(departures.accept(nowMillis, table.drainMillis(), judge.current()));
    }
    return verdict;
  }

  /** Other files or rules from now on; the state folder stays. */
  void reconfigure(MembersTable next) {
    if (!next.files().equals(table.files()) || next.mostBytes() != table.mostBytes()) {
      files = watch(next);
    }
    table = next;
    judge.policy(next.policy());
    judged = "";
  }

  private String marks() {
    StringBuilder marks = new StringBuilder();
    files.forEach(file -> marks.append(file.mark()).append('\n'));
    return marks.toString();
  }

  private Verdict judgeFiles(long nowMillis) {
    judged = marks();
    changes++;
    List<Placed> candidate = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (WatchedFile file : files) {
      for (Fault fault : file.faults()) {
        faults.add(fault.toString());
      }
      if (faults.isEmpty()) {
        candidate.addAll(file.parsed().servers());
      }
    }
    Verdict verdict =
        faults.isEmpty() ? judge.judge(nowMillis, candidate) : new Verdict.Refused(faults);
    if (verdict instanceof Verdict.Accepted accepted) {
      accepted(nowMillis, accepted);
    } else if (verdict instanceof Verdict.Refused refused) {
      refused(nowMillis, refused.reasons());
    } else if (verdict instanceof Verdict.Held held) {
      heldMillis = nowMillis;
      unsaved = true; // Its number must not be given to another list after a restart.
      saveAgainMillis = 0;
      Log.warn(
          "members",
          "version "
              + held.version()
              + " held back until confirmed: "
              + String.join("; ", held.reasons()));
    } else {
      source = names();
    }
    return verdict;
  }

  private void accepted(long nowMillis, Verdict.Accepted accepted) {
    changes++;
    acceptedMillis = nowMillis;
    acceptedTotal++;
    source = names();
    digest = MembersFormat.digest(judge.current());
    unsaved = true;
    saveAgainMillis = 0;
    Log.info(
        "members",
        "version "
            + accepted.version()
            + " accepted: "
            + judge.current().size()
            + " servers, "
            + accepted.diff().added().size()
            + " added, "
            + accepted.diff().removed().size()
            + " removed, "
            + accepted.diff().changed().size()
            + " changed");
  }

  private void refused(long nowMillis, List<String> reasons) {
    refusedTotal++;
    refusals.addFirst(new MembersStatus.Refusal(nowMillis, List.copyOf(reasons)));
    if (refusals.size() > MOST_REFUSALS) {
      refusals.removeLast();
    }
    String reason = String.join("; ", reasons);
    Log.warn("members", "refused: " + reason, "reason", reason);
  }

  private List<String> names() {
    return files.stream().map(WatchedFile::path).map(Path::toString).toList();
  }

  /** Writes the state if there is news for it; a disk that is full is tried again later. */
  void keep(long nowMillis) {
    if (state == null || !unsaved || judge.version() == 0 || nowMillis < saveAgainMillis) {
      return;
    }
    changes++;
    try {
      state.save(judge, acceptedMillis);
      unsaved = false;
      stateTrouble = null;
    } catch (IOException e) {
      saveAgainMillis = nowMillis + SAVE_AGAIN_MILLIS;
      stateTrouble = "the list could not be kept in " + state.file() + ": " + e.getMessage();
      Log.warn("members", stateTrouble + "; it is served all the same");
    }
  }

  /** Goes up with everything that {@link #status} would show otherwise. */
  long changes() {
    return changes;
  }

  MembersStatus status(boolean applied) {
    Verdict.Held held = judge.held();
    List<ListedServer> current = judge.current();
    return new MembersStatus(
        judge.version(),
        acceptedMillis,
        applied,
        source,
        digest,
        current.size(),
        (int) current.stream().filter(ListedServer::inService).count(),
        departures.leaving(),
        acceptedTotal,
        refusedTotal,
        held == null
            ? null
            : new MembersStatus.HeldBack(
                held.version(),
                heldMillis,
                held.reasons(),
                held.diff().added().size(),
                held.diff().removed().size(),
                held.diff().changed().size()),
        List.copyOf(refusals),
        stateTrouble);
  }

  @Override
  public void close() throws IOException {
    if (state != null) {
      state.close();
    }
  }
}
