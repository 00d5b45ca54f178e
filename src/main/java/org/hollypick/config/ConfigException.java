package org.hollypick.config;

/** A setting that is missing or impossible; the message names it. */
public final class ConfigException extends RuntimeException {
    public ConfigException(String message) {
        super(message);
    }
}
