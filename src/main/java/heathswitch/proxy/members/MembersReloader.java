package heathswitch.proxy.members;

import heathswitch.policy.members.ListDecision;
import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListValidator;
import heathswitch.policy.members.ListedServer;
import heathswitch.policy.members.ServerStateTracker;
import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Polls the watched files, has each new content validated, saves accepted lists in the state
 * folder, and returns the resulting updates of servers. All calls must come from a single thread,
 * which must not be the event loop.
 */
final class MembersReloader implements AutoCloseable {
  /** Neither the files nor the state contain a list that can be used at startup. */
  static final class NoUsableListException extends Exception {
    private static final long serialVersionUID = 1L;

    NoUsableListException(String message) {
      super(message);
    }
  }

  /** Refusals remembered for the status; the oldest ones are dropped. */
  static final int MAX_REFUSALS = 16;

  /** Delay before another attempt to write the state after a failure. */
  private static final long SAVE_RETRY_MILLIS = 5000;

  private MembersConfig config;
  private final ListValidator validator;
  private final ServerStateTracker tracker;
  private final MembersStateStore stateStore;
  private List<WatchedFile> files;
  private final ArrayDeque<MembersStatus.Refusal> refusals = new ArrayDeque<>();

  /** Fingerprints of the contents that were last validated. */
  private String validated = "";

  private List<String> source = List.of();
  private String digest = "";
  private long acceptedMillis;
  private long acceptedTotal;
  private long refusedTotal;
  private long pendingSinceMillis;
  private boolean unsaved;
  private long saveRetryMillis;
  private String stateError;
  private long changeCount;

  MembersReloader(MembersConfig config) {
    this.config = config;
    validator = new ListValidator(config.policy());
    tracker = new ServerStateTracker(config.policy().maxServers());
    stateStore = config.state() == null ? null : new MembersStateStore(config.state());
    files = watch(config);
  }

  private static List<WatchedFile> watch(MembersConfig config) {
    return config.files().stream()
        .map(path -> new WatchedFile(path, config.maxFileBytes()))
        .toList();
  }

  /**
   * Returns the servers to start with: those of the files if the list is accepted, else those of
   * the last accepted list in the state folder, against which the files are validated.
   */
  List<ServerStateTracker.Update> start(long nowMillis) throws NoUsableListException {
    List<String> reasons = new ArrayList<>();
    if (stateStore != null) {
      restore(reasons);
    }
    for (WatchedFile file : files) {
      file.poll(nowMillis, 0);
    }
    if (!(validateFiles(nowMillis) instanceof ListDecision.Accepted) && validator.version() == 0) {
      refusals.forEach(refusal -> reasons.addAll(refusal.reasons()));
      throw new NoUsableListException(
          "no list of servers to start with:\n  " + String.join("\n  ", reasons));
    }
    saveIfNeeded(nowMillis);
    return tracker.initialize(validator.current());
  }

  private void restore(List<String> reasons) throws NoUsableListException {
    try {
      stateStore.lock();
    } catch (IOException e) {
      throw new NoUsableListException("state folder " + config.state() + " " + e.getMessage());
    }
    MembersStateStore.ReadResult result = stateStore.read();
    if (result.damage() != null) {
      reasons.add(result.damage());
      try {
        Log.warn("members", result.damage() + "; renamed to " + stateStore.moveDamagedAside());
      } catch (IOException e) {
        stateError = "the damaged state file could not be renamed: " + e.getMessage();
        Log.warn("members", stateError);
      }
    } else if (result.state() != null) {
      MembersStateStore.SavedState state = result.state();
      validator.restore(
          state.version(),
          state.lastAssignedVersion(),
          state.list(),
          state.joinedMillis(),
          state.departures());
      acceptedMillis = state.acceptedMillis();
      source = List.of(stateStore.file().toString());
      digest = MembersFormat.digest(validator.current());
    } else {
      reasons.add(stateStore.file() + " is not there");
    }
  }

  /**
   * Polls the files and ends the draining of servers whose time is over. Returns the updates of
   * servers, usually none.
   */
  List<ServerStateTracker.Update> poll(long nowMillis) {
    boolean settled = true;
    for (WatchedFile file : files) {
      settled &= file.poll(nowMillis, config.settleMillis());
    }
    List<ServerStateTracker.Update> updates = tracker.expire(nowMillis);
    changeCount += updates.isEmpty() ? 0 : 1;
    if (settled && !fingerprints().equals(validated)) {
      ListDecision decision = validateFiles(nowMillis);
      if (decision instanceof ListDecision.Accepted) {
        updates = new ArrayList<>(updates);
        updates.addAll(tracker.apply(nowMillis, config.drainMillis(), validator.current()));
      }
    }
    return updates;
  }

