package org.hollypick.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/** Writes the body of a request without blocking. Confined to the event loop. */
final class BodyWriter {
    private BodyWriter() {}

    /** Writes the whole body and ends the request, continuing whenever the channel becomes writable. */
    static void write(StreamSinkChannel channel, ByteBuffer body, Runnable onFailure) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    ChannelListener<StreamSinkChannel> whenWritable = writable -> write(writable, body, onFailure);
                    channel.getWriteSetter().set(whenWritable);
                    channel.resumeWrites();
                    return;
                }
            }
            finish(channel, onFailure);
        } catch (IOException e) {
            onFailure.run();
        }
    }

    private static void finish(StreamSinkChannel channel, Runnable onFailure) throws IOException {
        channel.shutdownWrites();
        if (channel.flush()) {
            channel.suspendWrites();
            return;
        }
        channel.getWriteSetter()
                .set(ChannelListeners.flushingChannelListener(null, (failed, cause) -> onFailure.run()));
        channel.resumeWrites();
    }
}
