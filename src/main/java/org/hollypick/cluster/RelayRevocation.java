package org.hollypick.cluster;

import org.hollypick.cluster.PeerMessages.RelayRevocationRequest;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;

/**
 * Makes sure that no peer relays responses any more that an incarnation of this controller gave as leader, before its
 * session ends and a successor may start. Confined to the event loop.
 */
final class RelayRevocation {
    private final EventLoop eventLoop;
    private final UnanimousPeerCall peers;

    RelayRevocation(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.peers = new UnanimousPeerCall(eventLoop, settings);
    }

    /**
     * Continues once no peer relays responses of that incarnation any more: when all peers have confirmed it, or when
     * their right to relay has expired.
     *
     * @param memberRevision the revision of the member key of the incarnation
     * @param expiresInMs milliseconds until the peers' right to relay has expired
     */
    void await(long memberRevision, long expiresInMs, Runnable released) {
        RunOnce continuation = new RunOnce(released);
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
