package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Machines fail their tasks for a while and jobs are cancelled. Each direct call that a machine has carried out and
 * answered reaches it once more, 0.1 s after the machine has cleared an attempt that the call launched. No attempt may
 * start again, and no task may be on two machines.
 */
final class CopiedCall {
    private static final double SICK_S = 12;
    private static final double LENGTH_S = 60;
    private static final int JOBS = 24;

    private record Launch(Worker worker, JsonNode call, String shard, long attempt) {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Wire.run(args[0], () -> {
            try (Deployment d = new Deployment(Deployment.cardiffHunt(), Deployment.cardiffTypes(), Map.of(
                    Cloud.pool("derw-sixteen", "taf-bay", false), 20,
                    Cloud.pool("derw-sixteen", "menai-hall", false), 20), 3)) {
                for (String hall : List.of("taf-bay", "menai-hall", "taf-bay", "menai-hall")) {
                    d.cloud.addUp("derw-sixteen", hall, false);
                }
                d.startAll();
                if (!d.awaitReady(10)) {
                    throw new Wire.CannotRun("the controllers didn't get ready");
                }
                return play(d, trouble);
            }
        });
    }

    private static boolean play(Deployment d, boolean trouble) throws Wire.CannotRun {
        List<Launch> launches = new CopyOnWriteArrayList<>();
        for (Worker worker : d.cloud.workers()) {
            worker.sick = true;
            worker.onCall = call -> call.path("orders").forEach(order -> {
                if (order.path("verb").asText().equals("launch")) {
                    launches.add(new Launch(
                            worker, call, order.path("shard").asText(), order.path("try").asLong()));
                }
            });
        }
        double began = Wire.now();
        int submitted = 0;
        int copies = 0;
        boolean held = true;
        while (Wire.now() - began < LENGTH_S) {
            if (submitted < JOBS && Wire.now() - began > submitted * 0.8) {
                submit(d, submitted++);
            }
            if (Wire.now() - began > SICK_S) {
                d.cloud.workers().forEach(worker -> worker.sick = false);
            }
            for (Launch launch : launches) {
                if (trouble && !launch.worker.knows(launch.shard, launch.attempt)) {
                    launches.remove(launch);
                    Wire.sleep(0.1);
                    Wire.call("POST", launch.worker.address(), "/commands", launch.call, 1000);
                    copies++;
                    held &= !startedAgain(launch);
                }
            }
            held &= !onTwoMachines(d);
            Wire.sleep(0.02);
        }
        Wire.say(copies + " copies of answered calls were carried out or refused");
        if (trouble && copies < 10) {
            throw new Wire.CannotRun("too few copies");
        }
        return held;
    }

    private static void submit(Deployment d, int number) {
        String id = String.format("req-%06d", number + 1);
        ObjectNode job = Deployment.job(id, "bankfeed-recon", "llyfr-ops", "batch", "standard", 2, 1, 2);
        d.submit(job, number);
        if (number % 3 == 0) {
            d.withdraw(id, (number + 1) % 3);
        }
    }

    private static boolean startedAgain(Launch launch) {
        boolean again = launch.worker.knows(launch.shard, launch.attempt);
        if (again) {
            Wire.say(launch.shard + " attempt " + launch.attempt + " was cleared on " + launch.worker.name
                    + " and started again by a copy");
        }
        return again;
    }

    private static boolean onTwoMachines(Deployment d) {
        List<String> seen = new ArrayList<>();
        boolean twice = false;
        for (Worker worker : d.cloud.workers()) {
            for (String shard : worker.running()) {
                if (seen.contains(shard)) {
                    Wire.say(shard + " is on " + worker.name + " and on another machine");
                    twice = true;
                }
                seen.add(shard);
            }
        }
        return twice;
    }
}
