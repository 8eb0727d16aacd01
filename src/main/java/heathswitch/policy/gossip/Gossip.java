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
 * One instance's view of who is there. It is told the time and what comes, and says what to send;
 * times are nanoseconds of a monotonic clock of its own.
 */
public final class Gossip {
  /** Carries a message to an address, or loses it. */
  public interface Wire {
    void send(String address, Message message);
  }

  /** Words in one message: so that a datagram stays under 1,200 bytes with names of 64. */
  static final int MOST_NEWS = 6;

  /** Peers that are held, those that are gone among them; news of one more are passed over. */
  static final int MOST_PEERS = 4096;

  /** Times that a word is passed on, for each doubling of the fleet. */
  private static final int TIMES = 3;

  /** Who confirm a suspicion before its time is the least. */
  private static final int WITNESSES = 3;

  private static final double LONGEST = 6;

  /** How much more patient one may get that finds itself slow. */
  private static final int MOST_SLOWNESS = 8;

  /** Probes between two looks whether somebody knows the same, while that is so. */
  private static final int SYNC_PROBES = 10;

  /**
   * One that keeps still asks with each look for all that others know; so long after it has heard
   * of the other one for the last time that one is not there.
   */
  private static final int STILL_PERIODS = 4 * SYNC_PROBES;

  /** Probes of a new process that come with a look each: many may begin in one second. */
  private static final int EARLY_PROBES = 8;

  /** Relayed probes that are waited for on behalf of others. */
  private static final int MOST_RELAYED = 256;

  private static final class Held {
    PeerRecord word;
    int told;
    long sinceNanos;

    /** How long it has to refute a suspicion. */
    long spanNanos;

    /** The time that its last answer took, or -1. */
    long tripNanos = -1;

    /** Who suspects it, as far as was heard. */
    final Set<String> witnesses = new HashSet<>();

    Held(PeerRecord word, long nowNanos) {
      this.word = word;
      sinceNanos = nowNanos;
      spanNanos = Long.MAX_VALUE;
    }
  }

  /** A probe that waits for its answer. */
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

  /** A probe on behalf of somebody. */
  private record Relayed(long number, String to, long untilNanos) {}

  private final GossipTiming pace;
  private final SplittableRandom random;
  private final List<String> seeds;
  private final Map<String, Held> peers = new TreeMap<>();

  /**
   * Those that are still to be asked in this round; each stands once, so it is no longer than
   * peers.
   */
  private final ArrayDeque<String> round = new ArrayDeque<>();

  private final Map<Long, Relayed> relayed = new LinkedHashMap<>();
  private PeerRecord self;
  private int selfTold;
  private Probe probe;
  private long numbers;
  private int probesToSync;
  private int early = EARLY_PROBES;
  private long tickedNanos;
  private long nextNanos;
  private boolean begun;
  private boolean left;
  private int slowness;
  private boolean doubled;

  /** When it was told last of another one by its name. */
  private long doubledNanos;

  /**
   * One that knows nobody yet.
   *
   * @param self what it says of itself at first
   * @param seeds addresses to begin with; its own may be among them
   */
  public Gossip(GossipTiming pace, PeerRecord self, List<String> seeds, long seed) {
    this.pace = pace;
    this.self = self;
    this.seeds = List.copyOf(seeds);
    random = new SplittableRandom(seed);
  }

  // ---- what is asked of it ----

  /** Those that count as there, itself among them, by name. */
  public List<PeerRecord> presentPeers() {
    List<PeerRecord> there = new ArrayList<>();
    for (Held each : peers.values()) {
      if (each.word.standing().there()) {
        there.add(each.word);
      }
    }
    if (!left) {
      there.add(self);
    }
    there.sort(Comparator.comparing(PeerRecord::name));
    return there;
  }

  /** All that is held of others, those that are gone among them. */
  public Collection<PeerRecord> held() {
    return peers.values().stream().map(each -> each.word).toList();
  }

