package org.hollypick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;

/** Tests the one-line descriptions of estimates. */
class EtaCommandTest {
    private static String describe(String estimate) throws JsonProcessingException {
        return EtaCommand.describe("req-7", new JsonMapper().readTree(estimate));
    }

    @Test
    void descriptionNamesTheRangeTheReasonAndTheHistory() throws JsonProcessingException {
        assertEquals(
                "req-7 running: done in 31 s (20 s to 66 s), most of it running; 128 runs known (sweep/kopano-ops/1)",
                describe("{\"status\":\"running\",\"done_in_s\":{\"p10\":20.1,\"p50\":31.0,\"p90\":66.4},"
                        + "\"reason\":\"running\",\"history\":{\"n\":128,\"from\":\"sweep/kopano-ops/1\"}}"));
    }

    @Test
    void longDurationsAreShownInMinutesOrHours() throws JsonProcessingException {
        assertEquals(
                "req-7 pending: done in 2 min (99 s to 1.7 h), most of it room; 3 runs known (sweep)",
                describe("{\"status\":\"pending\",\"done_in_s\":{\"p10\":99.4,\"p50\":100.0,\"p90\":6000.0},"
                        + "\"reason\":\"room\",\"history\":{\"n\":3,\"from\":\"sweep\"}}"));
    }

    @Test
    void descriptionWithoutAnEstimateNamesStatusAndReason() throws JsonProcessingException {
        assertEquals("req-7 done", describe("{\"status\":\"done\"}"));
        assertEquals(
                "req-7 running: a service runs until it is cancelled",
                describe("{\"status\":\"running\",\"reason\":\"a service runs until it is cancelled\"}"));
    }
}
