package org.hollypick.cli;

import java.util.concurrent.CompletionException;
import org.hollypick.client.HollypickException;
import org.hollypick.config.ConfigException;
import picocli.CommandLine;

/** Runs a sub-command; a failure is printed as one message on standard error and becomes the exit code. */
final class CommandRunner {
    /** The command succeeded. */
    static final int EXIT_OK = 0;
    /** The service rejected a call or sent no response in time, or the submitted work didn't succeed. */
    static final int EXIT_FAILED = 1;
    /** An argument or an input file is invalid. */
    static final int EXIT_USAGE = 2;
    /** Any other exception. */
    static final int EXIT_INTERNAL_ERROR = 3;

    private CommandRunner() {}

    /** Runs a command with the given arguments and returns the exit code. */
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
