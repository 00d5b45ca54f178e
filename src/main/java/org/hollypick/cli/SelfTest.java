package org.hollypick.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.ConnectionBudget;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.WireNames;
import org.hollypick.io.XnioEventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Starts a controller on loopback while the store and the cloud are unreachable, and checks that every request is
 * answered with an error status. The build also runs the self-test to create the class-data sharing archive.
 */
final class SelfTest {
    private static final int REQUEST_TIMEOUT_MS = 5_000;
    private static final int RESPONSE_WAIT_S = 10;
    private static final int MAX_SOCKETS = 100;
    private static final int MAX_IDLE_CONNECTIONS = 10;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MIN_ERROR_STATUS = 400;

    private SelfTest() {}

    /** Runs the self-test and exits the process: with code 0 if it passed, otherwise with code 1. */
    static int run() throws Exception {
        String usersAddress = unusedAddress();
        String peersAddress = unusedAddress();
        Undertow server =
                Main.serve(settings(usersAddress, peersAddress, unusedAddress()), OperatorSettings.defaults());
        XnioEventLoop client = client();
        boolean passed = true;
        for (Request request : requests(usersAddress, peersAddress)) {
            passed &= isAnsweredWithError(client, request);
        }
        server.stop();
        System.out.println(passed ? "self-test passed" : "self-test failed");
        // Without an explicit exit, the I/O threads of server and client keep the process running.
        System.exit(passed ? CommandRunner.EXIT_OK : CommandRunner.EXIT_FAILED);
        return CommandRunner.EXIT_OK;
    }

    /** Settings with arbitrary limits and one address, at which nothing listens, for the store and the cloud. */
    private static Settings settings(String usersAddress, String peersAddress, String unreachableAddress) {
        return new Settings(
                "self",
                "zone",
                usersAddress,
                peersAddress,
                List.of(),
                unreachableAddress,
                unreachableAddress,
                List.of("zone"),
                Map.of(),
                List.of(),
                3,
                30,
                50,
                100,
                30,
                8192,
                12,
                8,
                5,
                1000);
    }

    private static XnioEventLoop client() throws Exception {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        return new XnioEventLoop(
                worker.getIoThread(),
                new DefaultByteBufferPool(true, BUFFER_BYTES),
                new ConnectionBudget(MAX_SOCKETS),
                Set.of(),
                MAX_IDLE_CONNECTIONS);
    }

    /** Requests of each kind of client: users, an agent and a peer controller. */
    private static List<Request> requests(String usersAddress, String peersAddress) {
        ObjectNode heartbeat = Codec.object()
                .put("bothy", "n-1")
                .put(WireNames.AGENT_INCARNATION, 1)
                .put("tick", 1);
        return List.of(
                Request.of(usersAddress, "GET", "/ready", null, REQUEST_TIMEOUT_MS),
                Request.of(
                        usersAddress,
                        "POST",
                        "/submissions",
                        Codec.object().put("name_id", "req-1"),
                        REQUEST_TIMEOUT_MS),
                Request.of(usersAddress, "GET", "/submissions/req-1", null, REQUEST_TIMEOUT_MS),
                Request.of(usersAddress, "POST", "/hello", heartbeat, REQUEST_TIMEOUT_MS),
                new Request(peersAddress, "GET", "/jobs/req-1", null, REQUEST_TIMEOUT_MS, true));
    }

    private static boolean isAnsweredWithError(XnioEventLoop client, Request request) throws InterruptedException {
        BlockingQueue<Response> responses = new ArrayBlockingQueue<>(1);
        client.after(0, () -> client.send(request, responses::add));
        Response response = responses.poll(RESPONSE_WAIT_S, TimeUnit.SECONDS);
        return response != null && response.status() >= MIN_ERROR_STATUS;
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
