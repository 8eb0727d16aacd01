package heathswitch.proxy.node;

import heathswitch.policy.api.Settings;
import java.net.InetSocketAddress;

/**
 * The settings of a node that don't depend on the source of its list of upstreams.
 *
 * @param reusePort whether another process may listen for clients at the same address
 * @param maxDescriptors limit of open file descriptors of the process, including the JVM's own
 */
public record NodeSettings(
    String name,
    InetSocketAddress listen,
    boolean reusePort,
    long seed,
    int maxDescriptors,
    Settings policySettings) {}
