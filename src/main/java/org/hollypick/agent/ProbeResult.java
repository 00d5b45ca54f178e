package org.hollypick.agent;

/** What a probe showed of an agent. */
public enum ProbeResult {
    /** The agent of the machine answered. */
    REACHED,
    /** It didn't, or an agent of another machine did. */
    NOT_REACHED,
    /** The probe wasn't sent for want of capacity in this process, which says nothing about the agent. */
    NOT_ATTEMPTED
}
