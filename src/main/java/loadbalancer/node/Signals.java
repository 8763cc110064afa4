package loadbalancer.node;

import java.lang.reflect.Proxy;

/** Installs handlers of operating system signals. */
public interface Signals {
    /**
     * Installs a handler that runs on a separate thread for each signal. Returns false if the
     * parent process set the signal to be ignored, as {@code nohup} does with HUP: the JVM keeps
     * that setting, and the handler never runs.
     *
     * @param name name of the signal, without SIG
     * @throws ReflectiveOperationException if the JVM has no signal handling
     */
    boolean handle(String name, Runnable handler) throws ReflectiveOperationException;

    /**
     * Installs a handler of a system signal, see {@link #handle}. It uses reflection, because the
     * compiler warns about the JDK's internal class and warnings fail this build.
     *
     * @throws ReflectiveOperationException if the JVM has no signal handling
     */
    static boolean ofSystem(String name, Runnable handler) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        Object newHandler =
                Proxy.newProxyInstance(
                        Main.class.getClassLoader(),
                        new Class<?>[] {handlerClass},
                        (proxy, method, args) -> {
                            handler.run();
                            return null;
                        });
        Object previousHandler =
                signalClass
                        .getMethod("handle", signalClass, handlerClass)
                        .invoke(
                                null,
                                signalClass.getConstructor(String.class).newInstance(name),
                                newHandler);
        return previousHandler != handlerClass.getField("SIG_IGN").get(null);
    }
}
