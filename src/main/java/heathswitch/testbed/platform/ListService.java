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
 * balancer asks at an address of its own, so that it is known what each has been told. Everything
 * lives on one event loop; the methods may be called from any other thread.
 */
public final class ListService implements AutoCloseable {
  /** A call waits for so long at most, and is then failed. */
  static final long CALL_TIMEOUT_MILLIS = 3000;

  private static final long HEARTBEAT_MILLIS = 2000;

  private static final int MOST_REQUEST_BYTES = 4096;

  /** What a call that is turned away costs, as a part of one that is answered. */
  private static final double TURNED_AWAY_COST = 0.2;

  /** A change of the list, and when discovery had it. */
  record Change(long revision, ListedMember member, long nanos) {}

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final SplittableRandom random;
  private final boolean pushed;
  private final long mustAskNanos;
  private final Map<String, ListedMember> members = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<String, Portal> portals = new HashMap<>();
  private final Reachability reachability = new Reachability();
  private long revision;
  private long busyUntilNanos = System.nanoTime();
  private long callNanos = MILLISECONDS.toNanos(5);
  private double othersPerSecond;
  private boolean down;
  private boolean turnsAway;

  /**
   * One that lists nothing yet.
   *
   * @param pushed whether it stands for agents that have the list, or is asked for it
   * @param mustAskMillis for which a balancer with no watch is held to its list
   */
  public ListService(long seed, boolean pushed, long mustAskMillis) {
    random = new SplittableRandom(seed);
    this.pushed = pushed;
    this.mustAskNanos = MILLISECONDS.toNanos(mustAskMillis);
  }

  // ---- what it lists ----

  /** Lists an upstream, or tells of a change of one. */
  void list(ListedMember member) {
    run(
        () -> {
          revision++;
          if (member.phase() == ListedMember.Phase.TERMINATED) {
            members.remove(member.id());
          } else {
            members.put(member.id(), member);
          }
          changes.add(new Change(revision, member, System.nanoTime()));
          portals.values().forEach(Portal::tellChange);
          return null;
        });
  }

  ListedMember member(String id) {
    return run(() -> members.get(id));
  }

  /** The whole list in discovery's form, as a balancer knows it at its start. */
  Map<String, Object> known() {
    return run(() -> document(true, members.values()));
  }

