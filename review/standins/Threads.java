/** Starts threads that end with the process. */
final class Threads {
    private Threads() {}

    /** Work that may fail, which ends only its thread. */
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // A connection that ends is part of most cases.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
