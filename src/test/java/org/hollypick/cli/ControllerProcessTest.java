package org.hollypick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program as a separate process on loopback, while the store and the cloud are unreachable, and tests restarts
 * on the same ports.
 */
class ControllerProcessTest {
    private static final int STARTS = 20;

    @TempDir
    Path directory;

    private Process process;
    private int usersPort;
    private int peersPort;

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Path writeSettings() throws IOException {
        usersPort = freePort();
        peersPort = freePort();
        int unreachablePort = freePort();
        return Files.writeString(directory.resolve("settings.toml"), """
                node_name = "bothy-0"
                location = "a"
                public_addr = "127.0.0.1:%d"
                mesh_addr = "127.0.0.1:%d"
                [services]
                cloud = "127.0.0.1:%d"
                state = "127.0.0.1:%d"
                [params]
                initial_size = 1
                zones = ["a"]
                skew_ms = 5.0
                [params.workers]
                report_s = 3.0
                lease_s = 26.0
                gang_wait_s = 30.0
                gang_peer_s = 6.0
                cancel_s = 46.0
                [params.state]
                rps = 150.0
                write_rps = 50.0
                value_kb = 16.0
                txn_ops = 16
                [params.cloud]
                rps = 8.0
                list_lag_s = 6.0
                [params.resources]
                cores = 0.34
                mem_mb = 176.0
                sockets = 200
                """.formatted(
                        usersPort, peersPort, unreachablePort, unreachablePort));
    }

    private void start(Path settings) throws IOException {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.hollypick.cli.Main",
                        "--config",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile())
                .start();
    }

    /**
     * Waits for the first response to a readiness request and returns its status; -1 if there is none in time or the
     * process has ended. Each attempt opens a new connection, as clients have to after a restart.
     */
    private int awaitReadyStatus(long timeoutMs) throws Exception {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < deadline && process.isAlive()) {
            try {
                return HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + usersPort + "/ready"))
                                        .timeout(Duration.ofSeconds(2))
                                        .build(),
                                HttpResponse.BodyHandlers.discarding())
                        .statusCode();
            } catch (IOException e) {
                Thread.sleep(20); // not listening yet
            }
        }
        return -1;
    }

    private void awaitLogged(String event, long timeoutMs) throws Exception {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000;
        while (!Files.readString(directory.resolve("log")).contains(event)) {
            assertTrue(System.nanoTime() < deadline && process.isAlive(), () -> "not logged: " + event);
            Thread.sleep(20);
        }
    }

    @AfterEach
    void killProcess() throws Exception {
        process.destroyForcibly();
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    }

    /** Connections of the killed process may remain on its port; the next process must be able to listen there. */
    @Test
    void restartedProcessListensOnTheSamePortAfterEachKill() throws Exception {
        Path settings = writeSettings();
        for (int i = 0; i < STARTS; i++) {
            start(settings);
            assertEquals(
                    503, awaitReadyStatus(20_000), "start " + i + ": answers 503, because the store is unreachable");
            process.destroyForcibly();
            assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        }
    }

    /** Without retries the process would exit at once, and a supervisor would restart it several times a second. */
    @Test
    void processRetriesToListenUntilAnAddressInUseIsFree() throws Exception {
        Path settings = writeSettings();
        try (ServerSocket taken = new ServerSocket(peersPort, 1, InetAddress.getLoopbackAddress())) {
            start(settings);
            assertTrue(
                    !process.waitFor(2_500, TimeUnit.MILLISECONDS),
                    () -> "process exited; port in use: " + taken.getLocalPort());
            // On a loaded machine the start may take longer: keep the address in use until the process has found it so.
            awaitLogged("listen.address_in_use", 20_000);
            assertTrue(process.isAlive(), () -> "process exited; port in use: " + taken.getLocalPort());
        }
        assertEquals(503, awaitReadyStatus(20_000));
        String log = Files.readString(directory.resolve("log"));
        assertEquals(
                1,
                List.of(log.split("\n")).stream()
                        .filter(line -> line.contains("listen.address_in_use"))
                        .count(),
                log);
    }
}
