package heathswitch.policy.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Membership and failure detection of one instance. The caller passes in the time and the received
 * messages and sends the messages that result. Times are nanoseconds of the instance's own
 * monotonic clock.
 */
public final class Gossip {
  /** Sends messages to addresses; a message may get lost. */
  public interface Transport {
    void send(String address, Message message);
  }

  /**
   * Maximum number of updates in one message, so that a datagram stays under 1,200 bytes with names
   * of 64 characters.
   */
  static final int MAX_UPDATES = 6;

  /**
   * Maximum number of known peers, including those that are dead or have left; updates about
   * further peers are ignored.
   */
  static final int MAX_PEERS = 4096;

  /** How often an update is passed on, for each doubling of the fleet's size. */
  private static final int RETRANSMIT_FACTOR = 3;

  /** Confirmations by other peers that reduce the suspicion timeout to its minimum. */
  private static final int MAX_CONFIRMATIONS = 3;

  /** Suspicion timeout without confirmations, as a multiple of the minimum. */
  private static final double MAX_SUSPICION_FACTOR = 6;

  /** Upper limit of {@link #slowness()}, which lengthens the timeouts of this instance. */
  private static final int MAX_SLOWNESS = 8;

  /** Probes between two anti-entropy exchanges as long as the compared digests are equal. */
  private static final int PROBES_PER_SYNC = 10;

  /**
   * Periods without a report of another process with the same name until that process counts as
   * gone. An instance that is silent about itself receives the full state of the other peer in each
   * anti-entropy exchange, so it would hear of that process within this time.
   */
  private static final int NAME_CONFLICT_PERIODS = 4 * PROBES_PER_SYNC;

  /**
   * Number of probes after the start that come with an anti-entropy exchange each, as many
   * instances may start within one second.
   */
  private static final int INITIAL_SYNCS = 8;

  /** Maximum number of pending indirect probes on behalf of other peers. */
  private static final int MAX_RELAYED_PROBES = 256;

  /** What this instance knows about one peer. */
  private static final class Peer {
    PeerRecord record;
    int transmissions;
    long statusSinceNanos;

    /** Time from the start of a suspicion until the peer counts as dead. */
    long suspicionTimeoutNanos;

    /** Round-trip time of its last answer to a direct probe, or -1. */
    long roundTripNanos = -1;

    /** Peers that are known to suspect it. */
    final Set<String> suspecters = new HashSet<>();

    Peer(PeerRecord record, long nowNanos) {
      this.record = record;
      statusSinceNanos = nowNanos;
      suspicionTimeoutNanos = Long.MAX_VALUE;
    }
  }

  /** The pending probe of this instance. */
  private static final class Probe {
    final long number;
    final String name;
    final long sentNanos;
    boolean relayed;
    int nacks;

    Probe(long number, String name, long sentNanos) {
      this.number = number;
      this.name = name;
      this.sentNanos = sentNanos;
    }
  }

  /**
   * A pending indirect probe on behalf of another peer.
   *
   * @param number number of the probe at the peer that asked for it
   * @param requester address of that peer
   */
  private record RelayedProbe(long number, String requester, long deadlineNanos) {}

  private final GossipTiming timing;
  private final SplittableRandom random;
  private final List<String> seeds;
  private final Map<String, Peer> peers = new TreeMap<>();

  /**
   * Names of the peers that are still to be probed in this round. Each is contained at most once,
   * so it is never longer than {@link #peers}.
   */
  private final ArrayDeque<String> probeQueue = new ArrayDeque<>();

  private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
  private PeerRecord self;
  private int selfTransmissions;
  private Probe pendingProbe;
  private long lastProbeNumber;
  private int probesUntilSync;
  private int initialSyncs = INITIAL_SYNCS;
  private long lastTickNanos;
  private long nextProbeNanos;
  private boolean started;
  private boolean left;
  private int slowness;
  private boolean nameConflict;

  /** When another process with the name of this one was reported last. */
  private long nameConflictNanos;

