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
 * A stand-in for discovery. Where it is asked it is one service for all balancers, which works
 * through calls in turn and turns a call away when its answer would take too long; where lists are
 * pushed it stands for the agents beside the balancers, which answer at once and say nothing while
 * discovery is down. It can be down, busy with other callers, or forget its open watches. Each
 * balancer asks at an address of its own, so that it is known what each has been sentRevision.
 * Everything lives on one event loop; the methods may be called from any other thread.
 */
public final class DiscoveryStub implements AutoCloseable {
  /** A call waits for so long at most, and is then failed. */
  static final long CALL_TIMEOUT_MILLIS = 3000;

  private static final long HEARTBEAT_MILLIS = 2000;

  private static final int MAX_REQUEST_BYTES = 4096;

  /** What a call that is turned away costs, as a part of one that is answered. */
  private static final double REJECTED_CALL_COST = 0.2;

  /** A change of the list, and when discovery had it. */
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
   * One that lists nothing yet.
   *
   * @param pushed whether it stands for agents that have the list, or is asked for it
   * @param mustAskMillis for which a balancer with no watch is heldCalls to its list
   */
  public DiscoveryStub(long seed, boolean pushed, long mustAskMillis) {
    random = new SplittableRandom(seed);
    this.pushed = pushed;
    this.mustAskNanos = MILLISECONDS.toNanos(mustAskMillis);
  }

  // ---- what it lists ----

  /** Lists an upstream, or tells of a change of one. */
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

  /** The complete list in discovery's form, as a balancer knows it at its start. */
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

  // ---- what goes wrong ----

  /** Down: watches are reset, calls wait and end with an error. */
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

  /** Turns all calls away at once, as one does whose queue is full. */
  public void setRejecting(boolean on) {
    run(() -> rejecting = on);
  }

  /** Nobody listens any more where this one balancer asks, though discovery runs; or again. */
  public void setRefusing(String balancer, boolean on) {
    run(
        () -> {
          endpoints.computeIfAbsent(balancer, any -> new Endpoint()).refuse(on);
          return null;
        });
  }

  /** How long one call takes, and how many calls of others come in a second. */
  public void setLoad(long callMillis, double others) {
    run(
        () -> {
          boolean idle = otherCallsPerSecond <= 0;
          callNanos = MILLISECONDS.toNanos(callMillis);
          otherCallsPerSecond = others;
          if (idle && others > 0) {
            scheduleOtherCall();
          }
          return null;
        });
  }

  /** So much work is in the queue from now on. */
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

  /** Says nothing any more on the watches that are open now. */
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

  /** When a call that comes now is answered, or -1 if it is turned away. */
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

  // ---- whom it tells ----

  /** Where a balancer asks from now on; the address that it had before ends. */
  public InetSocketAddress openEndpoint(String balancer) throws InterruptedException {
    Endpoint endpoint = run(() -> endpoints.computeIfAbsent(balancer, any -> new Endpoint()));
    return endpoint.move();
  }

  /** A process of a balancer starts, with the list of its configuration. */
  void balancerStarted(String balancer) {
    run(
        () -> {
          endpoints.get(balancer).history.balancerStarted(System.nanoTime());
          return null;
        });
  }

  /** When a change counts as sentRevision to a balancer. */
  long deliveryNanos(String balancer, Change change) {
    return run(
        () -> {
          EndpointHistory history = endpoints.get(balancer).history;
          return pushed
              ? history.pushedDeliveryNanos(change, outages.endOfSpan(change.nanos(), 0))
              : history.polledDeliveryNanos(change, outages, mustAskNanos);
        });
  }

  /** Balancers that have a watch which has spoken and has not been silenced. */
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

  /** Calls that came, and of these the ones that were turned away. */
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

  /** The address of one balancer, and what it has been sentRevision there. */
  private final class Endpoint {
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final EndpointHistory history = new EndpointHistory();

    /** Calls to an agent that says nothing while discovery is down. */
    private final List<Runnable> heldCalls = new ArrayList<>();

    private Channel listener;
    private boolean refusing;
    private InetSocketAddress address;
    private long calls;
    private long rejected;

    InetSocketAddress move() throws InterruptedException {
      Channel next =
          Listeners.bootstrap(loop, this::initialize)
              .bind(new InetSocketAddress("127.0.0.1", 0))
              .sync()
              .channel();
      run(
          () -> {
            if (listener != null) {
              history.endpointMoved(System.nanoTime());
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

    void refuse(boolean on) {
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

    /** Discovery is back: what waited is answered, and open watches hear what they missed. */
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

    /** What has changed since the last line, or the complete list where that is not known. */
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
