package heathswitch.testbed.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.runtime.Listeners;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A stub of the discovery service. If balancers call it for the list, it is a single service for
 * all of them: it processes calls one after another and rejects a call whose answer would take too
 * long. If lists are pushed, it stands for the agents beside the balancers, which answer
 * immediately and send nothing during an outage of discovery. Tests can inject an outage, load by
 * other callers, and resets of open watches. Each balancer has an endpoint with its own address, so
 * that the stub knows what each of them was sent. All state belongs to one event loop; the methods
 * may be called from any other thread.
 */
public final class DiscoveryStub implements AutoCloseable {
  /** The longest time that a call waits for its answer; after that it fails. */
  static final long CALL_TIMEOUT_MILLIS = 3000;

  private static final long HEARTBEAT_MILLIS = 2000;

  private static final int MAX_REQUEST_BYTES = 4096;

  /** The processing time of a rejected call, as a fraction of that of an answered one. */
  private static final double REJECTED_CALL_COST = 0.2;

  /** A change of the list, and the time at which discovery made it. */
  record Change(long revision, ListedMember member, long nanos) {}

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final SplittableRandom random;
  private final boolean pushed;
  private final long mustAskNanos;
  private final Map<String, ListedMember> members = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final DiscoveryOutages outages = new DiscoveryOutages();
  private long revision;
  private long busyUntilNanos = System.nanoTime();
  private long callNanos = MILLISECONDS.toNanos(5);
  private double otherCallsPerSecond;
  private boolean down;
  private boolean rejecting;

  /**
   * Creates a stub with an empty list.
   *
   * @param seed of the arrival times of other callers
   * @param pushed whether lists are pushed by agents, instead of being called for
   * @param mustAskMillis how long a balancer without a watch may use its list after its last call
   */
  public DiscoveryStub(long seed, boolean pushed, long mustAskMillis) {
    random = new SplittableRandom(seed);
    this.pushed = pushed;
    this.mustAskNanos = MILLISECONDS.toNanos(mustAskMillis);
  }

  // ---- the list ----

  /** Adds an upstream to the list, or changes or removes one, and sends this to open watches. */
  void publish(ListedMember member) {
    run(
        () -> {
          revision++;
          if (member.phase() == ListedMember.Phase.TERMINATED) {
            members.remove(member.id());
          } else {
            members.put(member.id(), member);
          }
          changes.add(new Change(revision, member, System.nanoTime()));
          endpoints.values().forEach(Endpoint::sendChanges);
          return null;
        });
  }

  ListedMember member(String id) {
    return run(() -> members.get(id));
  }

  /** The complete list in discovery's format, as a balancer's configuration contains it. */
  Map<String, Object> knownList() {
    return run(() -> document(true, members.values()));
  }