  /**
   * Creates an instance that knows no peer yet.
   *
   * @param self initial record of this instance
   * @param seeds addresses to contact first; may include this instance's own address
   */
  public Gossip(GossipTiming timing, PeerRecord self, List<String> seeds, long seed) {
    this.timing = timing;
    this.self = self;
    this.seeds = List.copyOf(seeds);
    random = new SplittableRandom(seed);
  }

  // ---- Queries and changes by the owner ----

  /** The peers that count as present, including this instance, ordered by name. */
  public List<PeerRecord> presentPeers() {
    List<PeerRecord> present = new ArrayList<>();
    for (Peer each : peers.values()) {
      if (each.record.status().isPresent()) {
        present.add(each.record);
      }
    }
    if (!left) {
      present.add(self);
    }
    present.sort(Comparator.comparing(PeerRecord::name));
    return present;
  }

  /** The records of all other known peers, including those that are dead or have left. */
  public Collection<PeerRecord> knownPeers() {
    return peers.values().stream().map(each -> each.record).toList();
  }

  /**
   * State of one peer for status pages.
   *
   * @param sinceNanos when it got its current status, by this instance's clock
   * @param suspecters peers that reported that it did not answer, while it is suspected
   * @param roundTripNanos round-trip time of its last answer, or -1
   */
  public record PeerView(
      PeerRecord record, long sinceNanos, List<String> suspecters, long roundTripNanos) {}

  /** All other known peers, ordered by name. */
  public List<PeerView> peerViews() {
    return peers.values().stream()
        .map(
            each ->
                new PeerView(
                    each.record,
                    each.statusSinceNanos,
                    List.copyOf(each.suspecters),
                    each.roundTripNanos))
        .toList();
  }

  /** The record that this instance announces about itself. */
  public PeerRecord self() {
    return self;
  }

  /**
   * Local health score of Lifeguard: how slow this instance considers itself, from 0. It rises when
   * answers are missing or this instance had to refute a suspicion, and lengthens its timeouts.
   */
  public int slowness() {
    return slowness;
  }

  /**
   * Whether another process uses the same name and takes precedence; this instance announces
   * nothing about itself meanwhile.
   */
  public boolean nameConflict() {
    return nameConflict;
  }

  /** Announces new attributes of this instance under a new incarnation. */
  public void updateAttributes(PeerAttributes attributes) {
    self =
        new PeerRecord(
            self.name(),
            self.address(),
            self.processNonce(),
            self.incarnation() + 1,
            PeerStatus.ALIVE,
            attributes);
    selfTransmissions = 0;
  }

  // ---- Periodic work ----

