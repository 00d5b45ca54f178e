package org.hollypick.cli;

/** Configures logging: slf4j-simple on standard error, which also receives the messages of Undertow and XNIO. */
final class LogConfiguration {
    private LogConfiguration() {}

    /**
     * Sets the log level. Must be called before the first logger is created. The libraries log errors only, or at
     * {@code info} if the level is {@code debug}.
     *
     * @param level {@code error}, {@code info} or {@code debug}; {@code info} if it is null or anything else
     */
    static void configure(String level) {
        String requestedLevel = level == null ? "info" : level;
        String ownLevel = switch (requestedLevel) {
            case "error", "info", "debug" -> requestedLevel;
            default -> "info";
        };
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", ownLevel.equals("debug") ? "info" : "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.hollypick", ownLevel);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    }
}
