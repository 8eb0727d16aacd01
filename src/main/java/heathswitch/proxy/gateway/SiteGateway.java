package heathswitch.proxy.gateway;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.gateway.Gateway;
import heathswitch.policy.gateway.PeerLink;
import heathswitch.proxy.admin.AdminServer;
import heathswitch.proxy.node.Node;
import heathswitch.proxy.node.ProtocolListener;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The gateway of a node: puts its parts together, and shows them to operators. */
public final class SiteGateway implements AutoCloseable {
  /** The header that no client may send: a trail is believed of an authenticated peer alone. */
  public static final String TRAIL = SiteHeaders.TRAIL.toString();

  private final Node node;
  private final Gateway gateway;
  private final IdentityFiles files;
  private OutboundLinks outward;
  private InboundLinks inward;

  /** The certificates cannot be used; the message names the file and the reason. */
  public static final class InvalidCertificateException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidCertificateException(String message) {
      super(message);
    }
  }

  /** Adds a gateway to a node that has not been started. */
  public SiteGateway(Node node, GatewayTable table, List<RequestClass> classes, long seed)
      throws InvalidCertificateException {
    this.node = node;
    gateway = new Gateway(table.site(), classes, seed);
    Identity identity = identity(table);
    node.addListener(parts -> front(parts, table, identity));
    node.dispatcher().setOverflowRouter(outward);
    files =
        identity == null
            ? null
            : new IdentityFiles(
                table.keys(),
                table.site(),
                next -> node.loop().execute(() -> outward.identity(next)));
  }

  private ProtocolListener front(
      ProtocolListener.Context parts, GatewayTable table, Identity identity) {
    outward = new OutboundLinks(table, gateway, parts, identity);
    inward = new InboundLinks(table, gateway, outward, parts);
    return inward;
  }

  private static Identity identity(GatewayTable table) throws InvalidCertificateException {
    try {
      return table.keys() == null ? null : Identity.read(table.keys(), table.site());
    } catch (Identity.UnusableFileException e) {
      throw new InvalidCertificateException(e.getMessage());
    }
  }

  /** What is wrong with the certificates that a table names, or null. */
  public static String certificateFault(GatewayTable table) {
    try {
      identity(table);
      return null;
    } catch (InvalidCertificateException e) {
      return e.getMessage();
    }
  }

  /** Where gateways of other sites connect; after the start. */
  public InetSocketAddress address() {
    return inward.address();
  }

  /** Adds {@code GET /gateway}, {@code POST /gateway/drain/LINK} and {@code .../resume/LINK}. */
  public void addPages(AdminServer admin) {
    admin.get("gateway", (rest, reply) -> reply.accept(AdminServer.Reply.ok(status())));
    admin.post("gateway", (rest, reply) -> reply.accept(change(rest)));
  }

  /** Carries out what an operator asks; on the loop. */
  AdminServer.Reply change(String rest) {
    boolean out = rest.startsWith("drain/");
    if (!out && !rest.startsWith("resume/")) {
      return AdminServer.Reply.error(404, "gateway/drain/LINK or gateway/resume/LINK expected");
    }
    String name = rest.substring(rest.indexOf('/') + 1);
    return outward.drain(name, out)
        ? AdminServer.Reply.ok(status())
        : AdminServer.Reply.error(404, "no link or site " + name);
  }

  /** What operators are shown; on the loop. */
  public Map<String, Object> status() {
    long now = outward.now();
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("site", gateway.site());
    Identity identity = outward.identity();
    status.put(
        "certificate_until",
        identity == null ? "insecure" : identity.until().toInstant().toString());
    List<Object> links = new ArrayList<>();
    outward.forEach(far -> links.add(link(far, now)));
    status.put("links", links);
    Map<String, Object> kept = new LinkedHashMap<>();
    for (Gateway.NotForwardedReason why : Gateway.NotForwardedReason.values()) {
      kept.put(why.name().toLowerCase(Locale.ROOT), gateway.notForwarded(why.ordinal()));
    }
    status.put("kept", kept);
    Map<String, Object> from = new LinkedHashMap<>();
    inward.forEachPeer((site, counts) -> from.put(site, counts.json()));
    status.put("from", from);
    Map<String, Object> lending = new LinkedHashMap<>();
    lending.put("room", gateway.room(now));
    lending.put("lent", gateway.admittedCalls());
    lending.put("window", gateway.admissionWindow());
    lending.put("strained", gateway.isCongested(now));
    status.put("lending", lending);
    return status;
  }

  private static Map<String, Object> link(PeerGateway far, long now) {
    PeerLink.View view = far.state.view(now);
    Map<String, Object> link = new LinkedHashMap<>();
    link.put("link", far.place.name);
    link.put("state", view.drained() ? "drained" : far.linkState(now));
    link.putAll(far.counts.json());
    link.put("in_flight", view.inFlight());
    link.put("window", view.window());
    link.put("room", view.remoteRoom() == null ? "unknown" : view.remoteRoom());
    link.put("there_and_back_ms", Math.round(view.roundTripNanos() / 1e4) / 100.0);
    link.put("breaks", view.breaks());
    return link;
  }

  /** Ends the links and the watching of files; calls that are out are lost with them. */
  @Override
  public void close() {
    if (files != null) {
      files.close();
    }
    if (!node.loop().isShuttingDown()) {
      node.loop().execute(outward::close);
    }
  }
}
