package heathswitch.proxy.runtime;

import java.lang.reflect.Proxy;

/** Handles SIGHUP, at which the JVM would otherwise exit. */
public final class Signals {
  private Signals() {}

  /**
   * Runs the action at each SIGHUP, on a thread of the JVM. The JVM starts a new thread for each
   * signal, in no defined order, so the runs are serialized here: the run that starts last sees
   * everything written before the newest signal. The JDK's signal handling is not a public API and
   * is therefore accessed by reflection.
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