  private Map<String, Object> document(boolean complete, Collection<ListedMember> entries) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("revision", revision);
    document.put("complete", complete);
    document.put("members", entries.stream().map(ListedMember::json).toList());
    return document;
  }

  // ---- fault injection ----

  /**
   * Begins or ends an outage. While it lasts, calls wait and then fail, and watches are reset; if
   * lists are pushed, agents keep calls and watches open and send nothing until its end.
   */
  public void setDown(boolean on) {
    run(
        () -> {
          down = on;
          outages.setDown(on, System.nanoTime());
          if (on && !pushed) {
            endpoints.values().forEach(Endpoint::resetWatches);
          } else if (!on && pushed) {
            endpoints.values().forEach(Endpoint::recover);
          }
          return null;
        });
  }

  /** Rejects all calls immediately, as a service with a full queue does. */
  public void setRejecting(boolean on) {
    run(() -> rejecting = on);
  }

  /**
   * Closes the listener and the watches of one balancer's endpoint, so that its connections are
   * refused while discovery serves all others; or opens the listener again.
   */
  public void setRefusing(String balancer, boolean on) {
    run(
        () -> {
          endpoints.computeIfAbsent(balancer, name -> new Endpoint()).setRefusing(on);
          return null;
        });
  }

  /** Sets the processing time of one call, and how many calls of others arrive per second. */
  public void setLoad(long callMillis, double othersPerSecond) {
    run(
        () -> {
          boolean idle = otherCallsPerSecond <= 0;
          callNanos = MILLISECONDS.toNanos(callMillis);
          otherCallsPerSecond = othersPerSecond;
          if (idle && othersPerSecond > 0) {
            scheduleOtherCall();
          }
          return null;
        });
  }

  /** Adds work of other callers to the queue. */
  public void addBacklog(long millis) {
    run(
        () ->
            busyUntilNanos =
                Math.max(busyUntilNanos, System.nanoTime()) + MILLISECONDS.toNanos(millis));
  }

  /** Resets all open watches. */
  public void resetWatches() {
    run(
        () -> {
          endpoints.values().forEach(Endpoint::resetWatches);
          return null;
        });
  }

  /** Stops sending on the watches that are open now, without closing them. */
  public void silenceWatches() {
    run(
        () -> {
          endpoints.values().forEach(Endpoint::silence);
          return null;
        });
  }

  private void scheduleOtherCall() {
    long wait = (long) (-Math.log(1 - random.nextDouble()) / otherCallsPerSecond * 1e9);
    loop.schedule(
        () -> {
          if (otherCallsPerSecond > 0) {
            enqueue();
            scheduleOtherCall();
          }
        },
        wait,
        NANOSECONDS);
  }

  /** Queues a call that arrives now; the time of its answer, or -1 if it is rejected. */
  private long enqueue() {
    long now = System.nanoTime();
    long end = Math.max(now, busyUntilNanos) + callNanos;
    if (rejecting || end - now > MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS)) {
      busyUntilNanos = Math.max(now, busyUntilNanos) + (long) (REJECTED_CALL_COST * callNanos);
      return -1;
    }
    busyUntilNanos = end;
    return end;
  }

  // ---- balancers ----

  /**
   * Opens a new address for a balancer's calls and closes its former one.
   *
   * @param reloaded whether a running process is told of it; a new process starts with it, and the
   *     time until a change counts as delivered after a reload does not apply
   */
  public InetSocketAddress openEndpoint(String balancer, boolean reloaded)
      throws InterruptedException {
    Endpoint endpoint = run(() -> endpoints.computeIfAbsent(balancer, name -> new Endpoint()));
    return endpoint.move(reloaded);
  }

  /** Records that a balancer's process starts, with the list in its configuration. */
  void balancerStarted(String balancer) {
    run(
        () -> {
          endpoints.get(balancer).history.balancerStarted(System.nanoTime());
          return null;
        });
  }

  /** The time from which a change counts as delivered to a balancer. */
  long deliveryNanos(String balancer, Change change) {
    return run(
        () -> {
          EndpointHistory history = endpoints.get(balancer).history;
          return pushed
              ? history.pushedDeliveryNanos(change, outages.endOfSpan(change.nanos(), 0))
              : history.polledDeliveryNanos(change, outages, mustAskNanos);
        });
  }

  /** The number of balancers with an answered watch that has not been silenced. */
  public int watchingBalancers() {
    return run(
        () ->
            (int)
                endpoints.values().stream()
                    .filter(endpoint -> endpoint.watches.stream().anyMatch(watch -> !watch.silent))
                    .count());
  }

  List<Change> changes() {
    return run(() -> List.copyOf(changes));
  }

  /** The number of calls received, and of those rejected among them. */
  public long[] callCounts() {
    return run(
        () -> {
          long[] sums = new long[2];
          for (Endpoint endpoint : endpoints.values()) {
            sums[0] += endpoint.calls;
            sums[1] += endpoint.rejected;
          }
          return sums;
        });
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private <T> T run(Callable<T> task) {
    return loop.submit(task).syncUninterruptibly().getNow();
  }

  private static void reset(Channel channel) {
    if (channel instanceof SocketChannel socket && socket.isOpen()) {
      socket.config().setSoLinger(0);
    }
    channel.close();
  }

  /** The address that one balancer calls, and the history of what it was sent there. */
  private final class Endpoint {
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final EndpointHistory history = new EndpointHistory();

    /** Calls to an agent during an outage of discovery; answered at its end. */
    private final List<Runnable> heldCalls = new ArrayList<>();

    private Channel listener;
    private boolean refusing;
    private InetSocketAddress address;
    private long calls;
    private long rejected;

    InetSocketAddress move(boolean reloaded) throws InterruptedException {
      Channel next =
          Listeners.bootstrap(loop, this::initialize)
              .bind(new InetSocketAddress("127.0.0.1", 0))
              .sync()
              .channel();
      run(
          () -> {
            if (listener != null) {
              if (reloaded) {
                history.endpointMoved(System.nanoTime());
              }
              listener.close();
              resetWatches();
            }
            listener = next;
            address = (InetSocketAddress) next.localAddress();
            if (refusing) {
              listener.close();
            }
            return null;
          });
      return (InetSocketAddress) next.localAddress();
    }

    void setRefusing(boolean on) {
      boolean change = on != refusing;
      refusing = on;
      if (listener == null || !change) {
        return;
      }
      if (on) {
        listener.close();
        resetWatches();
      } else {
        listener = Listeners.bootstrap(loop, this::initialize).bind(address).channel();
      }
    }

    private void initialize(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new HttpServerCodec(),
              new HttpObjectAggregator(MAX_REQUEST_BYTES),
              new SimpleChannelInboundHandler<FullHttpRequest>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                  handleCall(ctx.channel(), request.uri());
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                  ctx.close();
                }
              });
    }

    private void handleCall(Channel channel, String uri) {
      calls++;
      Runnable failed = history.callReceived(System.nanoTime());
      if (down && pushed) {
        heldCalls.add(() -> answer(channel, uri));
        return;
      }
      if (down) {
        failed.run();
        loop.schedule(() -> fail(channel), CALL_TIMEOUT_MILLIS, MILLISECONDS);
        return;
      }
      long answered = pushed ? System.nanoTime() : enqueue();
      if (answered < 0) {
        rejected++;
        failed.run();
        fail(channel);
        return;
      }
      long wait = Math.max(0, answered - System.nanoTime());
      loop.schedule(
          () -> {
            if (down) {
              failed.run();
            }
            answer(channel, uri);
          },
          wait,
          NANOSECONDS);
    }

    private void fail(Channel channel) {
      FullHttpResponse answer =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
      HttpUtil.setContentLength(answer, 0);
      channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    private void answer(Channel channel, String uri) {
      if (!channel.isActive()) {
        return;
      }
      if (down) {
        fail(channel);
        return;
      }
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      HttpUtil.setTransferEncodingChunked(head, true);
      head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      channel.write(head);
      List<String> index = new QueryStringDecoder(uri).parameters().get("index");
      Watch watch = new Watch(channel, index == null ? -1 : Long.parseLong(index.get(0)));
      watches.add(watch);
      Runnable ended = history.watchOpened(System.nanoTime());
      channel
          .closeFuture()
          .addListener(
              closed -> {
                watches.remove(watch);
                ended.run();
              });
      sendList(watch);
      scheduleHeartbeat(watch);
    }

    private void scheduleHeartbeat(Watch watch) {
      loop.schedule(
          () -> {
            if (watch.channel.isActive()) {
              if (!watch.silent && !down) {
                writeLine(watch, "\n");
              }
              scheduleHeartbeat(watch);
            }
          },
          HEARTBEAT_MILLIS,
          MILLISECONDS);
    }

    private void sendChanges() {
      if (!down) {
        watches.stream().filter(watch -> !watch.silent).forEach(this::sendList);
      }
    }

    /** Answers held calls and sends missed changes on open watches, after an outage. */
    void recover() {
      List<Runnable> calls = List.copyOf(heldCalls);
      heldCalls.clear();
      calls.forEach(Runnable::run);
      sendChanges();
    }

    void silence() {
      if (!watches.isEmpty()) {
        history.watchesSilenced(System.nanoTime());
        watches.forEach(watch -> watch.silent = true);
      }
    }

    /**
     * Sends the changes since the revision that the watch was last sent, or the complete list if
     * that revision is unknown.
     */
    private void sendList(Watch watch) {
      boolean complete = watch.sentRevision < 0 || watch.sentRevision > revision;
      Map<String, ListedMember> entries = new LinkedHashMap<>();
      for (Change change : changes) {
        if (complete || change.revision() > watch.sentRevision) {
          history.changeSent(change.revision(), System.nanoTime());
          entries.put(change.member().id(), change.member());
        }
      }
      try {
        Collection<ListedMember> listed = complete ? members.values() : entries.values();
        writeLine(watch, JSON.std.asString(document(complete, listed)) + "\n");
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      watch.sentRevision = revision;
    }

    private void writeLine(Watch watch, String text) {
      watch.channel.writeAndFlush(
          new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    private void resetWatches() {
      List.copyOf(watches).forEach(watch -> reset(watch.channel));
    }
  }

  /** An open response on which list changes are sent, one JSON document a line. */
  private static final class Watch {
    private final Channel channel;
    private long sentRevision;
    private boolean silent;

    Watch(Channel channel, long sentRevision) {
      this.channel = channel;
      this.sentRevision = sentRevision;
    }
  }
}
