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

/** The gateway of a node: assembles its parts and provides the pages for operators. */
public final class SiteGateway implements AutoCloseable {
  /** The header that no client may send: a trail is only trusted from an authenticated peer. */
  public static final String TRAIL = SiteHeaders.TRAIL.toString();

  private final Node node;
  private final Gateway gateway;
  private final IdentityFiles identityFiles;
  private OutboundLinks outboundLinks;
  private InboundLinks inboundLinks;

  /** A file of the identity cannot be used; the message names the file and the reason. */
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
    node.addListener(context -> createListener(context, table, identity));
    node.dispatcher().setOverflowRouter(outboundLinks);
    identityFiles =
        identity == null
            ? null
            : new IdentityFiles(
                table.keys(),
                table.site(),
                next -> node.loop().execute(() -> outboundLinks.identity(next)));
  }

  private ProtocolListener createListener(
      ProtocolListener.Context context, GatewayTable table, Identity identity) {
    outboundLinks = new OutboundLinks(table, gateway, context, identity);
    inboundLinks = new InboundLinks(table, gateway, outboundLinks, context);
    return inboundLinks;
  }

  private static Identity identity(GatewayTable table) throws InvalidCertificateException {
    try {
      return table.keys() == null ? null : Identity.read(table.keys(), table.site());
    } catch (Identity.UnusableFileException e) {
      throw new InvalidCertificateException(e.getMessage());
    }
  }

  /** Returns the problem with the certificates of a configuration, or null if there is none. */
  public static String certificateFault(GatewayTable table) {
    try {
      identity(table);
      return null;
    } catch (InvalidCertificateException e) {
      return e.getMessage();
    }
  }

  /** Returns the address to which gateways of peer sites connect; only after the start. */
  public InetSocketAddress address() {
    return inboundLinks.address();
  }

  /** Adds {@code GET /gateway}, {@code POST /gateway/drain/LINK} and {@code .../resume/LINK}. */
  public void addPages(AdminServer admin) {
    admin.get("gateway", (path, reply) -> reply.accept(AdminServer.Reply.ok(status())));
    admin.post("gateway", (path, reply) -> reply.accept(drainOrResume(path)));
  }

  /** Handles an operator's request to drain or resume; must be called on the event loop. */
  AdminServer.Reply drainOrResume(String path) {
    boolean drain = path.startsWith("drain/");
    if (!drain && !path.startsWith("resume/")) {
      return AdminServer.Reply.error(404, "gateway/drain/LINK or gateway/resume/LINK expected");
    }
    String name = path.substring(path.indexOf('/') + 1);
    return outboundLinks.drain(name, drain)
        ? AdminServer.Reply.ok(status())
        : AdminServer.Reply.error(404, "no link or site " + name);
  }

  /** Returns the status page for operators; must be called on the event loop. */
  public Map<String, Object> status() {
    long now = outboundLinks.now();
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("site", gateway.site());
    Identity identity = outboundLinks.identity();
    status.put(
        "certificate_until",
        identity == null ? "insecure" : identity.expiry().toInstant().toString());
    List<Object> links = new ArrayList<>();
    outboundLinks.forEach(peer -> links.add(linkStatus(peer, now)));
    status.put("links", links);
    Map<String, Object> notForwarded = new LinkedHashMap<>();
    for (Gateway.NotForwardedReason reason : Gateway.NotForwardedReason.values()) {
      notForwarded.put(
          reason.name().toLowerCase(Locale.ROOT), gateway.notForwarded(reason.ordinal()));
    }
    status.put("kept", notForwarded);
    Map<String, Object> fromPeerSites = new LinkedHashMap<>();
    inboundLinks.forEachPeerSite((site, counters) -> fromPeerSites.put(site, counters.json()));
    status.put("from", fromPeerSites);
    Map<String, Object> admission = new LinkedHashMap<>();
    admission.put("room", gateway.room(now));
    admission.put("lent", gateway.admittedCalls());
    admission.put("window", gateway.admissionWindow());
    admission.put("strained", gateway.isCongested(now));
    status.put("lending", admission);
    return status;
  }

  private static Map<String, Object> linkStatus(PeerGateway peer, long now) {
    PeerLink.View view = peer.link.view(now);
    Map<String, Object> link = new LinkedHashMap<>();
    link.put("link", peer.upstream.name);
    link.put("state", view.drained() ? "drained" : peer.connectionState(now));
    link.putAll(peer.counters.json());
    link.put("in_flight", view.inFlight());
    link.put("window", view.window());
    link.put("room", view.remoteRoom() == null ? "unknown" : view.remoteRoom());
    link.put("there_and_back_ms", Math.round(view.roundTripNanos() / 1e4) / 100.0);
    link.put("breaks", view.breaks());
    return link;
  }

  /** Closes the links and stops watching the files; calls in flight on the links are lost. */
  @Override
  public void close() {
    if (identityFiles != null) {
      identityFiles.close();
    }
    if (!node.loop().isShuttingDown()) {
      node.loop().execute(outboundLinks::close);
    }
  }
}
