package org.hollypick.config;

/** Thrown for a setting that is missing or invalid; the message names the setting. */
public final class ConfigException extends RuntimeException {
    /** {@code message}: names the setting and says what is wrong. */
    public ConfigException(String message) {
        super(message);
    }
}
