package heathswitch.proxy.grpc;

import heathswitch.proxy.spi.Answer;
import io.netty.handler.codec.http2.Http2Headers;

/**
 * A whole answer.
 *
 * @param headers null where the trailers are all
 * @param message null where there is none
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
