package heathswitch.testbed.platform;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One upstream in discovery's list.
 *
 * @param startedMillis Unix time of its last start; 0 if that was long ago
 */
record ListedMember(String id, InetSocketAddress address, Phase phase, long startedMillis) {
  /** The state of an upstream in discovery's list. */
  enum Phase {
    IN_SERVICE("in_service"),
    TERMINATING("terminating"),
    TERMINATED("terminated");

    private final String jsonValue;

    Phase(String jsonValue) {
      this.jsonValue = jsonValue;
    }
  }

  ListedMember withPhase(Phase next) {
    return new ListedMember(id, address, next, startedMillis);
  }

  /** The member in discovery's JSON format. */
  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("id", id);
    json.put("host_port", address.getAddress().getHostAddress() + ':' + address.getPort());
    json.put("locality", "a");
    json.put("flavor", "std");
    json.put("cell", 1);
    json.put("phase", phase.jsonValue);
    json.put("size", 1.0);
    json.put("up_since_ms", startedMillis);
    return json;
  }
}
