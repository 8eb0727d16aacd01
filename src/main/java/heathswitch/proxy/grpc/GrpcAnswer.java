package heathswitch.proxy.grpc;

import heathswitch.proxy.spi.Answer;
import io.netty.handler.codec.http2.Http2Headers;

/**
 * A complete answer to a gRPC call.
 *
 * @param headers null for a trailers-only answer
 * @param message the length-prefixed messages, or null if there are none
 */
record GrpcAnswer(Http2Headers headers, MessageBuffer message, Http2Headers trailers)
    implements Answer {
  @Override
  public void release() {
    if (message != null) {
      message.release();
    }
  }
}
