package maplehall;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** One upstream as discovery names it, and this balancer's idle connections to it. */
final class Upstream {
  final long id;
  final String name;
  InetSocketAddress address;
  long startedMillis;

  /** Draining or gone: connections to it are not kept. */
  boolean unwanted;

  /** No longer on discovery's list. */
  boolean removed;

  /** Newest last: the newest is the least likely to be closed by the other side. */
  final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  /** Attempts that are out, and since when nothing at all has come back. */
  int attempts;

  long silentSinceNanos;

  Upstream(long id, String name) {
    this.id = id;
    this.name = name;
  }
}
