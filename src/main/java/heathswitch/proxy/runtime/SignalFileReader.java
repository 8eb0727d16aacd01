package heathswitch.proxy.runtime;

/**
 * Reads a file at each signal. Reads are serialized, so the content that was read last is also
 * applied last. A failed read is retried until it succeeds or a newer signal arrives: a signal is
 * delivered only once, so the change it announces would otherwise be lost.
 */
public final class SignalFileReader {
  private static final long INITIAL_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 1000;

  /** Amounts to some minutes. An operator who finds the final warning sends another signal. */
  private static final int MAX_RETRIES = 200;

  /** Reads the file for a signal and applies its content. */
  @FunctionalInterface
  public interface Reader {
    /** Returns false if the file cannot be read now but possibly later. */
    boolean read(int signal);
  }

  private final Reader reader;

  /** The number of the newest signal, which is also the number of signals so far. */
  private int lastSignal;

  public SignalFileReader(Reader reader) {
    this.reader = reader;
  }

  /** Handles a signal; the first read is made on the calling thread. */
  public synchronized void onSignal() {
    lastSignal++;
    if (!reader.read(lastSignal)) {
      startRetries(lastSignal);
    }
  }

  /** Starts a thread that retries until a read succeeds or a newer signal arrives. */
  private void startRetries(int signal) {
    Thread thread = new Thread(() -> retry(signal), "retry read for signal " + signal);
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
    Log.warn("reload", "signal " + signal + ": gave up reading the file");
  }

  private synchronized boolean readUnlessSuperseded(int signal) {
    return signal != lastSignal || reader.read(signal);
  }
}
