package heathswitch.proxy.http1;

import heathswitch.proxy.spi.Answer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** A complete HTTP/1.1 answer. */
public record HttpAnswer(HttpResponse head, ByteBuf body) implements Answer {
  @Override
  public void release() {
    body.release();
  }
}
