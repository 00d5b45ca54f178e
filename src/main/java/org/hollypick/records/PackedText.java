package org.hollypick.records;

import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Packs bytes into text for a record: raw deflate without a header, then base64. */
final class PackedText {
    private static final int PACK_BUFFER_BYTES = 4_096;
    private static final int UNPACK_BUFFER_BYTES = 8_192;

    private PackedText() {}

    static String pack(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        deflater.setInput(plain);
        deflater.finish();
        ByteArrayOutputStream packed = new ByteArrayOutputStream(plain.length / 2 + 64);
        byte[] buffer = new byte[PACK_BUFFER_BYTES];
        while (!deflater.finished()) {
            packed.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return Base64.getEncoder().encodeToString(packed.toByteArray());
    }

    /**
     * Restores the bytes that {@link #pack} was called with.
     *
     * @throws JobCodec.InvalidException if the text isn't base64, or its bytes aren't a complete deflate stream
     */
    static byte[] unpack(String text) throws JobCodec.InvalidException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(Base64.getDecoder().decode(text));
            ByteArrayOutputStream plain = new ByteArrayOutputStream();
            byte[] buffer = new byte[UNPACK_BUFFER_BYTES];
            while (!inflater.finished()) {
                int bytes = inflater.inflate(buffer);
                if (bytes == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new JobCodec.InvalidException("packed entries are truncated: incomplete deflate stream");
                }
                plain.write(buffer, 0, bytes);
            }
            return plain.toByteArray();
        } catch (DataFormatException | IllegalArgumentException e) {
            throw new JobCodec.InvalidException(
                    "packed entries are not the base64 text of a valid deflate stream: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
