package org.hollypick.cli;

import java.util.concurrent.CompletionException;
import org.hollypick.client.HollypickException;
import org.hollypick.config.ConfigException;
import picocli.CommandLine;

/** What the commands for users have in common: failures are one line on standard error, and an exit code. */
final class CommandRunner {
    /** All went well. */
    static final int EXIT_OK = 0;
    /** The service rejected a call or didn't answer it, or the work wasn't successful. */
    static final int EXIT_FAILED = 1;
    /** A file or the arguments are wrong. */
    static final int EXIT_USAGE = 2;
    /** Any other failure. */
    static final int EXIT_INTERNAL_ERROR = 3;

    private CommandRunner() {}

    /** Runs a command with arguments, and returns the exit code. */
    static int execute(Object command, String[] args) {
        return new CommandLine(command)
                .setExecutionExceptionHandler((exception, commandLine, parsed) -> {
                    Throwable cause = unwrap(exception);
                    commandLine.getErr().println(cause.getMessage());
                    return exitCode(cause);
                })
                .execute(args);
    }

    private static Throwable unwrap(Exception exception) {
        return exception instanceof CompletionException && exception.getCause() != null
                ? exception.getCause()
                : exception;
    }

    private static int exitCode(Throwable cause) {
        if (cause instanceof ConfigException) {
            return EXIT_USAGE;
        }
        return cause instanceof HollypickException ? EXIT_FAILED : EXIT_INTERNAL_ERROR;
    }
}
