package org.hollypick.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.junit.jupiter.api.Test;

/** Tests the parsing of both settings files, and that error messages name the invalid field or key. */
class SettingsTest {
    private static final String TOML = """
            node_name = "bothy-0"
            location = "a"
            public_addr = "127.0.0.1:8080"
            mesh_addr = "127.0.0.1:8081"
            some_new_field = 1
            [services]
            cloud = "127.0.0.1:1"
            state = "127.0.0.1:2"
            [params]
            zones = ["a", "b"]
            [[params.teams]]
            name = "t"
            [params.workers]
            report_s = 3.0
            lease_s = 26.0
            cancel_s = 46.0
            [params.state]
            rps = 150.0
            write_rps = 50.0
            value_kb = 16.0
            txn_ops = 16
            [params.cloud]
            rps = 8.0
            list_lag_s = 6.0
            [params.resources]
            sockets = 1500
            """;

    private static ObjectNode toml() throws Exception {
        return (ObjectNode) new TomlMapper().readTree(TOML);
    }

    @Test
    void platformSettingsAreReadAndUnknownFieldsIgnored() throws Exception {
        Settings settings = Settings.parse(toml());
        assertEquals("bothy-0", settings.node());
        assertEquals(16 * 1024, settings.valueBytes());
        assertEquals(0, settings.teams().get("t").cpusMax());
    }

    @Test
    void missingOrInvalidFieldIsNamedInTheError() throws Exception {
        ObjectNode missingName = toml();
        missingName.remove("node_name");
        assertTrue(assertThrows(ConfigException.class, () -> Settings.parse(missingName))
                .getMessage()
                .contains("node_name"));
        ObjectNode invalidAddress = toml();
        invalidAddress.put("public_addr", "nowhere");
        assertTrue(assertThrows(ConfigException.class, () -> Settings.parse(invalidAddress))
                .getMessage()
                .contains("public_addr"));
        ObjectNode zeroLease = toml();
        ((ObjectNode) zeroLease.path("params").path("workers")).put("lease_s", 0);
        assertTrue(assertThrows(ConfigException.class, () -> Settings.parse(zeroLease))
                .getMessage()
                .contains("lease_s"));
    }

    /**
     * The store may lower its limits without notice, so all written values must fit the lower limits from the start.
     */
    @Test
    void lowerUpcomingStoreLimitsApplyFromTheStart() throws Exception {
        ObjectNode toml = toml();
        ObjectNode upcomingLimits = ((ObjectNode) toml.path("params").path("state"))
                .putObject("next")
                .put("value_kb", 2.0)
                .put("txn_ops", 20);
        Settings settings = Settings.parse(toml);
        assertEquals(2 * 1024, settings.valueBytes());
        assertEquals(16, settings.txnOps());
        assertEquals(50, settings.stateWriteRps());
        upcomingLimits.put("txn_ops", 0.5);
        assertTrue(assertThrows(ConfigException.class, () -> Settings.parse(toml))
                .getMessage()
                .contains("txn_ops"));
        upcomingLimits.put("txn_ops", 4);
        upcomingLimits.put("write_rps", 0);
        assertTrue(assertThrows(ConfigException.class, () -> Settings.parse(toml))
                .getMessage()
                .contains("next.write_rps"));
        ((ObjectNode) toml.path("params").path("state")).put("next", 3);
        assertTrue(assertThrows(ConfigException.class, () -> Settings.parse(toml))
                .getMessage()
                .contains("next"));
    }

    @Test
    void operatorSettingsAreReadFromOneEdnMapAndInvalidKeysAreNamed() {
        assertEquals(20_000, OperatorSettings.parse("{:idle-s 20}").idleSpotTimeoutMs());
        assertEquals(OperatorSettings.defaults(), OperatorSettings.parse("{}"));
        assertTrue(assertThrows(ConfigException.class, () -> OperatorSettings.parse("{:idel-s 20}"))
                .getMessage()
                .contains("idel-s"));
        assertTrue(assertThrows(ConfigException.class, () -> OperatorSettings.parse("{:first-share 2}"))
                .getMessage()
                .contains("first-share"));
        assertThrows(ConfigException.class, () -> OperatorSettings.parse("{:idle-s"));
        assertTrue(OperatorSettings.parse("{:graphs true :estimates true :graph-keep-s 60}")
                .graphsEnabled());
        assertTrue(assertThrows(ConfigException.class, () -> OperatorSettings.parse("{:graphs 1}"))
                .getMessage()
                .contains(":graphs must be true or false"));
    }
}
