import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the run command of the deploy file and the template of its settings. */
final class Gateway {
    final String name;
    final String host;
    final int frontPort;
    private final int readyPort;
    private final Path settings;
    private final Path output;
    private Process process;

    /** Uses the ports from [firstPort] on: 16 between instances, then those for clients and for readiness. */
    Gateway(Path folder, String name, String host, int firstPort, String zone, Store store) throws IOException {
        this.name = name;
        this.host = host;
        frontPort = firstPort + 16;
        readyPort = firstPort + 17;
        settings = folder.resolve(name + ".json");
        output = folder.resolve(name + ".log");
        String text = Files.readString(Path.of("platform/settings.template.json"));
        text = text.replace("{{node|json}}", "\"" + name + "\"").replace("{{zone|json}}", "\"" + zone + "\"")
            .replace("{{zones|json}}", "{\"espoo-a\":\"uusimaa\",\"vaasa-a\":\"pohjanmaa\",\"vantaa-b\":\"uusimaa\"}")
            .replace("{{ip|json}}", "\"" + host + "\"")
            .replace("{{listen-addrs.front|json}}", "\"" + host + ":" + frontPort + "\"")
            .replace("{{listen-addrs.ready|json}}", "\"" + host + ":" + readyPort + "\"")
            .replace("{{internal-ports|json}}", "[" + firstPort + "," + (firstPort + 15) + "]")
            .replace("{{provider.address|json}}", "\"" + store.address() + "\"")
            .replace("{{limits.max-fds|json}}", "4100").replace("{{bounds.revoke-ms|json}}", "5000")
            .replace("{{bounds.grace-s|json}}", "8").replace("{{bounds.budget-ratio|json}}", "0.2")
            .replace("{{bounds.budget-extra|json}}", "54").replace("{{bounds.budget-window-s|json}}", "10");
        if (text.contains("{{")) throw new IOException("the settings template has a field that is not known here");
        Files.writeString(settings, text);
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("the deploy file has no run command");
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        builder.environment().put("TOUCANRELAY_BOOT", settings.toString());
        process = builder.start();
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readyPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Wire.bytes("GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
            return Wire.message(socket.getInputStream(), true).status() == 200;
        } catch (Exception notReady) {
            return false;
        }
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + 40_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) throw new IOException(name + " does not become ready");
            Thread.sleep(100);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Writes the settings file anew, as the platform does when the settings change. */
    void changeSettings() throws IOException {
        Files.writeString(settings, Files.readString(settings) + "\n");
    }

    /** Returns the exit code of the process, or -1 if it runs. */
    int exitCode() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    String output() throws IOException {
        return Files.readString(output);
    }

    /** Ends the process. */
    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
