package heathswitch.proxy.runtime;

/**
 * Reads a file at each signal, one read at a time, so that what was read last is also handed on
 * last. A file that could not be read is read again until it can be, or a newer signal has come: a
 * signal is told once, and nothing would ever tell what it stood for.
 */
public final class SignalFileReader {
  private static final long INITIAL_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 1000;

  /** Some minutes; an operator who finds the last line of it sends another signal. */
  private static final int MAX_RETRIES = 200;

  /** Reads the file for the signal of this number and hands on what it holds. */
  @FunctionalInterface
  public interface Reader {
    /** False if the file could not be read, and may be in a moment. */
    boolean read(int signal);
  }

  private final Reader reader;

  /** Signals so far; the newest one's number. */
  private int lastSignal;

  public SignalFileReader(Reader reader) {
    this.reader = reader;
  }

  /** A signal has come; the first read is made on the calling thread. */
  public synchronized void onSignal() {
    lastSignal++;
    if (!reader.read(lastSignal)) {
      startRetries(lastSignal);
    }
  }

  /** The thread goes on trying until it can read, or a newer signal has come. */
  private void startRetries(int signal) {
    Thread thread = new Thread(() -> retry(signal), "read again for signal " + signal);
    thread.setDaemon(true);
    thread.start();
  }

  private void retry(int signal) {
    long backoffMillis = INITIAL_BACKOFF_MILLIS;
    for (int i = 0; i < MAX_RETRIES; i++) {
      try {
        Thread.sleep(backoffMillis);
      } catch (InterruptedException e) {
        return;
      }
      if (readUnlessSuperseded(signal)) {
        return;
      }
      backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
    }
    Log.warn("reload", "signal " + signal + " given up: its file could not be read");
  }

  private synchronized boolean readUnlessSuperseded(int signal) {
    return signal != lastSignal || reader.read(signal);
  }
}
