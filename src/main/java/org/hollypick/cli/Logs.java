package org.hollypick.cli;

/** The log: slf4j-simple on standard error, Undertow's and XNIO's messages included. */
final class Logs {
    private Logs() {}

    static void configure(String level) {
        String wanted = level == null ? "info" : level;
        String own = switch (wanted) {
            case "error", "info", "debug" -> wanted;
            default -> "info";
        };
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", own.equals("debug") ? "info" : "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.hollypick", own);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    }
}