  /**
   * What is held of one peer, for people.
   *
   * @param sinceNanos when it came to stand so, by the clock of whoever holds it
   * @param suspects who said that they had no answer from it, while it is suspected
   * @param tripNanos its last answer took so long, or -1
   */
  public record Seen(PeerRecord word, long sinceNanos, List<String> suspects, long tripNanos) {}

  /** All that is held of others, by name. */
  public List<Seen> seen() {
    return peers.values().stream()
        .map(
            each ->
                new Seen(each.word, each.sinceNanos, List.copyOf(each.witnesses), each.tripNanos))
        .toList();
  }

  /** What it says of itself. */
  public PeerRecord self() {
    return self;
  }

  /** How slow it finds itself, from 0. */
  public int slowness() {
    return slowness;
  }

  /** Whether another process goes by its name: this one keeps still about itself. */
  public boolean doubled() {
    return doubled;
  }

  /** Says something new of itself. */
  public void facts(PeerAttributes facts) {
    self =
        new PeerRecord(
            self.name(),
            self.address(),
            self.process(),
            self.incarnation() + 1,
            PeerStatus.ALIVE,
            facts);
    selfTold = 0;
  }

  // ---- time ----

  /** To be called ten times in a period or more often. */
  public void tick(long nowNanos, Wire wire) {
    if (!begun) {
      begun = true;
      tickedNanos = nowNanos;
      nextNanos = nowNanos + (long) (random.nextDouble() * pace.periodNanos());
      sync(wire);
    }
    long slept = nowNanos - tickedNanos;
    tickedNanos = nowNanos;
    if (slept > pace.periodNanos()) {
      woke(slept);
    }
    if (left) {
      return;
    }
    if (doubled && nowNanos - doubledNanos > STILL_PERIODS * pace.periodNanos()) {
      doubled = false; // Nobody holds the other one any more, and maybe nobody this one.
      selfTold = 0;
    }
    relayedInTime(nowNanos, wire);
    suspicions(nowNanos);
    patience(nowNanos, wire);
    if (nowNanos - nextNanos >= 0) {
      nextNanos = nowNanos + pace.periodNanos() * (1 + slowness / 2);
      missed();
      probe(nowNanos, wire);
    }
  }

  /**
   * It was stopped: what it waited for may have come meanwhile and was not read. Nobody is
   * condemned for time that it did not live through, nor before it has read what came.
   */
  private void woke(long slept) {
    for (Held each : peers.values()) {
      if (each.word.standing() == PeerStatus.SUSPECT) {
        each.sinceNanos += slept + pace.periodNanos();
      }
    }
    probe = null;
    relayed.clear();
    slowness = Math.min(MOST_SLOWNESS, slowness + 1);
    // It is likely suspected: it says that it is there before it is asked.
    facts(self.attributes());
    nextNanos = tickedNanos;
    probesToSync = 0;
  }

  private void probe(long nowNanos, Wire wire) {
    if (early > 0 || --probesToSync <= 0) {
      early = Math.max(0, early - 1);
      probesToSync = SYNC_PROBES;
      sync(wire);
    }
    Held target = next();
    if (target == null) {
      // Alone: nothing says any more how slow it is, and it looks for others with each probe.
      slowness = Math.max(0, slowness - 1);
      probesToSync = 0;
      return;
    }
    probe = new Probe(++numbers, target.word.name(), nowNanos);
    wire.send(
        target.word.address(),
        new Message.Ping(probe.number, target.word.name(), news(target.word)));
  }

  /** Each of those that are there once in a round, in an order drawn anew. */
  private Held next() {
    for (int pass = 0; pass < 2; pass++) {
      while (!round.isEmpty()) {
        Held held = peers.get(round.poll());
        if (held != null && held.word.standing().there()) {
          return held;
        }
      }
      List<String> names = new ArrayList<>();
      presentPeers().forEach(each -> names.add(each.name()));
      names.remove(self.name());
      for (int i = names.size() - 1; i > 0; i--) {
        Collections.swap(names, i, random.nextInt(i + 1));
      }
      round.addAll(names);
    }
    return null;
  }