  private Map<String, Object> document(boolean whole, Collection<ListedMember> entries) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("revision", revision);
    document.put("complete", whole);
    document.put("members", entries.stream().map(ListedMember::json).toList());
    return document;
  }

  // ---- what goes wrong ----

  /** Down: watches are reset, calls wait and end with an error. */
  public void down(boolean on) {
    run(
        () -> {
          down = on;
          reachability.down(on, System.nanoTime());
          if (on && !pushed) {
            portals.values().forEach(Portal::resetWatches);
          } else if (!on && pushed) {
            portals.values().forEach(Portal::back);
          }
          return null;
        });
  }

  /** Turns all calls away at once, as one does whose queue is full. */
  public void turnAway(boolean on) {
    run(() -> turnsAway = on);
  }

  /** Nobody listens any more where this one balancer asks, though discovery runs; or again. */
  public void refuse(String balancer, boolean on) {
    run(
        () -> {
          portals.computeIfAbsent(balancer, any -> new Portal()).refuse(on);
          return null;
        });
  }

  /** How long one call takes, and how many calls of others come in a second. */
  public void load(long callMillis, double others) {
    run(
        () -> {
          boolean idle = othersPerSecond <= 0;
          callNanos = MILLISECONDS.toNanos(callMillis);
          othersPerSecond = others;
          if (idle && others > 0) {
            planOther();
          }
          return null;
        });
  }

  /** So much work is in the queue from now on. */
  public void occupy(long millis) {
    run(
        () ->
            busyUntilNanos =
                Math.max(busyUntilNanos, System.nanoTime()) + MILLISECONDS.toNanos(millis));
  }

  /** Resets all open watches. */
  public void resetWatches() {
    run(
        () -> {
          portals.values().forEach(Portal::resetWatches);
          return null;
        });
  }

  /** Says nothing any more on the watches that are open now. */
  public void silenceWatches() {
    run(
        () -> {
          portals.values().forEach(Portal::silence);
          return null;
        });
  }

  private void planOther() {
    long wait = (long) (-Math.log(1 - random.nextDouble()) / othersPerSecond * 1e9);
    loop.schedule(
        () -> {
          if (othersPerSecond > 0) {
            place();
            planOther();
          }
        },
        wait,
        NANOSECONDS);
  }

  /** When a call that comes now is answered, or -1 if it is turned away. */
  private long place() {
    long now = System.nanoTime();
    long end = Math.max(now, busyUntilNanos) + callNanos;
    if (turnsAway || end - now > MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS)) {
      busyUntilNanos = Math.max(now, busyUntilNanos) + (long) (TURNED_AWAY_COST * callNanos);
      return -1;
    }
    busyUntilNanos = end;
    return end;
  }

  // ---- whom it tells ----

  /** Where a balancer asks from now on; the address that it had before ends. */
  public InetSocketAddress open(String balancer) throws InterruptedException {
    Portal portal = run(() -> portals.computeIfAbsent(balancer, any -> new Portal()));
    return portal.move();
  }

  /** A process of a balancer starts, with the list of its configuration. */
  void started(String balancer) {
    run(
        () -> {
          portals.get(balancer).history.started(System.nanoTime());
          return null;
        });
  }

  /** When a change counts as told to a balancer. */
  long toldNanos(String balancer, Change change) {
    return run(
        () -> {
          PortalHistory history = portals.get(balancer).history;
          return pushed
              ? history.pushedToldNanos(change, reachability.after(change.nanos(), 0))
              : history.askedToldNanos(change, reachability, mustAskNanos);
        });
  }

  /** Balancers that have a watch which has spoken and has not been silenced. */
  public int watching() {
    return run(
        () ->
            (int)
                portals.values().stream()
                    .filter(portal -> portal.watches.stream().anyMatch(watch -> !watch.silent))
                    .count());
  }

  List<Change> changes() {
    return run(() -> List.copyOf(changes));
  }

  /** Calls that came, and of these the ones that were turned away. */
  public long[] calls() {
    return run(
        () -> {
          long[] sums = new long[2];
          for (Portal portal : portals.values()) {
            sums[0] += portal.calls;
            sums[1] += portal.turnedAway;
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

  /** The address of one balancer, and what it has been told there. */
  private final class Portal {
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final PortalHistory history = new PortalHistory();

    /** Calls to an agent that says nothing while discovery is down. */
    private final List<Runnable> held = new ArrayList<>();

    private Channel listener;
    private boolean refuses;
    private InetSocketAddress address;
    private long calls;
    private long turnedAway;

    InetSocketAddress move() throws InterruptedException {
      Channel next =
          Listeners.bootstrap(loop, this::accepted)
              .bind(new InetSocketAddress("127.0.0.1", 0))
              .sync()
              .channel();
      run(
          () -> {
            if (listener != null) {
              history.moved(System.nanoTime());
              listener.close();
              resetWatches();
            }
            listener = next;
            address = (InetSocketAddress) next.localAddress();
            if (refuses) {
              listener.close();
            }
            return null;
          });
      return (InetSocketAddress) next.localAddress();
    }

    void refuse(boolean on) {
      boolean change = on != refuses;
      refuses = on;
      if (listener == null || !change) {
        return;
      }
      if (on) {
        listener.close();
        resetWatches();
      } else {
        listener = Listeners.bootstrap(loop, this::accepted).bind(address).channel();
      }
    }

    private void accepted(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new HttpServerCodec(),
              new HttpObjectAggregator(MOST_REQUEST_BYTES),
              new SimpleChannelInboundHandler<FullHttpRequest>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                  called(ctx.channel(), request.uri());
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                  ctx.close();
                }
              });
    }

    private void called(Channel channel, String uri) {
      calls++;
      Runnable failed = history.called(System.nanoTime());
      if (down && pushed) {
        held.add(() -> answer(channel, uri));
        return;
      }
      if (down) {
        failed.run();
        loop.schedule(() -> fail(channel), CALL_TIMEOUT_MILLIS, MILLISECONDS);
        return;
      }
      long answered = pushed ? System.nanoTime() : place();
      if (answered < 0) {
        turnedAway++;
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
      Runnable ended = history.watching(System.nanoTime());
      channel
          .closeFuture()
          .addListener(
              closed -> {
                watches.remove(watch);
                ended.run();
              });
      tell(watch);
      beat(watch);
    }

    private void beat(Watch watch) {
      loop.schedule(
          () -> {
            if (watch.channel.isActive()) {
              if (!watch.silent && !down) {
                line(watch, "\n");
              }
              beat(watch);
            }
          },
          HEARTBEAT_MILLIS,
          MILLISECONDS);
    }

    private void tellChange() {
      if (!down) {
        watches.stream().filter(watch -> !watch.silent).forEach(this::tell);
      }
    }

    /** Discovery is back: what waited is answered, and open watches hear what they missed. */
    void back() {
      List<Runnable> calls = List.copyOf(held);
      held.clear();
      calls.forEach(Runnable::run);
      tellChange();
    }

    void silence() {
      if (!watches.isEmpty()) {
        history.silenced(System.nanoTime());
        watches.forEach(watch -> watch.silent = true);
      }
    }

    /** What has changed since the last line, or the whole list where that is not known. */
    private void tell(Watch watch) {
      boolean whole = watch.told < 0 || watch.told > revision;
      Map<String, ListedMember> entries = new LinkedHashMap<>();
      for (Change change : changes) {
        if (whole || change.revision() > watch.told) {
          history.wrote(change.revision(), System.nanoTime());
          entries.put(change.member().id(), change.member());
        }
      }
      try {
        Collection<ListedMember> listed = whole ? members.values() : entries.values();
        line(watch, JSON.std.asString(document(whole, listed)) + "\n");
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      watch.told = revision;
    }

    private void line(Watch watch, String text) {
      watch.channel.writeAndFlush(
          new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    private void resetWatches() {
      List.copyOf(watches).forEach(watch -> reset(watch.channel));
    }
  }

  private static final class Watch {
    private final Channel channel;
    private long told;
    private boolean silent;

    Watch(Channel channel, long told) {
      this.channel = channel;
      this.told = told;
    }
  }
}
