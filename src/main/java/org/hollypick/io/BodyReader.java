package org.hollypick.io;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Reads the body of one response without blocking. Confined to the event loop. */
final class BodyReader {
    private static final int INITIAL_BYTES = 512;
    private static final int BUFFER_BYTES = 4096;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_BYTES);
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final Consumer<byte[]> onComplete;
    private final Runnable onFailure;

    BodyReader(Consumer<byte[]> onComplete, Runnable onFailure) {
        this.onComplete = onComplete;
        this.onFailure = onFailure;
    }

    /** Reads the body to its end, continuing whenever the channel becomes readable. */
    void read(StreamSourceChannel channel) {
        try {
            while (true) {
                buffer.clear();
                int bytesRead = channel.read(buffer);
                if (bytesRead == 0) {
                    channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::read);
                    channel.resumeReads();
                    return;
                }
                if (bytesRead < 0) {
                    onComplete.accept(body.toByteArray());
                    return;
                }
                body.write(buffer.array(), 0, bytesRead);
            }
        } catch (IOException e) {
            onFailure.run();
        }
    }
}