  /** Must be called at least ten times in a probe period. */
  public void tick(long nowNanos, Transport transport) {
    if (!started) {
      started = true;
      lastTickNanos = nowNanos;
      nextProbeNanos = nowNanos + (long) (random.nextDouble() * timing.probePeriodNanos());
      startSync(transport);
    }
    long elapsed = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    if (elapsed > timing.probePeriodNanos()) {
      recoverFromPause(elapsed);
    }
    if (left) {
      return;
    }
    if (nameConflict
        && nowNanos - nameConflictNanos > NAME_CONFLICT_PERIODS * timing.probePeriodNanos()) {
      nameConflict = false; // No peer knows the other process any more, and maybe none this one.
      selfTransmissions = 0;
    }
    expireRelayedProbes(nowNanos, transport);
    expireSuspicions(nowNanos);
    requestIndirectProbes(nowNanos, transport);
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = nowNanos + timing.probePeriodNanos() * (1 + slowness / 2);
      failPendingProbe();
      sendProbe(nowNanos, transport);
    }
  }

  /**
   * Called after this process was paused. Messages that arrived meanwhile have not been read yet,
   * so no peer is declared dead for the duration of the pause, nor before those messages are read.
   */
  private void recoverFromPause(long elapsed) {
    for (Peer each : peers.values()) {
      if (each.record.status() == PeerStatus.SUSPECT) {
        each.statusSinceNanos += elapsed + timing.probePeriodNanos();
      }
    }
    pendingProbe = null;
    relayedProbes.clear();
    slowness = Math.min(MAX_SLOWNESS, slowness + 1);
    // Others probably suspect this instance: it refutes that before it is probed again.
    updateAttributes(self.attributes());
    nextProbeNanos = lastTickNanos;
    probesUntilSync = 0;
  }

  private void sendProbe(long nowNanos, Transport transport) {
    if (initialSyncs > 0 || --probesUntilSync <= 0) {
      initialSyncs = Math.max(0, initialSyncs - 1);
      probesUntilSync = PROBES_PER_SYNC;
      startSync(transport);
    }
    Peer target = nextProbeTarget();
    if (target == null) {
      // No peer is present, so no answer can show how slow this instance is; it looks for others
      // at each probe.
      slowness = Math.max(0, slowness - 1);
      probesUntilSync = 0;
      return;
    }
    pendingProbe = new Probe(++lastProbeNumber, target.record.name(), nowNanos);
    transport.send(
        target.record.address(),
        new Message.Ping(pendingProbe.number, target.record.name(), selectUpdates(target.record)));
  }

  /** The next present peer; each comes once in a round, and every round has a new random order. */
  private Peer nextProbeTarget() {
    for (int pass = 0; pass < 2; pass++) {
      while (!probeQueue.isEmpty()) {
        Peer peer = peers.get(probeQueue.poll());
        if (peer != null && peer.record.status().isPresent()) {
          return peer;
        }
      }
      List<String> names = new ArrayList<>();
      presentPeers().forEach(each -> names.add(each.name()));
      names.remove(self.name());
      for (int i = names.size() - 1; i > 0; i--) {
        Collections.swap(names, i, random.nextInt(i + 1));
      }
      probeQueue.addAll(names);
    }
    return null;
  }

  /**
   * Asks other peers for indirect probes if the pending probe is not answered in time, as only the
   * connection from here to the target may be broken.
   */
  private void requestIndirectProbes(long nowNanos, Transport transport) {
    if (pendingProbe == null
        || pendingProbe.relayed
        || nowNanos - pendingProbe.sentNanos < timing.ackTimeoutNanos() * (1 + slowness)) {
      return;
    }
    pendingProbe.relayed = true;
    Peer target = peers.get(pendingProbe.name);
    if (target == null) {
      return;
    }
    for (Peer each : randomAlivePeers(timing.indirectProbes(), pendingProbe.name)) {
      transport.send(
          each.record.address(),
          new Message.Relay(
              pendingProbe.number,
              pendingProbe.name,
              target.record.address(),
              selectUpdates(target.record)));
    }
  }

  private List<Peer> randomAlivePeers(int count, String excludedName) {
    List<Peer> candidates = new ArrayList<>();
    for (Peer each : peers.values()) {
      if (each.record.status() == PeerStatus.ALIVE && !each.record.name().equals(excludedName)) {
        candidates.add(each);
      }
    }
    List<Peer> selected = new ArrayList<>();
    while (selected.size() < count && !candidates.isEmpty()) {
      selected.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return selected;
  }

  /** Suspects the target of the last period's probe if that probe is still unanswered. */
  private void failPendingProbe() {
    if (pendingProbe == null) {
      return;
    }
    Peer target = peers.get(pendingProbe.name);
    int relays = Math.min(timing.indirectProbes(), Math.max(0, presentPeers().size() - 2));
    if (relays > 0 && pendingProbe.nacks < relays) {
      slowness = Math.min(MAX_SLOWNESS, slowness + 1); // Not even the relaying peers answered.
    }
    if (target != null && target.record.status() == PeerStatus.ALIVE) {
      merge(target.record.withStatus(PeerStatus.SUSPECT), self.name(), lastTickNanos);
    } else if (target != null) {
      confirmSuspicion(target, self.name());
    }
    pendingProbe = null;
  }

  /** Declares suspects dead after their timeout and forgets absent peers after the retention. */
  private void expireSuspicions(long nowNanos) {
    for (Peer each : List.copyOf(peers.values())) {
      long age = nowNanos - each.statusSinceNanos;
      if (each.record.status() == PeerStatus.SUSPECT) {
        if (age > each.suspicionTimeoutNanos) {
          merge(each.record.withStatus(PeerStatus.DEAD), self.name(), nowNanos);
        }
      } else if (!each.record.status().isPresent() && age > timing.retentionNanos()) {
        peers.remove(each.record.name());
      }
    }
  }

  /**
   * Records that another peer suspects this one; each confirmation shortens the suspicion timeout.
   * True for a confirmation that was not known before.
   */
  private boolean confirmSuspicion(Peer peer, String suspecter) {
    if (peer.suspecters.size() > MAX_CONFIRMATIONS || !peer.suspecters.add(suspecter)) {
      return false;
    }
    int size = presentPeers().size();
    double minimum =
        timing.suspicionPeriods() * Math.max(1, Math.log10(size)) * timing.probePeriodNanos();
    int wanted = Math.min(MAX_CONFIRMATIONS, Math.max(1, size - 2));
    int confirmations = Math.min(wanted, peer.suspecters.size() - 1);
    double share = Math.log(confirmations + 1) / Math.log(wanted + 1);
    peer.suspicionTimeoutNanos =
        Math.min(
            peer.suspicionTimeoutNanos,
            (long) (minimum * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * share)));
    return true;
  }

  /** Answers unsuccessful indirect probes with a nack. */
  private void expireRelayedProbes(long nowNanos, Transport transport) {
    for (Map.Entry<Long, RelayedProbe> each : List.copyOf(relayedProbes.entrySet())) {
      if (nowNanos - each.getValue().deadlineNanos() > 0) {
        relayedProbes.remove(each.getKey());
        transport.send(
            each.getValue().requester(),
            new Message.Nack(each.getValue().number(), selectUpdates(null)));
      }
    }
  }

  // ---- Received messages ----

  /** Processes a message that was sent from an address. */
  public void receive(long nowNanos, String from, Message message, Transport transport) {
    if (left) {
      return;
    }
    for (PeerRecord update : message.updates()) {
      applyUpdate(update, from, nowNanos);
    }
    if (message instanceof Message.Ping ping) {
      if (ping.name().equals(self.name())) {
        transport.send(from, new Message.Ack(ping.number(), selectUpdates(null)));
      }
    } else if (message instanceof Message.Ack ack) {
      handleAck(ack.number(), nowNanos, transport);
    } else if (message instanceof Message.Relay relay) {
      if (relayedProbes.size() < MAX_RELAYED_PROBES) {
        long number = ++lastProbeNumber;
        relayedProbes.put(
            number, new RelayedProbe(relay.number(), from, nowNanos + timing.ackTimeoutNanos()));
        transport.send(
            relay.address(), new Message.Ping(number, relay.name(), selectUpdates(null)));
      }
    } else if (message instanceof Message.Nack nack) {
      if (pendingProbe != null && pendingProbe.number == nack.number()) {
        pendingProbe.nacks++;
      }
    } else if (message instanceof Message.Sync sync) {
      handleSync(sync, from, transport);
    }
  }

  private void handleSync(Message.Sync sync, String from, Transport transport) {
    boolean differs = sync.digest() != 0 && sync.digest() != digest();
    if (differs || sync.stateWanted()) {
      probesUntilSync = 1; // What one of the two did not know, other peers may not know either.
      boolean requestState = differs;
      for (List<PeerRecord> part : fullState()) {
        transport.send(from, new Message.Sync(0, requestState, part));
        requestState = false;
      }
    }
  }

  /**
   * Hash of the view of the membership: equal for all that know the same records of the same peers,
   * in whatever order they learned them.
   */
  private long digest() {
    long digest = nameConflict ? 1 : hash(self);
    for (Peer each : peers.values()) {
      // Absent peers are left out, as each instance forgets them at another time. The status of
      // present ones is left out, as a suspicion may be refuted.
      digest ^= each.record.status().isPresent() ? hash(each.record) : 0;
    }
    return digest == 0 ? 1 : digest;
  }

  private static long hash(PeerRecord record) {
    long identity = (long) record.name().hashCode() << 32 ^ record.processNonce();
    return new SplittableRandom(identity + record.incarnation() * 0x9e3779b97f4a7c15L).nextLong();
  }

  private void handleAck(long number, long nowNanos, Transport transport) {
    RelayedProbe relayed = relayedProbes.remove(number);
    if (relayed != null) {
      transport.send(relayed.requester(), new Message.Ack(relayed.number(), selectUpdates(null)));
    } else if (pendingProbe != null && pendingProbe.number == number) {
      Peer peer = peers.get(pendingProbe.name);
      if (peer != null && !pendingProbe.relayed) {
        peer.roundTripNanos = nowNanos - pendingProbe.sentNanos;
      }
      pendingProbe = null;
      slowness = Math.max(0, slowness - 1);
    }
  }

  private void applyUpdate(PeerRecord update, String from, long nowNanos) {
    if (update.name().equals(self.name())) {
      applyUpdateAboutSelf(update);
      return;
    }
    merge(update, from, nowNanos);
  }

  /**
   * Handles a record with the name of this instance: detects a second process with that name, and
   * refutes any other status than alive. Only this instance itself can refute it.
   */
  private void applyUpdateAboutSelf(PeerRecord update) {
    boolean elsewhere = !update.address().equals(self.address());
    if (update.processNonce() != self.processNonce() && elsewhere && update.status().isPresent()) {
      // Another process uses this name. The one with the lower nonce is silent until the other one
      // is gone.
      nameConflict |= update.processNonce() > self.processNonce();
      nameConflictNanos = lastTickNanos;
      // The other process must learn of this one, but peers pass on only the newest record: without
      // a conflict here, a record that is not older than the own one has to be outdone below.
      if (nameConflict || update.incarnation() < self.incarnation()) {
        return;
      }
    }
    boolean refute =
        update.status() != PeerStatus.ALIVE || update.processNonce() != self.processNonce();
    if (nameConflict) {
      // The other process is gone, or the peers know this one instead: it may announce itself.
      nameConflict = false;
      selfTransmissions = 0;
    }
    if (refute && update.incarnation() >= self.incarnation()) {
      self =
          new PeerRecord(
              self.name(),
              self.address(),
              self.processNonce(),
              update.incarnation() + 1,
              PeerStatus.ALIVE,
              self.attributes());
      selfTransmissions = 0;
      slowness = Math.min(MAX_SLOWNESS, slowness + 1);
    }
  }

  /** Merges a record of another peer into the view if it is newer than the known one. */
  private void merge(PeerRecord update, String from, long nowNanos) {
    Peer peer = peers.get(update.name());
    if (peer == null) {
      if (peers.size() < MAX_PEERS) {
        // Absent peers are stored as well: older updates about them may still be under way.
        Peer added = new Peer(update, nowNanos);
        peers.put(update.name(), added);
        if (update.status() == PeerStatus.SUSPECT) {
          confirmSuspicion(added, from);
        }
        // Probed soon, at an unpredictable position in the round.
        enqueueProbe(update.name(), random.nextBoolean());
      }
      return;
    }
    if (update.supersedes(peer.record)) {
      boolean statusChanged = update.status() != peer.record.status();
      peer.record = update;
      peer.transmissions = 0;
      if (statusChanged) {
        peer.statusSinceNanos = nowNanos;
        peer.suspecters.clear();
        peer.suspicionTimeoutNanos = Long.MAX_VALUE;
      }
      if (statusChanged && update.status() == PeerStatus.SUSPECT) {
        // Probed next, which also tells it of the suspicion: it may only have been slow.
        enqueueProbe(update.name(), true);
      }
    }
    if (update.status() == PeerStatus.SUSPECT
        && peer.record.status() == PeerStatus.SUSPECT
        && update.incarnation() == peer.record.incarnation()
        && confirmSuspicion(peer, from)) {
      peer.transmissions = Math.min(peer.transmissions, 1); // Passes the new confirmation on.
    }
  }

  private void enqueueProbe(String name, boolean first) {
    probeQueue.remove(name);
    if (first) {
      probeQueue.addFirst(name);
    } else {
      probeQueue.addLast(name);
    }
  }

  // ---- Outgoing updates ----

  /**
   * Selects the updates that are piggybacked on a message, the least transmitted first. A receiver
   * that is suspected is told so before anything else.
   *
   * @param receiver record of the receiver, or null if its status does not matter
   */
  private List<PeerRecord> selectUpdates(PeerRecord receiver) {
    List<PeerRecord> updates = new ArrayList<>();
    int maxTransmissions =
        (int) Math.ceil(RETRANSMIT_FACTOR * Math.log(presentPeers().size() + 1) / Math.log(2));
    if (receiver != null && receiver.status() == PeerStatus.SUSPECT) {
      updates.add(receiver);
    }
    if (selfTransmissions < maxTransmissions && !nameConflict) {
      selfTransmissions++;
      updates.add(self);
    }
    List<Peer> candidates = new ArrayList<>();
    for (Peer each : peers.values()) {
      if (each.transmissions < maxTransmissions) {
        candidates.add(each);
      }
    }
    candidates.sort(Comparator.comparingInt(each -> each.transmissions));
    for (Peer each : candidates) {
      if (updates.size() >= MAX_UPDATES) {
        break;
      }
      if (receiver == null || !each.record.name().equals(receiver.name()) || updates.isEmpty()) {
        each.transmissions++;
        updates.add(each.record);
      }
    }
    return updates;
  }

  /** All known records, in parts that fit into one message each. */
  private List<List<PeerRecord>> fullState() {
    List<PeerRecord> records = new ArrayList<>();
    if (!nameConflict) {
      records.add(self);
    }
    peers.values().forEach(each -> records.add(each.record));
    List<List<PeerRecord>> parts = new ArrayList<>();
    for (int from = 0; from < records.size(); from += MAX_UPDATES) {
      parts.add(records.subList(from, Math.min(records.size(), from + MAX_UPDATES)));
    }
    return parts;
  }

  /**
   * Starts an anti-entropy exchange with one alive peer and with one address that is not known to
   * be alive. A network partition may have split the fleet in two, and a peer that died and came
   * back may know no other peer.
   */
  private void startSync(Transport transport) {
    List<String> absent = new ArrayList<>(seeds);
    absent.remove(self.address());
    for (Peer each : peers.values()) {
      if (each.record.status() == PeerStatus.DEAD) {
        absent.add(each.record.address());
      } else {
        absent.remove(each.record.address());
      }
    }
    List<String> targets = new ArrayList<>();
    randomAlivePeers(1, "").forEach(each -> targets.add(each.record.address()));
    if (!absent.isEmpty()) {
      targets.add(absent.get(random.nextInt(absent.size())));
    }
    for (String target : targets) {
      transport.send(target, new Message.Sync(digest(), false, selectUpdates(null)));
    }
  }

  /** Announces that this instance leaves; it processes and sends nothing afterwards. */
  public void leave(Transport transport) {
    PeerRecord leaving =
        new PeerRecord(
            self.name(),
            self.address(),
            self.processNonce(),
            self.incarnation() + 1,
            PeerStatus.LEFT,
            self.attributes());
    for (Peer each : randomAlivePeers(timing.indirectProbes(), "")) {
      transport.send(each.record.address(), new Message.Sync(0, false, List.of(leaving)));
    }
    left = true;
  }
}