  /** Without an answer in time others are asked to try: it may be the way. */
  private void patience(long nowNanos, Wire wire) {
    if (probe == null
        || probe.relayed
        || nowNanos - probe.sentNanos < pace.answerNanos() * (1 + slowness)) {
      return;
    }
    probe.relayed = true;
    Held target = peers.get(probe.name);
    if (target == null) {
      return;
    }
    for (Held each : some(pace.relays(), probe.name)) {
      wire.send(
          each.word.address(),
          new Message.Relay(probe.number, probe.name, target.word.address(), news(target.word)));
    }
  }

  private List<Held> some(int many, String but) {
    List<Held> able = new ArrayList<>();
    for (Held each : peers.values()) {
      if (each.word.standing() == PeerStatus.ALIVE && !each.word.name().equals(but)) {
        able.add(each);
      }
    }
    List<Held> drawn = new ArrayList<>();
    while (drawn.size() < many && !able.isEmpty()) {
      drawn.add(able.remove(random.nextInt(able.size())));
    }
    return drawn;
  }

  /** The probe of the last period had no answer. */
  private void missed() {
    if (probe == null) {
      return;
    }
    Held target = peers.get(probe.name);
    int asked = Math.min(pace.relays(), Math.max(0, presentPeers().size() - 2));
    if (asked > 0 && probe.nacks < asked) {
      slowness = Math.min(MOST_SLOWNESS, slowness + 1); // Not even those who tried answer.
    }
    if (target != null && target.word.standing() == PeerStatus.ALIVE) {
      take(target.word.as(PeerStatus.SUSPECT), self.name(), tickedNanos);
    } else if (target != null) {
      witness(target, self.name());
    }
    probe = null;
  }

  private void suspicions(long nowNanos) {
    for (Held each : List.copyOf(peers.values())) {
      long age = nowNanos - each.sinceNanos;
      if (each.word.standing() == PeerStatus.SUSPECT) {
        if (age > each.spanNanos) {
          take(each.word.as(PeerStatus.DEAD), self.name(), nowNanos);
        }
      } else if (!each.word.standing().there() && age > pace.forgetNanos()) {
        peers.remove(each.word.name());
      }
    }
  }

  /** Somebody suspects it, too: the more, the less time it has. True for one not heard before. */
  private boolean witness(Held held, String by) {
    if (held.witnesses.size() > WITNESSES || !held.witnesses.add(by)) {
      return false;
    }
    int size = presentPeers().size();
    double least = pace.suspicionPeriods() * Math.max(1, Math.log10(size)) * pace.periodNanos();
    int wanted = Math.min(WITNESSES, Math.max(1, size - 2));
    int confirm = Math.min(wanted, held.witnesses.size() - 1);
    double part = Math.log(confirm + 1) / Math.log(wanted + 1);
    held.spanNanos = Math.min(held.spanNanos, (long) (least * (LONGEST - (LONGEST - 1) * part)));
    return true;
  }

  private void relayedInTime(long nowNanos, Wire wire) {
    for (Map.Entry<Long, Relayed> each : List.copyOf(relayed.entrySet())) {
      if (nowNanos - each.getValue().untilNanos() > 0) {
        relayed.remove(each.getKey());
        wire.send(each.getValue().to(), new Message.Nack(each.getValue().number(), news(null)));
      }
    }
  }

  // ---- what comes ----

