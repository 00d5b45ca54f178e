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

/** The entry point of the program: starts a controller, or runs one of the other commands. */
@Command(
        name = "hollypick",
        mixinStandardHelpOptions = true,
        version = "hollypick 0.1.0",
        description = "A controller of the hollypick cluster scheduler.",
        footer = "Other commands: graph, eta, replay estimates. Each of them accepts --help.")
public final class Main implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE", description = "settings of the operators, an EDN map")
    private Path operatorFile;

    @Option(names = "--check-config", description = "validate the settings and exit")
    private boolean checkOnly;

    @Option(
            names = "--self-test",
            description = "start on loopback without the store and the cloud, check a few responses and exit")
    private boolean selfTest;

    @Option(names = "--config", paramLabel = "FILE", description = "settings of the platform, TOML")
    private Path configFile;

    private Main() {}

    /** Runs the command that the first argument names; exits the process if the command's exit code isn't 0. */
    public static void main(String[] args) {
        LogConfiguration.configure(System.getenv("LOG_LEVEL"));
        // The other commands have classes of their own, which the start of a controller doesn't load.
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
            return CommandRunner.EXIT_USAGE;
        }
        if (!checkOnly) {
            serve(settings, operator);
        }
        return CommandRunner.EXIT_OK;
    }

    /**
     * Starts the controller, which runs until the process is killed. Once the XNIO worker exists, the rest of the start
     * runs on its I/O thread while the calling thread waits, and no other thread loads classes. On hosts that rewrite
     * the system calls of a running process, about one start in a hundred failed when one thread read the jar while
     * another read sockets (docs/incidents, native-read).
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
     * Starts the controller on the I/O thread. A named class rather than a lambda, because a lambda would be linked,
     * and its class loaded, on the calling thread while the worker is already running.
     */
    private static final class ControllerStarter implements Runnable {
        /** Declared here because Main is initialized before logging is configured. */
        private static final Logger LOG = LoggerFactory.getLogger(Main.class);

        private static final int BUFFER_BYTES = 8 * 1024;
        private static final int MAX_POOLED_BUFFERS = 200;

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
                bufferPool = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
                connectionBudget = new ConnectionBudget(settings.sockets());
                eventLoop = new XnioEventLoop(
                        worker.getIoThread(),
                        bufferPool,
                        connectionBudget,
                        Set.copyOf(List.of(settings.state(), settings.cloud())),
                        (int) (settings.sockets() * NetworkConstants.MAX_IDLE_SOCKET_SHARE));
                controller = new Controller(eventLoop, settings, operator);
                listen();
            } catch (RuntimeException | Error e) {
                started.completeExceptionally(e);
            }
        }

        /**
         * Opens both endpoints. Retries while an address is in use: a previous process may hold it for a moment longer,
         * and restarting this process wouldn't free it.
         */
        private void listen() {
            try {
                Undertow server = HttpServer.start(
                        worker,
                        bufferPool,
                        connectionBudget,
                        settings.publicAddr(),
                        controller::handle,
                        settings.meshAddr(),
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
                            settings.publicAddr(),
                            settings.meshAddr(),
                            e.getCause().getMessage());
                }
                eventLoop.after(NetworkConstants.LISTEN_RETRY_MS, this::listen);
            }
        }
    }
}
