package org.hollypick.core.graph;

/** Why a call is refused, as the status that the users' protocol has for it, and a sentence. */
public record Refusal(int status, String why) {
    static Refusal invalid(String why) {
        return new Refusal(422, why);
    }

    static Refusal conflict(String why) {
        return new Refusal(409, why);
    }
}
