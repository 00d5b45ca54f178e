package org.hollypick.cluster;

import org.hollypick.cluster.PeerMessages.RelayRevocationRequest;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;

/**
 * Ensures that peers no longer relay responses that an incarnation of this controller gave as leader, before its
 * session is ended and a successor may start. Confined to the event loop.
 */
final class RelayRevocation {
    private final EventLoop eventLoop;
    private final UnanimousPeerCall peers;

    RelayRevocation(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.peers = new UnanimousPeerCall(eventLoop, settings);
    }

    /**
     * Runs the callback once no peer relays responses of the given incarnation: when all peers have confirmed the
     * revocation, or when the responses that peers hold have expired.
     *
     * @param memberRevision the revision of the incarnation's member key
     * @param expiresInMs milliseconds after which no peer may relay a response of the incarnation any more
     */
    void await(long memberRevision, long expiresInMs, Runnable onRevoked) {
        RunOnce continuation = new RunOnce(onRevoked);
        eventLoop.after(Math.max(0, expiresInMs), continuation);
        peers.send(
                PeerMessageCodec.RELAY_REVOCATION_PATH,
                PeerMessageCodec.write(new RelayRevocationRequest(memberRevision)),
                PeerMessageCodec::readRelayRevocationResponse,
                continuation);
    }

    private static final class RunOnce implements Runnable {
        private final Runnable task;
        private boolean started;

        RunOnce(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            if (!started) {
                started = true;
                task.run();
            }
        }
    }
}
