package org.hollypick.control.machines;

import java.util.List;
import java.util.Optional;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;

/**
 * A direct call in flight. Immutable.
 *
 * @param incarnation the agent's incarnation that the commands are for
 * @param newestKnown the newest number received from the machine at the time of sending; empty if there was none
 * @param token the fencing token that the call carries
 * @param toUnresponsive whether the machine was unresponsive at the time of sending
 * @param startedAt when the call was sent, in milliseconds
 */
record DirectCall(
        Machine machine,
        List<Command> commands,
        long incarnation,
        Optional<HeartbeatNumber> newestKnown,
        long token,
        boolean toUnresponsive,
        long startedAt) {
    /** The newest incarnation and sequence number received from a machine. */
    record HeartbeatNumber(long incarnation, long sequence) {
        static Optional<HeartbeatNumber> newestOf(Machine machine) {
            return machine.heartbeatReceived()
                    ? Optional.of(new HeartbeatNumber(machine.incarnation(), machine.heartbeatSequence()))
                    : Optional.empty();
        }
    }

    /**
     * Whether the response shows a restart of the agent: the agent wrote the response after the newest heartbeat that
     * had been received, yet the response isn't newer by incarnation and sequence number. A restarted agent counts
     * sequence numbers from the start.
     */
    boolean showsRestart(Heartbeat response) {
        return newestKnown
                .filter(known -> !response.newerThan(known.incarnation(), known.sequence()))
                .isPresent();
    }

    /**
     * Whether this call alone carried the token that the agent shows in the response: then the agent executed this
     * call, and every message that it sent before shows a lower token.
     */
    boolean aloneCarriedTokenOf(Heartbeat response) {
        return response.token() == token && machine.tokens.carriedByOneMessageOnly(token);
    }
}
