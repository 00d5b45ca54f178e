package org.hollypick.cli;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import java.net.BindException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.hollypick.Controller;
import org.hollypick.config.ConfigException;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.io.ConnectionBudget;
import org.hollypick.io.HttpServer;
import org.hollypick.io.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line: starts a controller, or runs one of the other commands. */
@Command(
        name = "hollypick",
        mixinStandardHelpOptions = true,
        version = "hollypick 0.1.0",
        description = "A controller of the hollypick cluster scheduler.",
        footer = "Other commands: graph, eta, replay estimates; each with --help.")
public final class Main implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE", description = "the operators' own settings, an EDN map")
    private Path operatorFile;

    @Option(names = "--check-config", description = "check the settings and end")
    private boolean checkOnly;

    @Option(names = "--self-test", description = "start on loopback without any service, answer a few requests and end")
    private boolean selfTest;

    @Option(names = "--config", paramLabel = "FILE", description = "the platform's settings, TOML")
    private Path configFile;

    private Main() {}

    /** Runs the command that the first argument names; ends the process with a status other than 0 if it fails. */
    public static void main(String[] args) {
        LogConfiguration.configure(System.getenv("LOG_LEVEL"));
        // A controller's start loads nothing of the other commands.
        int code = switch (args.length == 0 ? "" : args[0]) {
            case "graph" -> GraphCommand.execute(Arrays.copyOfRange(args, 1, args.length));
            case "eta" -> EtaCommand.execute(Arrays.copyOfRange(args, 1, args.length));
            case "replay" ->
                ReplayCommand.execute(
                        Arrays.copyOfRange(args, args.length > 1 && args[1].equals("estimates") ? 2 : 1, args.length));
            default -> new CommandLine(new Main()).execute(args);
        };
        if (code != 0) {
            System.exit(code);
        }
    }

    @Override
    public Integer call() throws Exception {
        if (selfTest) {
            return SelfTest.run();
        }
        Settings settings;
        OperatorSettings operator;
        try {
            if (configFile == null) {
                throw new ConfigException("--config: missing");
            }
            settings = Settings.read(configFile);
            operator = operatorFile == null ? OperatorSettings.defaults() : OperatorSettings.read(operatorFile);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return 2;
        }
        if (!checkOnly) {
            serve(settings, operator);
        }
        return 0;
    }

    /**
     * Starts the controller; it runs until the process is killed. Everything after the XNIO worker's creation happens
     * on its I/O thread, while the calling thread only waits: where system calls of the process are rewritten while it
     * runs, one thread reading the jar beside another that reads sockets ended about one start in a hundred
     * (docs/incidents, native-read). So no class is loaded beside the running loop.
     */
    static Undertow serve(Settings settings, OperatorSettings operator) throws Exception {
        CompletableFuture<Undertow> started = new CompletableFuture<>();
        ControllerStarter starter = new ControllerStarter(settings, operator, started);
        starter.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .getMap());
        starter.worker.getIoThread().execute(starter);
        return started.get();
    }

    /**
     * Starts the controller on the I/O thread. A named class, loaded before the worker runs: a lambda would be linked
     * while it runs.
     */
    private static final class ControllerStarter implements Runnable {
        /** Not a field of Main: that class is loaded before the log is configured. */
        private static final Logger LOG = LoggerFactory.getLogger(Main.class);

        private final Settings settings;
        private final OperatorSettings operator;
        private final CompletableFuture<Undertow> started;
        private XnioWorker worker;
        private DefaultByteBufferPool bufferPool;
        private ConnectionBudget connectionBudget;
        private XnioEventLoop eventLoop;
        private Controller controller;
        private int listenAttempts;

        ControllerStarter(Settings settings, OperatorSettings operator, CompletableFuture<Undertow> started) {
            this.settings = settings;
            this.operator = operator;
            this.started = started;
        }

        @Override
        public void run() {
            try {
                bufferPool = new DefaultByteBufferPool(true, 8 * 1024, 200, 0);
                connectionBudget = new ConnectionBudget(settings.maxSockets());
                eventLoop = new XnioEventLoop(
                        worker.getIoThread(),
                        bufferPool,
                        connectionBudget,
                        Set.copyOf(List.of(settings.storeAddress(), settings.cloudAddress())),
                        (int) (settings.maxSockets() * NetworkConstants.MAX_IDLE_SOCKET_SHARE));
                controller = new Controller(eventLoop, settings, operator);
                listen();
            } catch (RuntimeException | Error e) {
                started.completeExceptionally(e);
            }
        }

        /**
         * Opens both endpoints, with retries: an address may still be taken for a moment by an earlier process, and a
         * restart of this one wouldn't free it.
         */
        private void listen() {
            try {
                Undertow server = HttpServer.start(
                        worker,
                        bufferPool,
                        connectionBudget,
                        settings.publicAddress(),
                        controller::handle,
                        settings.peerEndpointAddress(),
                        controller::handlePeerRequest);
                eventLoop.after(0, controller::start);
                started.complete(server);
            } catch (RuntimeException e) {
                if (!(e.getCause() instanceof BindException)
                        || ++listenAttempts >= NetworkConstants.MAX_LISTEN_ATTEMPTS) {
                    started.completeExceptionally(e);
                    return;
                }
                if (listenAttempts == 1) {
                    LOG.error(
                            "listen.address_in_use users={} mesh={} reason={}",
                            settings.publicAddress(),
                            settings.peerEndpointAddress(),
                            e.getCause().getMessage());
                }
                eventLoop.after(NetworkConstants.LISTEN_RETRY_MS, this::listen);
            }
        }
    }
}
