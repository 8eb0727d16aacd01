package heathswitch.proxy.files;

import java.io.IOException;

/** Reports a file that cannot be used as it is; the message states the reason for the operator. */
public final class UnusableFileException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message follows the name of the file, as in "is not there". */
  public UnusableFileException(String message) {
    super(message);
  }
}
