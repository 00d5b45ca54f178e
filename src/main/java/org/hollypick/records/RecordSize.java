package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.Codec;

/** Sizes of records in the store. Stateless, any thread. */
public final class RecordSize {
    private RecordSize() {}

    /** The maximum size of a record: less than the store's limit, since the store may also count white space. */
    public static int maxBytes(Settings settings) {
        return (int) (settings.valueBytes() * StoreConstants.USABLE_VALUE_SHARE);
    }

    /** The size of a record's compact JSON encoding, in bytes. */
    public static int encodedBytes(JsonNode value) {
        return Codec.write(value, true).length;
    }
}
