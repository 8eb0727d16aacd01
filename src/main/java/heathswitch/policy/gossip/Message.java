package heathswitch.policy.gossip;

import java.util.List;

/** Messages between peers; each carries piggybacked membership updates. */
public sealed interface Message {
  List<PeerRecord> updates();

  /** Probe of the peer with the given name; a process with another name does not answer it. */
  record Ping(long number, String name, List<PeerRecord> updates) implements Message {
    public Ping {
      updates = List.copyOf(updates);
    }
  }

  /** Answer to the ping with the same number. */
  record Ack(long number, List<PeerRecord> updates) implements Message {
    public Ack {
      updates = List.copyOf(updates);
    }
  }

  /** Indirect ping: asks the receiver to probe another peer on behalf of the sender. */
  record Relay(long number, String name, String address, List<PeerRecord> updates)
      implements Message {
    public Relay {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Reports that an indirect probe was not answered in time. To the peer that asked for it this
   * shows that at least its own connection to the relaying peer works.
   */
  record Nack(long number, List<PeerRecord> updates) implements Message {
    public Nack {
      updates = List.copyOf(updates);
    }
  }

  /**
   * Anti-entropy: a comparison of two peers' views of the membership, or a part of the sender's
   * full state.
   *
   * @param digest hash of the sender's view; a receiver whose own digest differs replies with its
   *     full state. 0 requests no comparison
   * @param stateWanted whether the sender asks for the receiver's full state
   */
  record Sync(long digest, boolean stateWanted, List<PeerRecord> updates) implements Message {
    public Sync {
      updates = List.copyOf(updates);
    }
  }
}