  /** Takes a message that was sent from an address. */
  public void receive(long nowNanos, String from, Message message, Wire wire) {
    if (left) {
      return;
    }
    for (PeerRecord word : message.news()) {
      heard(word, from, nowNanos);
    }
    if (message instanceof Message.Ping ping) {
      if (ping.name().equals(self.name())) {
        wire.send(from, new Message.Ack(ping.number(), news(null)));
      }
    } else if (message instanceof Message.Ack ack) {
      acked(ack.number(), nowNanos, wire);
    } else if (message instanceof Message.Relay relay) {
      if (relayed.size() < MOST_RELAYED) {
        long number = ++numbers;
        relayed.put(number, new Relayed(relay.number(), from, nowNanos + pace.answerNanos()));
        wire.send(relay.address(), new Message.Ping(number, relay.name(), news(null)));
      }
    } else if (message instanceof Message.Nack nack) {
      if (probe != null && probe.number == nack.number()) {
        probe.nacks++;
      }
    } else if (message instanceof Message.Sync sync) {
      synced(sync, from, wire);
    }
  }

  private void synced(Message.Sync sync, String from, Wire wire) {
    boolean differs = sync.digest() != 0 && sync.digest() != digest();
    if (differs || sync.wanted()) {
      probesToSync = 1; // What one did not know others may not know either.
      boolean back = differs;
      for (List<PeerRecord> words : all()) {
        wire.send(from, new Message.Sync(0, back, words));
        back = false;
      }
    }
  }

  /** The same for all who hold the same of the same peers, in whatever order they heard it. */
  private long digest() {
    long digest = doubled ? 1 : mixed(self);
    for (Held each : peers.values()) {
      // Who is gone is forgotten at another time by each; who is there and suspected may be back.
      digest ^= each.word.standing().there() ? mixed(each.word) : 0;
    }
    return digest == 0 ? 1 : digest;
  }

  private static long mixed(PeerRecord word) {
    long both = (long) word.name().hashCode() << 32 ^ word.process();
    return new SplittableRandom(both + word.incarnation() * 0x9e3779b97f4a7c15L).nextLong();
  }

  private void acked(long number, long nowNanos, Wire wire) {
    Relayed asked = relayed.remove(number);
    if (asked != null) {
      wire.send(asked.to(), new Message.Ack(asked.number(), news(null)));
    } else if (probe != null && probe.number == number) {
      Held held = peers.get(probe.name);
      if (held != null && !probe.relayed) {
        held.tripNanos = nowNanos - probe.sentNanos;
      }
      probe = null;
      slowness = Math.max(0, slowness - 1);
    }
  }

  private void heard(PeerRecord word, String from, long nowNanos) {
    if (word.name().equals(self.name())) {
      ofMyself(word);
      return;
    }
    take(word, from, nowNanos);
  }

  /** Only it can say that it is there; and it does so to whatever else is said of it. */
  private void ofMyself(PeerRecord word) {
    boolean elsewhere = !word.address().equals(self.address());
    if (word.process() != self.process() && elsewhere && word.standing().there()) {
      // Another process by this name. One of the two keeps still until the other is gone.
      doubled |= word.process() > self.process();
      doubledNanos = tickedNanos;
      if (doubled || word.incarnation() < self.incarnation()) {
        return; // Else it has to hear of this one, and others pass on the latest word alone.
      }
    }
    boolean other = word.standing() != PeerStatus.ALIVE || word.process() != self.process();
    if (doubled) {
      // The other one has gone, or it is this one that the others hold: it may be heard.
      doubled = false;
      selfTold = 0;
    }
    if (other && word.incarnation() >= self.incarnation()) {
      self =
          new PeerRecord(
              self.name(),
              self.address(),
              self.process(),
              word.incarnation() + 1,
              PeerStatus.ALIVE,
              self.attributes());
      selfTold = 0;
      slowness = Math.min(MOST_SLOWNESS, slowness + 1);
    }
  }

