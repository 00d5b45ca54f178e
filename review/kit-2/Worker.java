import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Stand-in of a machine and its worker. */
final class Worker {
    private static final class Task {
        String shard;
        long attempt;
        String status = "fetching";
        String cause;
        boolean fails;
        double since = Kit.now();
    }

    final World world;
    final String name;
    final String hall;
    final boolean spot;
    final String address;
    private final double createdAt = Kit.now();
    private final double upAt;
    private boolean removed;
    /** Counts the restarts: a worker that is back awaits no answer. */
    private int life;
    private long tenure = 1;
    private long tick;
    private long baton;
    private double leaseFrom;
    private boolean imageHere;
    private final List<Task> tasks = new ArrayList<>();
    /** The first direct call that launched a task, by job. */
    private final Map<String, Http.Ask> launches = new java.util.concurrent.ConcurrentHashMap<>();
    private boolean changed = true;
    private int node;
    /** The machine hangs. */
    volatile boolean hangs;
    /** The machine fails every task that it starts. */
    volatile boolean faulty;

    Worker(World world, String name, String hall, boolean spot, double bootS) {
        this.world = world;
        this.name = name;
        this.hall = hall;
        this.spot = spot;
        this.upAt = createdAt + bootS;
        this.node = Math.floorMod(name.hashCode(), 3);
        try {
            this.address = Http.serve(this::handle);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Http.THREADS.execute(this::live);
        Http.THREADS.execute(this::report);
    }

    /** What no task takes of a resource of the machine: cores or ram_gb. */
    private synchronized double free(String resource, double all) {
        double free = all;
        for (Task t : tasks) {
            if (!t.status.equals("exited")) {
                free -= ((Number) world.jobs
                                .get(t.shard.substring(0, t.shard.indexOf('/')))
                                .get(resource))
                        .doubleValue();
            }
        }
        return up() && !removed && !hangs ? free : 0;
    }

    double freeCores() {
        return free("cores", 16);
    }

    /** Whether the machine has room for a task of the job. */
    boolean hasRoom(String job) {
        Map<String, Object> spec = world.jobs.get(job);
        return freeCores() >= ((Number) spec.get("cores")).doubleValue()
                && free("ram_gb", 64) >= ((Number) spec.get("ram_gb")).doubleValue();
    }

    double age() {
        return Kit.now() - createdAt;
    }

    boolean up() {
        return Kit.now() >= upAt;
    }

    private synchronized void live() {
        while (!up()) {
            pause(20);
        }
        leaseFrom = Kit.now();
        while (!removed) {
            if (!hangs) {
                step();
            }
            pause(20);
        }
    }

    private void pause(long ms) {
        try {
            wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step() {
        double now = Kit.now();
        if (now - leaseFrom > World.leaseS) {
            Kit.log(name + ": lease ends, session " + (tenure + 1));
            dropAll("lease");
            tenure++;
            leaseFrom = now;
            changed = true;
        }
        for (Task t : tasks) {
            String job = t.shard.substring(0, t.shard.indexOf('/'));
            if (t.status.equals("fetching") && (imageHere || now - t.since > 0.5)) {
                imageHere = true;
                t.status = "running";
                t.since = now;
                changed = true;
                t.fails = faulty;
                world.started(t.shard, name, t.attempt);
                if (world.done.contains(t.shard)) {
                    exit(t, "done");
                }
            } else if (t.status.equals("running") && t.fails && now - t.since > 0.5) {
                exit(t, "error");
            } else if (t.status.equals("running")
                    && !"standing".equals(world.jobs.get(job).get("shape"))
                    && now - t.since >= world.runS.get(job)) {
                exit(t, "done");
            }
        }
    }

    private void exit(Task t, String cause) {
        t.status = "exited";
        t.cause = cause;
        changed = true;
        world.ended(t.shard, name, cause);
    }

    private void dropAll(String why) {
        tasks.forEach(t -> {
            if (!t.status.equals("exited")) {
                world.ended(t.shard, name, why);
            }
        });
        tasks.clear();
    }

    synchronized void remove() {
        removed = true;
        dropAll("machine gone");
        notifyAll();
    }

    /**
     * The machine is back within a fraction of a second: a new worker without tasks, in its first session, that has
     * seen no token yet.
     */
    void restart() {
        synchronized (this) {
            Kit.log(name + ": machine restarts");
            dropAll("machine restarts");
            life++;
            tenure = 1;
            tick = 0;
            baton = 0;
            leaseFrom = Kit.now();
            changed = true;
            hangs = true;
        }
        Kit.sleep(200);
        hangs = false;
    }

    /** A copy of the answered call that launched a task of this job arrives once more. */
    void copy(String job) {
        Http.Ask ask = launches.get(job);
        Kit.log(name + ": a copy of the answered call " + ask.body() + " arrives");
        Kit.log(name + ": answers it with " + handle(ask).status());
    }

    boolean wasLaunchedByCall(String job) {
        return launches.containsKey(job);
    }

    private synchronized Map<String, Object> body() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("bothy", name);
        body.put("addr", address);
        body.put("flavour", World.type);
        body.put("hall", hall);
        body.put("lendable", spot);
        body.put("tenure", tenure);
        body.put("tick", ++tick);
        body.put("baton", baton);
        body.put("warning_s", null);
        List<Object> list = new ArrayList<>();
        for (Task t : tasks) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("shard", t.shard);
            entry.put("try", t.attempt);
            entry.put("status", t.status);
            if (t.cause != null) {
                entry.put("cause", t.cause);
            }
            list.add(entry);
        }
        body.put("shards", list);
        return body;
    }

    private void report() {
        Random random = new Random(name.hashCode());
        double next = 0;
        double last = -1;
        while (!removed) {
            double now = Kit.now();
            if (!up() || hangs || !(now >= next || (changed && now - last >= 0.5))) {
                Kit.sleep(20);
                continue;
            }
            next = now + World.reportS * (0.75 + random.nextDouble() / 2);
            last = now;
            Map<String, Object> body;
            long session;
            int sentInLife;
            synchronized (this) {
                sentInLife = life;
                changed = false;
                session = tenure;
                body = body();
            }
            Kit.Node to = world.nodes.get(node % 3);
            Http.Answer answer = Http.call(to.address, "POST", "/hello", body, 4000);
            while (hangs && !removed) {
                Kit.sleep(20);
            }
            if (answer.status() == 200 && Kit.now() - now < 4) {
                accept(answer, session, sentInLife, now);
            } else if (answer.status() == 421) {
                int named = -1;
                for (int i = 0; i < 3; i++) {
                    if (world.nodes.get(i).name.equals(answer.body().get("foreman"))) {
                        named = i;
                    }
                }
                if (named >= 0 && named != node % 3) {
                    node = named;
                    next = 0;
                } else {
                    node++;
                    next = Kit.now() + 1;
                }
            } else {
                node++;
                Kit.sleep(1000);
                next = 0;
            }
        }
    }

    private synchronized void accept(Http.Answer answer, long session, int sentInLife, double sentAt) {
        if (removed || sentInLife != life || session != tenure || !(answer.body().get("baton") instanceof Number token)) {
            return;
        }
        if (Long.compareUnsigned(token.longValue(), baton) < 0) {
            return;
        }
        see(token.longValue());
        leaseFrom = Math.max(leaseFrom, sentAt);
        execute(Store.list(answer.body(), "orders"));
    }

    private void see(long token) {
        if (token != baton) {
            baton = token;
            changed = true;
        }
    }

    private void execute(List<Map<String, Object>> orders) {
        for (Map<String, Object> order : orders) {
            String shard = (String) order.get("shard");
            long attempt = ((Number) order.get("try")).longValue();
            Task known = null;
            Task other = null;
            for (Task t : tasks) {
                if (t.shard.equals(shard) && t.attempt == attempt) {
                    known = t;
                } else if (t.shard.equals(shard) && !t.status.equals("exited")) {
                    other = t;
                }
            }
            switch ((String) order.get("verb")) {
                case "launch" -> {
                    if (known == null) {
                        launch(shard, attempt, other != null);
                    }
                }
                case "kill" -> {
                    if (known != null && !known.status.equals("exited")) {
                        exit(known, "stopped");
                    }
                }
                default -> {
                    if (known != null && known.status.equals("exited")) {
                        tasks.remove(known);
                        changed = true;
                    }
                }
            }
        }
    }

    private void launch(String shard, long attempt, boolean busy) {
        Task t = new Task();
        t.shard = shard;
        t.attempt = attempt;
        tasks.add(t);
        changed = true;
        Map<String, Object> job = world.jobs.get(shard.substring(0, shard.indexOf('/')));
        double used = 0;
        for (Iterator<Task> i = tasks.iterator(); i.hasNext(); ) {
            Task each = i.next();
            if (each != t && !each.status.equals("exited")) {
                used += ((Number) world.jobs
                                .get(each.shard.substring(0, each.shard.indexOf('/')))
                                .get("cores"))
                        .doubleValue();
            }
        }
        Kit.log(name + ": launch " + shard + " try " + attempt);
        if (job == null) {
            refuse(t, "unknown");
        } else if (busy) {
            refuse(t, "busy");
        } else if (used + ((Number) job.get("cores")).doubleValue() > 16) {
            refuse(t, "full");
        }
    }

    private void refuse(Task t, String cause) {
        t.status = "exited";
        t.cause = cause;
    }

    private Http.Answer handle(Http.Ask ask) {
        while (hangs && !removed) {
            Kit.sleep(20);
        }
        synchronized (this) {
            if (removed || !up()) {
                return Http.Answer.NONE;
            }
            if (ask.path().equals("/inspect")) {
                return new Http.Answer(200, body());
            }
            if (!(ask.body().get("baton") instanceof Number token) || !(ask.body().get("tenure") instanceof Number s)) {
                return Http.Answer.of(400);
            }
            if (Long.compareUnsigned(token.longValue(), baton) < 0 || s.longValue() != tenure) {
                return new Http.Answer(409, body());
            }
            see(token.longValue());
            for (Map<String, Object> order : Store.list(ask.body(), "orders")) {
                if (order.get("verb").equals("launch")) {
                    String shard = (String) order.get("shard");
                    launches.putIfAbsent(shard.substring(0, shard.indexOf('/')), ask);
                }
            }
            execute(Store.list(ask.body(), "orders"));
            return new Http.Answer(200, body());
        }
    }
}
