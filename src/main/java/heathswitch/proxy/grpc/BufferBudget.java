package heathswitch.proxy.grpc;

/** Bytes of messages that are held, of all calls together. On the loop only. */
final class BufferBudget {
  private final long most;
  private long free;

  BufferBudget(long most) {
    this.most = most;
    free = most;
  }

  /** Takes the bytes, or returns false and takes none. */
  boolean take(long bytes) {
    if (bytes > free) {
      return false;
    }
    free -= bytes;
    return true;
  }

  void give(long bytes) {
    free += bytes;
  }

  long free() {
    return free;
  }

  /** What a caller is told when there is no more. */
  String words() {
    return "all calls together hold " + most + " bytes, most_held of the balancer; come back later";
  }
}
