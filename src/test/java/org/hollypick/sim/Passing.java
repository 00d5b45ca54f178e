package org.hollypick.sim;

import java.util.function.Consumer;
import org.hollypick.io.Call;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;

/** Passes everything on to another runtime; those who look at something, or change it, override that. */
class Passing implements Runtime {
    private final Runtime to;

    Passing(Runtime to) {
        this.to = to;
    }

    @Override
    public long now() {
        return to.now();
    }

    @Override
    public long timeOfDay() {
        return to.timeOfDay();
    }

    @Override
    public void after(long ms, Runnable task) {
        to.after(ms, task);
    }

    @Override
    public void call(Call call, Consumer<Reply> reply) {
        to.call(call, reply);
    }
}
