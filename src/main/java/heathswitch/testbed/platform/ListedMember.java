package heathswitch.testbed.platform;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One upstream as discovery lists it.
 *
 * @param startedMillis when it last started, in Unix time; 0 for long ago
 */
record ListedMember(String id, InetSocketAddress address, Phase phase, long startedMillis) {
  /** What discovery says of an upstream. */
  enum Phase {
    IN_SERVICE("in_service"),
    TERMINATING("terminating"),
    TERMINATED("terminated");

    private final String word;

    Phase(String word) {
      this.word = word;
    }
  }

  ListedMember with(Phase next) {
    return new ListedMember(id, address, next, startedMillis);
  }

  /** In discovery's form. */
  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("id", id);
    json.put("host_port", address.getAddress().getHostAddress() + ':' + address.getPort());
    json.put("locality", "a");
    json.put("flavor", "std");
    json.put("cell", 1);
    json.put("phase", phase.word);
    json.put("size", 1.0);
    json.put("up_since_ms", startedMillis);
    return json;
  }
}
