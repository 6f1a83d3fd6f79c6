/** Runs the case whose class is the first argument; a failure of the case itself ends with 2. */
final class Launch {
    public static void main(String[] arguments) throws Exception {
        try {
            var main = Class.forName(arguments[0]).getDeclaredMethod("main", String[].class);
            main.invoke(null, (Object) new String[] {arguments[1]});
        } catch (ReflectiveOperationException failed) {
            Throwable cause = failed.getCause() == null ? failed : failed.getCause();
            System.out.println("the case could not run: " + cause);
            System.exit(22);
        }
    }
}
