package heathswitch.proxy.members;

import heathswitch.policy.members.ListDecision;
import heathswitch.proxy.admin.AdminServer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The pages of the admin listener for the server list: its status, and its confirmation. */
public final class MembersPages {
  private MembersPages() {}

  /** Adds {@code GET /members} and {@code POST /members/confirm/VERSION}. */
  public static void add(AdminServer admin, MembersWatcher watcher) {
    admin.get(
        "members", (rest, reply) -> reply.accept(AdminServer.Reply.ok(json(watcher.status()))));
    admin.post(
        "members",
        (rest, reply) -> {
          long version = rest.matches("confirm/\\d{1,18}") ? Long.parseLong(rest.substring(8)) : -1;
          if (version < 0) {
            reply.accept(AdminServer.Reply.error(404, "members/confirm/VERSION expected"));
            return;
          }
          watcher.confirm(version, decision -> reply.accept(confirmReply(decision)));
        });
  }

  private static AdminServer.Reply confirmReply(ListDecision decision) {
    if (decision instanceof ListDecision.Accepted accepted) {
      return AdminServer.Reply.ok(Map.of("accepted", accepted.version()));
    }
    List<String> reasons =
        decision instanceof ListDecision.Refused refused
            ? refused.reasons()
            : List.of("not accepted");
    return AdminServer.Reply.error(409, String.join("; ", reasons));
  }

  static Map<String, Object> json(MembersStatus status) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("version", status.version());
    json.put("accepted_at_ms", status.acceptedMillis());
    json.put("age_s", (System.currentTimeMillis() - status.acceptedMillis()) / 1000);
    json.put("applied", status.applied());
    json.put("source", status.source());
    json.put("digest", status.digest());
    json.put("servers", status.servers());
    json.put("in_service", status.inService());
    json.put("draining", status.draining());
    json.put("accepted_total", status.acceptedTotal());
    json.put("refused_total", status.refusedTotal());
    if (status.pending() != null) {
      Map<String, Object> pending = new LinkedHashMap<>();
      pending.put("version", status.pending().version());
      pending.put("since_ms", status.pending().sinceMillis());
      pending.put("reasons", status.pending().reasons());
      pending.put("added", status.pending().added());
      pending.put("removed", status.pending().removed());
      pending.put("changed", status.pending().changed());
      json.put("held", pending);
    }
    json.put(
        "refusals",
        status.refusals().stream()
            .map(each -> Map.of("at_ms", each.atMillis(), "reasons", each.reasons()))
            .toList());
    if (status.stateError() != null) {
      json.put("state_trouble", status.stateError());
    }
    return json;
  }
}
