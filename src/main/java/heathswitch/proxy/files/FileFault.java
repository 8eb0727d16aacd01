package heathswitch.proxy.files;

import java.io.IOException;

/** A file that cannot be used as it is; the message says why, in words for people. */
public final class FileFault extends IOException {
  private static final long serialVersionUID = 1L;

  public FileFault(String message) {
    super(message);
  }
}
