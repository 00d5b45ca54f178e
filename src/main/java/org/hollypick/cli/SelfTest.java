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
 * Starts a controller on loopback while every service that it depends on is unreachable, and checks that it answers
 * each request with an error of its own. The build also runs it to create the class-data archive.
 */
final class SelfTest {
    private static final int REQUEST_TIMEOUT_MS = 5_000;
    private static final int RESPONSE_WAIT_S = 10;
    private static final int MAX_SOCKETS = 100;
    private static final int MAX_IDLE_CONNECTIONS = 10;
    private static final int BUFFER_BYTES = 8 * 1024;

    private SelfTest() {}

    /** Runs the self-test and ends the process: with exit code 0 if it passed, else with 1. */
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
        // The I/O threads of server and client would keep the process alive.
        System.exit(passed ? 0 : 1);
        return 0;
    }

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

    /** One request of each kind of client: users, agents and peer controllers. */
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
        return response != null && response.status() >= 400;
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
