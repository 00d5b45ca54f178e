package org.hollypick.agent;

/** Result of probing an agent. */
public enum ProbeResult {
    /** The agent of the machine responded. */
    REACHED,
    /** No agent responded at the address, or the agent of another machine did. */
    NOT_REACHED,
    /** The probe was not sent for lack of capacity in this process, which is no evidence about the agent. */
    NOT_ATTEMPTED
}