  private void take(PeerRecord word, String from, long nowNanos) {
    Held held = peers.get(word.name());
    if (held == null) {
      if (peers.size() < MOST_PEERS) {
        // One that is gone is held, too: older news of it may still be on their way.
        Held fresh = new Held(word, nowNanos);
        peers.put(word.name(), fresh);
        if (word.standing() == PeerStatus.SUSPECT) {
          witness(fresh, from);
        }
        // Asked soon, at a place in the round that nobody foresees.
        inRound(word.name(), random.nextBoolean());
      }
      return;
    }
    if (word.before(held.word)) {
      boolean step = word.standing() != held.word.standing();
      held.word = word;
      held.told = 0;
      if (step) {
        held.sinceNanos = nowNanos;
        held.witnesses.clear();
        held.spanNanos = Long.MAX_VALUE;
      }
      if (step && word.standing() == PeerStatus.SUSPECT) {
        inRound(word.name(), true); // Asked next, and told: it may only have been slow.
      }
    }
    if (word.standing() == PeerStatus.SUSPECT
        && held.word.standing() == PeerStatus.SUSPECT
        && word.incarnation() == held.word.incarnation()
        && witness(held, from)) {
      held.told = Math.min(held.told, 1); // Worth saying again: somebody else suspects it, too.
    }
  }

  private void inRound(String name, boolean next) {
    round.remove(name);
    if (next) {
      round.addFirst(name);
    } else {
      round.addLast(name);
    }
  }

  // ---- what is said ----

  /** The least told first; of one that is suspected itself is told first of all. */
  private List<PeerRecord> news(PeerRecord to) {
    List<PeerRecord> words = new ArrayList<>();
    int most = (int) Math.ceil(TIMES * Math.log(presentPeers().size() + 1) / Math.log(2));
    if (to != null && to.standing() == PeerStatus.SUSPECT) {
      words.add(to);
    }
    if (selfTold < most && !doubled) {
      selfTold++;
      words.add(self);
    }
    List<Held> fresh = new ArrayList<>();
    for (Held each : peers.values()) {
      if (each.told < most) {
        fresh.add(each);
      }
    }
    fresh.sort(Comparator.comparingInt(each -> each.told));
    for (Held each : fresh) {
      if (words.size() >= MOST_NEWS) {
        break;
      }
      if (to == null || !each.word.name().equals(to.name()) || words.isEmpty()) {
        each.told++;
        words.add(each.word);
      }
    }
    return words;
  }

  /** All that is known, in messages of bounded size. */
  private List<List<PeerRecord>> all() {
    List<PeerRecord> words = new ArrayList<>();
    if (!doubled) {
      words.add(self);
    }
    peers.values().forEach(each -> words.add(each.word));
    List<List<PeerRecord>> parts = new ArrayList<>();
    for (int from = 0; from < words.size(); from += MOST_NEWS) {
      parts.add(words.subList(from, Math.min(words.size(), from + MOST_NEWS)));
    }
    return parts;
  }

  /**
   * A look with one that is there, and one with somebody who is not: a split may have made two
   * fleets of one, and one that died and is back may know nobody.
   */
  private void sync(Wire wire) {
    List<String> absent = new ArrayList<>(seeds);
    absent.remove(self.address());
    for (Held each : peers.values()) {
      if (each.word.standing() == PeerStatus.DEAD) {
        absent.add(each.word.address());
      } else {
        absent.remove(each.word.address());
      }
    }
    List<String> asked = new ArrayList<>();
    some(1, "").forEach(each -> asked.add(each.word.address()));
    if (!absent.isEmpty()) {
      asked.add(absent.get(random.nextInt(absent.size())));
    }
    for (String to : asked) {
      wire.send(to, new Message.Sync(digest(), false, news(null)));
    }
  }

  /** Says that it goes; nothing more is sent after it. */
  public void leave(Wire wire) {
    PeerRecord last =
        new PeerRecord(
            self.name(),
            self.address(),
            self.process(),
            self.incarnation() + 1,
            PeerStatus.LEFT,
            self.attributes());
    for (Held each : some(pace.relays(), "")) {
      wire.send(each.word.address(), new Message.Sync(0, false, List.of(last)));
    }
    left = true;
  }
}
