package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.Codec;

/** The sizes of records in the store. Stateless, any thread. */
public final class RecordSize {
    private RecordSize() {}

    /** The most bytes that a record may have: less than the store's limit, which may count otherwise. */
    public static int maxBytes(Settings settings) {
        return (int) (settings.valueBytes() * StoreConstants.USABLE_VALUE_SHARE);
    }

    /** The bytes of a record's encoding. */
    public static int encodedBytes(JsonNode value) {
        return Codec.write(value, true).length;
    }
}
