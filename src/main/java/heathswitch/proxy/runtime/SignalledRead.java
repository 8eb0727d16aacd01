package heathswitch.proxy.runtime;

/**
 * Reads a file at each signal, one read at a time, so that what was read last is also handed on
 * last. A file that could not be read is read again until it can be, or a newer signal has come: a
 * signal is told once, and nothing would ever tell what it stood for.
 */
public final class SignalledRead {
  private static final long FIRST_WAIT_MILLIS = 50;
  private static final long MOST_WAIT_MILLIS = 1000;

  /** Some minutes; an operator who finds the last line of it sends another signal. */
  private static final int MOST_TRIES = 200;

  /** Reads the file for the signal of this number and hands on what it holds. */
  @FunctionalInterface
  public interface Reader {
    /** False if the file could not be read, and may be in a moment. */
    boolean read(int signal);
  }

  private final Reader reader;

  /** Signals so far; the newest one's number. */
  private int signals;

  public SignalledRead(Reader reader) {
    this.reader = reader;
  }

  /** A signal has come; the first read is made on the calling thread. */
  public synchronized void signalled() {
    signals++;
    if (!reader.read(signals)) {
      readAgain(signals);
    }
  }

  /** The thread goes on trying until it can read, or a newer signal has come. */
  private void readAgain(int signal) {
    Thread thread = new Thread(() -> retry(signal), "read again for signal " + signal);
    thread.setDaemon(true);
    thread.start();
  }

  private void retry(int signal) {
    long waitMillis = FIRST_WAIT_MILLIS;
    for (int i = 0; i < MOST_TRIES; i++) {
      try {
        Thread.sleep(waitMillis);
      } catch (InterruptedException e) {
        return;
      }
      if (readIfNewest(signal)) {
        return;
      }
      waitMillis = Math.min(2 * waitMillis, MOST_WAIT_MILLIS);
    }
    Log.warn("reload", "signal " + signal + " given up: its file could not be read");
  }

  private synchronized boolean readIfNewest(int signal) {
    return signal != signals || reader.read(signal);
  }
}
