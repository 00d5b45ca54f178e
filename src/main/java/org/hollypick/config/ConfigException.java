package org.hollypick.config;

/** Thrown if a settings file or a file with a task graph can't be read or is invalid. */
public final class ConfigException extends RuntimeException {
    /** {@code message}: names the file, field or key, and the problem. */
    public ConfigException(String message) {
        super(message);
    }
}
