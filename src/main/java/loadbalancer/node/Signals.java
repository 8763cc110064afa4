package loadbalancer.node;

import java.lang.reflect.Proxy;

/** What a process is told from outside while it runs. */
public interface Signals {
    /**
     * From now on runs the body, on a thread of its own, at each signal of the name (without SIG).
     * False if it never will: whoever started this process has it ignored, as {@code nohup} does
     * with HUP, and the JVM leaves it so.
     *
     * @throws ReflectiveOperationException if the JVM has no signal handling
     */
    boolean on(String name, Runnable body) throws ReflectiveOperationException;

    /**
     * Those of the system, by reflection: the compiler warns of the class, and warnings are errors
     * here.
     *
     * @throws ReflectiveOperationException if the JVM has no signal handling
     */
    static boolean ofSystem(String name, Runnable body) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object ours =
                Proxy.newProxyInstance(
                        Main.class.getClassLoader(),
                        new Class<?>[] {handler},
                        (proxy, method, args) -> {
                            body.run();
                            return null;
                        });
        Object before =
                signal.getMethod("handle", signal, handler)
                        .invoke(null, signal.getConstructor(String.class).newInstance(name), ours);
        return before != handler.getField("SIG_IGN").get(null);
    }
}
