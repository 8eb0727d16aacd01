package heathswitch.proxy.runtime;

import java.lang.reflect.Proxy;

/** SIGHUP, which the JVM would otherwise take for a signal to end on. */
public final class Signals {
  private Signals() {}

  /**
   * Runs the action at each SIGHUP, on a thread of the JVM's. That is a new one for each signal,
   * and nothing keeps their order, so that they take turns here: the run that begins last sees all
   * that was there before the newest signal. The JDK's only way to a signal is named at run time,
   * as it is not an API.
   */
  public static void onHangUp(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> invoke(action, self, method.getName(), args));
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException | RuntimeException e) {
      Log.error("reload", "no handler for SIGHUP", e);
    }
  }

  private static synchronized void runExclusively(Runnable action) {
    action.run();
  }

  private static Object invoke(Runnable action, Object self, String method, Object[] args) {
    return switch (method) {
      case "handle" -> {
        runExclusively(action);
        yield null;
      }
      case "equals" -> self == args[0];
      case "hashCode" -> System.identityHashCode(self);
      default -> "reload at SIGHUP";
    };
  }
}
