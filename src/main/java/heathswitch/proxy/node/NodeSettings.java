package heathswitch.proxy.node;

import heathswitch.policy.api.Settings;
import java.net.InetSocketAddress;

/**
 * What every balancer is told, wherever its list of upstreams comes from.
 *
 * @param shared whether another process may listen for clients at the same address
 * @param sockets descriptors that the process may hold, the JVM's own among them
 */
public record NodeSettings(
    String name,
    InetSocketAddress listen,
    boolean reusePort,
    long seed,
    int maxDescriptors,
    Settings settings) {}
