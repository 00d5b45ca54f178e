package org.hollypick.io;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests the HTTP server and the HTTP client against each other over loopback sockets. */
class HttpTest {
    private XnioWorker worker;
    private XnioEventLoop eventLoop;
    private ConnectionBudget budget;
    private Undertow server;
    private String serverAddress;

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 8192);
        budget = new ConnectionBudget(100);
        eventLoop = new XnioEventLoop(worker.getIoThread(), buffers, budget, Set.of(), 10);
        serverAddress = freeAddress();
        HttpServer.Service echo = (method, path, body, responder) -> {
            if (path.equals("/hang")) {
                return;
            }
            var tree = Codec.read(body, false);
            if (path.equals("/none")) {
                responder.accept(ServerResponse.error(404, "none"));
                return;
            }
            responder.accept(
                    path.equals("/later")
                            ? ServerResponse.retryLater("busy")
                            : ServerResponse.of(
                                    200,
                                    Codec.object()
                                            .put("method", method)
                                            .put(
                                                    "text",
                                                    tree == null
                                                            ? ""
                                                            : tree.path("text").asText())));
        };
        server = HttpServer.start(worker, buffers, budget, serverAddress, echo, freeAddress(), echo);
    }

    @AfterEach
    void stop() {
        server.stop();
        worker.shutdownNow();
    }

    private static String freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private Response call(Request request) throws Exception {
        BlockingQueue<Response> responses = new ArrayBlockingQueue<>(1);
        eventLoop.after(0, () -> eventLoop.send(request, responses::add));
        Response response = responses.poll(10, TimeUnit.SECONDS);
        assertNotNull(response);
        return response;
    }

    @Test
    void smallAndLargeBodiesAreSentAndReceivedOverReusedConnections() throws Exception {
        for (String text : new String[] {"x", "y".repeat(60_000), "z"}) {
            Response response = call(
                    Request.of(serverAddress, "POST", "/echo", Codec.object().put("text", text), 5_000));
            assertEquals(200, response.status());
            assertEquals(text, response.body().path("text").asText());
        }
        assertEquals(
                "GET",
                call(Request.of(serverAddress, "GET", "/echo", null, 5_000))
                        .body()
                        .path("method")
                        .asText());
    }

    @Test
    void requestWithoutResponseIsReportedDifferentlyFromRequestNotSent() throws Exception {
        assertEquals(
                Response.Failure.NO_RESPONSE.code(),
                call(Request.of(serverAddress, "POST", "/hang", Codec.object(), 300))
                        .status());
        assertEquals(
                Response.Failure.NOT_SENT.code(),
                call(Request.of(freeAddress(), "GET", "/", null, 2_000)).status());
    }

    /**
     * Guards against a socket leak: if connection attempts keep their sockets after their timeout, a controller that
     * keeps trying unreachable machines runs out of sockets.
     */
    @Test
    void abandonedConnectionAttemptReleasesItsSocket() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1)) {
            // No connection is accepted: once the backlog is full, further attempts hang without an error.
            List<Socket> backlog = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(unresponsive.getLocalSocketAddress());
                backlog.add(channel.socket());
            }
            String address = "127.0.0.1:" + unresponsive.getLocalPort();
            Set<Integer> statuses = new HashSet<>();
            for (int i = 0; i < 4; i++) {
                statuses.add(call(Request.of(address, "GET", "/", null, 200)).status());
            }
            assertTrue(
                    statuses.stream()
                            .allMatch(status -> status == Response.Failure.NOT_SENT.code()
                                    || status == Response.Failure.NO_RESPONSE.code()),
                    statuses.toString());
            for (int i = 0; i < 100 && budget.open(ConnectionBudget.Kind.COMMANDS) > 0; i++) {
                Thread.sleep(20);
            }
            assertEquals(0, budget.open(ConnectionBudget.Kind.COMMANDS));
            for (Socket socket : backlog) {
                socket.close();
            }
        }
    }

    /**
     * A request that is not sent because this controller lacks capacity says nothing about the receiver. Control
     * traffic is sent even without capacity.
     */
    @Test
    void requestFailsWithNoCapacityWhileControlRequestsStillConnect() throws Exception {
        for (int i = 0; i < 100; i++) {
            budget.opened(ConnectionBudget.Kind.HEARTBEATS);
        }
        for (int i = 0; i < 12; i++) {
            budget.opened(ConnectionBudget.Kind.COMMANDS);
        }
        assertEquals(
                Response.Failure.NO_CAPACITY.code(),
                call(Request.of(serverAddress, "GET", "/echo", null, 2_000)).status());
        assertEquals(
                404,
                call(new Request(serverAddress, "GET", "/none", null, 2_000, true))
                        .status());
        assertTrue(
                sendRaw("POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                        .contains("Connection: close"),
                "a connection for heartbeats was kept beyond the reserve");
        assertFalse(
                sendRaw("GET /echo HTTP/1.1\r\nHost: x\r\n\r\n").contains("Connection: close"),
                "a connection within the reserve for users was closed");
    }

    private String sendRaw(String request) throws Exception {
        try (Socket socket = new Socket(
                "127.0.0.1", Integer.parseInt(serverAddress.substring(serverAddress.lastIndexOf(':') + 1)))) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = socket.getInputStream();
            byte[] buffer = new byte[4096];
            int bytesRead = input.read(buffer);
            return bytesRead < 0 ? "" : new String(buffer, 0, bytesRead, StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void serverStillRespondsAfterMalformedOversizedAndIncompleteRequests() throws Exception {
        assertTrue(sendRaw("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n\u00ff\u00ff\u00ff")
                .startsWith("HTTP/1.1 200"));
        assertTrue(sendRaw("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\nabc")
                .startsWith("HTTP/1.1 4"));
        assertTrue(sendRaw("nonsense\r\n\r\n").isEmpty()
                || sendRaw("nonsense\r\n\r\n").startsWith("HTTP/1.1 4"));
        assertEquals(
                200,
                call(Request.of(serverAddress, "GET", "/echo", null, 5_000)).status());
    }

    @Test
    void refusalsHaveARetryAfterHeader() throws Exception {
        assertTrue(sendRaw("GET /later HTTP/1.1\r\nHost: x\r\n\r\n").contains("Retry-After: 1"));
    }

    @Test
    void codecDecodesWhatItEncodedAndRejectsMalformedBytes() {
        byte[] bytes = Codec.write(Codec.object().put("a", 1.5).put("b", 7L), false);
        assertArrayEquals(bytes, Codec.write(Codec.read(bytes, false), false));
        assertEquals(null, Codec.read(new byte[] {(byte) 0xff, 0}, false));
    }
}
