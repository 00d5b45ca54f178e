package org.hollypick.peer;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;

/** What other controllers ask this one: JSON by POST, each kind of question with a path and someone who answers it. */
public final class PeerRequestDispatcher {
    /** {@code body}: null if it isn't JSON. */
    public interface Question {
        void ask(JsonNode body, Consumer<ServerResponse> responder);
    }

    private final Map<String, Question> questions = new HashMap<>();

    public void on(String path, Question question) {
        questions.put(path, question);
    }

    public void handle(String method, String path, byte[] bytes, Consumer<ServerResponse> responder) {
        Question question = method.equals("POST") ? questions.get(path) : null;
        if (question == null) {
            responder.accept(ServerResponse.error(404, "no such path"));
        } else {
            question.ask(Codec.read(bytes, true), responder);
        }
    }
}
