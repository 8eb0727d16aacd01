package heathswitch.proxy.grpc;

/** The header {@code grpc-timeout}: at most eight digits and a unit (gRPC over HTTP/2). */
final class GrpcTimeout {
  private static final int MOST_DIGITS = 8;
  private static final String UNITS = "HMSmun";
  private static final long[] NANOS = {
    3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1000L, 1L
  };

  private GrpcTimeout() {}

  /** Nanoseconds, or -1 for what is no timeout. Eight digits of hours still fit a long's years. */
  static long parse(CharSequence text) {
    int digits = text.length() - 1;
    if (digits < 1 || digits > MOST_DIGITS) {
      return -1;
    }
    long value = 0;
    for (int i = 0; i < digits; i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      value = 10 * value + c - '0';
    }
    int unit = UNITS.indexOf(text.charAt(digits));
    if (unit < 0) {
      return -1;
    }
    return value > Long.MAX_VALUE / NANOS[unit] ? Long.MAX_VALUE : value * NANOS[unit];
  }

  /** The longest timeout that is no longer than this, in the finest unit that fits eight digits. */
  static String format(long nanos) {
    long left = Math.max(0, nanos);
    for (int unit = UNITS.length() - 1; unit >= 0; unit--) {
      long value = left / NANOS[unit];
      if (value < 100_000_000L) {
        return value + UNITS.substring(unit, unit + 1);
      }
    }
    return "99999999H";
  }
}
