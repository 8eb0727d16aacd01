package heathswitch.policy.gossip;

import java.util.List;

/** What peers send each other; every one carries news. */
public sealed interface Message {
  List<PeerRecord> news();

  /** Are you there? Meant for the peer of that name alone. */
  record Ping(long number, String name, List<PeerRecord> news) implements Message {
    public Ping {
      news = List.copyOf(news);
    }
  }

  /** I am. */
  record Ack(long number, List<PeerRecord> news) implements Message {
    public Ack {
      news = List.copyOf(news);
    }
  }

  /** Ask that peer for me. */
  record Relay(long number, String name, String address, List<PeerRecord> news) implements Message {
    public Relay {
      news = List.copyOf(news);
    }
  }

  /** I have asked and was not answered in time; so at least my own way to you is good. */
  record Nack(long number, List<PeerRecord> news) implements Message {
    public Nack {
      news = List.copyOf(news);
    }
  }

  /**
   * A look whether two know the same, or some of all that one knows.
   *
   * @param digest of all that is known: who knows other things sends them; 0 for no look
   * @param wanted whether all that the other knows is wanted
   */
  record Sync(long digest, boolean wanted, List<PeerRecord> news) implements Message {
    public Sync {
      news = List.copyOf(news);
    }
  }
}
