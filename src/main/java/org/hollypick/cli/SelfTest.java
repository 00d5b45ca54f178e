package org.hollypick.cli;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
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
 * A node on loopback whose outside systems are all away: it must still answer. The build's class-data archive comes
 * from it.
 */
final class SelfTest {
    private SelfTest() {}

    static int run() throws Exception {
        String users = loopback();
        String mesh = loopback();
        String away = loopback();
        Settings settings = new Settings(
                "self",
                "zone",
                users,
                mesh,
                List.of(),
                away,
                away,
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
        Undertow server = Main.serve(settings, OperatorSettings.defaults());
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        XnioEventLoop client = new XnioEventLoop(
                worker.getIoThread(),
                new DefaultByteBufferPool(true, 8 * 1024),
                new ConnectionBudget(100),
                Set.of(),
                10);
        boolean ok = true;
        for (Request request : List.of(
                Request.of(users, "GET", "/ready", null, 5_000),
                Request.of(users, "POST", "/submissions", Codec.object().put("name_id", "req-1"), 5_000),
                Request.of(users, "GET", "/submissions/req-1", null, 5_000),
                Request.of(
                        users,
                        "POST",
                        "/hello",
                        Codec.object()
                                .put("bothy", "n-1")
                                .put(WireNames.WORKER_SESSION, 1)
                                .put("tick", 1),
                        5_000),
                new Request(mesh, "GET", "/jobs/req-1", null, 5_000, true))) {
            BlockingQueue<Response> got = new ArrayBlockingQueue<>(1);
            client.after(0, () -> client.call(request, got::add));
            Response response = got.poll(10, TimeUnit.SECONDS);
            ok &= response != null && response.status() >= 400;
        }
        server.stop();
        System.out.println(ok ? "self-test passed" : "self-test failed");
        System.exit(ok ? 0 : 1);
        return 0;
    }

    private static String loopback() throws Exception {
        try (ServerSocket s = new ServerSocket(0)) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }
}