  /**
   * Accepts the list that is held back, if it has the given version.
   *
   * @param updates receives the resulting updates of servers
   */
  ListDecision confirm(long nowMillis, long version, List<ServerStateTracker.Update> updates) {
    ListDecision decision = validator.confirm(nowMillis, version);
    if (decision instanceof ListDecision.Accepted accepted) {
      recordAccepted(nowMillis, accepted);
      updates.addAll(tracker.apply(nowMillis, config.drainMillis(), validator.current()));
    }
    return decision;
  }

  /** Applies a new configuration, except for the state folder, which stays the same. */
  void reconfigure(MembersConfig next) {
    if (!next.files().equals(config.files()) || next.maxFileBytes() != config.maxFileBytes()) {
      files = watch(next);
    }
    config = next;
    validator.setPolicy(next.policy());
    validated = "";
  }

  private String fingerprints() {
    StringBuilder fingerprints = new StringBuilder();
    files.forEach(file -> fingerprints.append(file.fingerprint()).append('\n'));
    return fingerprints.toString();
  }

  private ListDecision validateFiles(long nowMillis) {
    validated = fingerprints();
    changeCount++;
    List<ListEntry> candidate = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (WatchedFile file : files) {
      for (ValidationError fault : file.faults()) {
        faults.add(fault.toString());
      }
      if (faults.isEmpty()) {
        candidate.addAll(file.parsed().entries());
      }
    }
    ListDecision decision =
        faults.isEmpty()
            ? validator.submit(nowMillis, candidate)
            : new ListDecision.Refused(faults);
    if (decision instanceof ListDecision.Accepted accepted) {
      recordAccepted(nowMillis, accepted);
    } else if (decision instanceof ListDecision.Refused refused) {
      recordRefused(nowMillis, refused.reasons());
    } else if (decision instanceof ListDecision.PendingConfirmation pending) {
      pendingSinceMillis = nowMillis;
      unsaved = true; // Its version must not be assigned to another list after a restart.
      saveRetryMillis = 0;
      Log.warn(
          "members",
          "version "
              + pending.version()
              + " held back until confirmed: "
              + String.join("; ", pending.reasons()));
    } else {
      source = fileNames();
    }
    return decision;
  }

  private void recordAccepted(long nowMillis, ListDecision.Accepted accepted) {
    changeCount++;
    acceptedMillis = nowMillis;
    acceptedTotal++;
    source = fileNames();
    digest = MembersFormat.digest(validator.current());
    unsaved = true;
    saveRetryMillis = 0;
    Log.info(
        "members",
        "version "
            + accepted.version()
            + " accepted: "
            + validator.current().size()
            + " servers, "
            + accepted.diff().added().size()
            + " added, "
            + accepted.diff().removed().size()
            + " removed, "
            + accepted.diff().changed().size()
            + " changed");
  }

  private void recordRefused(long nowMillis, List<String> reasons) {
    refusedTotal++;
    refusals.addFirst(new MembersStatus.Refusal(nowMillis, List.copyOf(reasons)));
    if (refusals.size() > MAX_REFUSALS) {
      refusals.removeLast();
    }
    String reason = String.join("; ", reasons);
    Log.warn("members", "refused: " + reason, "reason", reason);
  }

  private List<String> fileNames() {
    return files.stream().map(WatchedFile::path).map(Path::toString).toList();
  }

  /** Saves the state if it has changed; after a failure, such as a full disk, retries later. */
  void saveIfNeeded(long nowMillis) {
    if (stateStore == null || !unsaved || validator.version() == 0 || nowMillis < saveRetryMillis) {
      return;
    }
    changeCount++;
    try {
      stateStore.save(validator, acceptedMillis);
      unsaved = false;
      stateError = null;
    } catch (IOException e) {
      saveRetryMillis = nowMillis + SAVE_RETRY_MILLIS;
      stateError = "the list could not be saved in " + stateStore.file() + ": " + e.getMessage();
      Log.warn("members", stateError + "; it is used nevertheless");
    }
  }

  /** A counter that is incremented with each change of what {@link #status} returns. */
  long changeCount() {
    return changeCount;
  }

  MembersStatus status(boolean applied) {
    ListDecision.PendingConfirmation pending = validator.pending();
    List<ListedServer> current = validator.current();
    return new MembersStatus(
        validator.version(),
        acceptedMillis,
        applied,
        source,
        digest,
        current.size(),
        (int) current.stream().filter(ListedServer::inService).count(),
        tracker.drainingCount(),
        acceptedTotal,
        refusedTotal,
        pending == null
            ? null
            : new MembersStatus.PendingList(
                pending.version(),
                pendingSinceMillis,
                pending.reasons(),
                pending.diff().added().size(),
                pending.diff().removed().size(),
                pending.diff().changed().size()),
        List.copyOf(refusals),
        stateError);
  }

  @Override
  public void close() throws IOException {
    if (stateStore != null) {
      stateStore.close();
    }
  }
}
