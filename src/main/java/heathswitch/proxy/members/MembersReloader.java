package heathswitch.proxy.members;

import heathswitch.policy.members.ListDecision;
import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListValidator;
import heathswitch.policy.members.ListedServer;
import heathswitch.policy.members.ServerStateTracker;
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
final class MembersReloader implements AutoCloseable {
  /** A start that finds no list at all that it could serve with. */
  static final class NoUsableListException extends Exception {
    private static final long serialVersionUID = 1L;

    NoUsableListException(String message) {
      super(message);
    }
  }

  static final int MOST_REFUSALS = 16;

  /** A state that could not be written is tried again so long after. */
  private static final long SAVE_AGAIN_MILLIS = 5000;

  private MembersConfig table;
  private final ListValidator judge;
  private final ServerStateTracker departures;
  private final MembersStateStore state;
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

  MembersReloader(MembersConfig table) {
    this.table = table;
    judge = new ListValidator(table.policy());
    departures = new ServerStateTracker(table.policy().mostServers());
    state = table.state() == null ? null : new MembersStateStore(table.state());
    files = watch(table);
  }

  private static List<WatchedFile> watch(MembersConfig table) {
    return table.files().stream().map(path -> new WatchedFile(path, table.mostBytes())).toList();
  }

  /**
   * The list to start with: that of the files, judged against the one that was kept, or else the
   * kept one.
   */
  List<ServerStateTracker.Update> start(long nowMillis) throws NoUsableListException {
    List<String> why = new ArrayList<>();
    if (state != null) {
      takeUp(why);
    }
    for (WatchedFile file : files) {
      file.look(nowMillis, 0);
    }
    if (!(judgeFiles(nowMillis) instanceof ListDecision.Accepted) && judge.version() == 0) {
      refusals.forEach(refusal -> why.addAll(refusal.reasons()));
      throw new NoUsableListException(
          "no list of servers to start with:\n  " + String.join("\n  ", why));
    }
    keep(nowMillis);
    return departures.begin(judge.current());
  }

  private void takeUp(List<String> why) throws NoUsableListException {
    try {
      state.lock();
    } catch (IOException e) {
      throw new NoUsableListException("state folder " + table.state() + " " + e.getMessage());
    }
    MembersStateStore.Found found = state.read();
    if (found.damage() != null) {
      why.add(found.damage());
      try {
        Log.warn("members", found.damage() + "; set aside as " + state.setAside());
      } catch (IOException e) {
        stateTrouble = "the damaged state could not be set aside: " + e.getMessage();
        Log.warn("members", stateTrouble);
      }
    } else if (found.kept() != null) {
      MembersStateStore.Kept kept = found.kept();
      judge.restore(kept.version(), kept.number(), kept.list(), kept.joined(), kept.left());
      acceptedMillis = kept.acceptedMillis();
      source = List.of(state.file().toString());
      digest = MembersFormat.digest(judge.current());
    } else {
      why.add(state.file() + " is not there");
    }
  }

  /** Looks at the files once; what is to be told of the servers, which is mostly nothing. */
  List<ServerStateTracker.Update> look(long nowMillis) {
    boolean settled = true;
    for (WatchedFile file : files) {
      settled &= file.look(nowMillis, table.settleMillis());
    }
    List<ServerStateTracker.Update> news = departures.tick(nowMillis);
    changes += news.isEmpty() ? 0 : 1;
    if (settled && !marks().equals(judged)) {
      ListDecision verdict = judgeFiles(nowMillis);
      if (verdict instanceof ListDecision.Accepted) {
        news = new ArrayList<>(news);
        news.addAll(departures.accept(nowMillis, table.drainMillis(), judge.current()));
      }
    }
    return news;
  }

  /** Takes the list that is held back; null where it was, else why not. */
  ListDecision confirm(long nowMillis, long version, List<ServerStateTracker.Update> news) {
    ListDecision verdict = judge.confirm(nowMillis, version);
    if (verdict instanceof ListDecision.Accepted accepted) {
      accepted(nowMillis, accepted);
      news.addAll(departures.accept(nowMillis, table.drainMillis(), judge.current()));
    }
    return verdict;
  }

  /** Other files or rules from now on; the state folder stays. */
  void reconfigure(MembersConfig next) {
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

  private ListDecision judgeFiles(long nowMillis) {
    judged = marks();
    changes++;
    List<ListEntry> candidate = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (WatchedFile file : files) {
      for (Fault fault : file.faults()) {
        faults.add(fault.toString());
      }
      if (faults.isEmpty()) {
        candidate.addAll(file.parsed().entries());
      }
    }
    ListDecision verdict =
        faults.isEmpty() ? judge.judge(nowMillis, candidate) : new ListDecision.Refused(faults);
    if (verdict instanceof ListDecision.Accepted accepted) {
      accepted(nowMillis, accepted);
    } else if (verdict instanceof ListDecision.Refused refused) {
      refused(nowMillis, refused.reasons());
    } else if (verdict instanceof ListDecision.PendingConfirmation held) {
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

  private void accepted(long nowMillis, ListDecision.Accepted accepted) {
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
    ListDecision.PendingConfirmation held = judge.pending();
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
            : new MembersStatus.PendingList(
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
