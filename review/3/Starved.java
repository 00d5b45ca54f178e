package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * Two machines with a service are sick for 8 s: they fail every task that they start. A job that was submitted meanwhile
 * waits afterwards, though both machines are sound and have room for it.
 */
final class Starved {
    private static final double SICK_S = 8;
    private static final double LIMIT_S = 90;

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Wire.run(args[0], () -> {
            try (Deployment d = new Deployment(Deployment.cardiffHunt(), Deployment.cardiffTypes(), Map.of(
                    Cloud.pool("derw-sixteen", "taf-bay", false), 20,
                    Cloud.pool("derw-sixteen", "menai-hall", false), 20,
                    Cloud.pool("derw-sixteen", "taf-bay", true), 20,
                    Cloud.pool("derw-sixteen", "menai-hall", true), 20), 3)) {
                for (String hall : List.of("taf-bay", "menai-hall")) {
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
        ObjectNode service = Deployment.job("req-000001", "receipt-reader", "llyfr-ops", "standing", "prod", 2, 2, 5);
        service.put("spread", true);
        d.submit(service, 0);
        if (!await(d, "req-000001", 2, 10)) {
            throw new Wire.CannotRun("the service doesn't run");
        }
        if (trouble) {
            d.cloud.workers().forEach(w -> w.sick = true);
            Wire.say("trouble begins: every machine fails every task that it starts");
        }
        double began = Wire.now();
        ObjectNode array = Deployment.job("req-000002", "bankfeed-recon", "llyfr-ops", "batch", "standard", 1, 2, 4.6);
        array.put("lendable", true);
        if (d.submit(array, 1).status() != 201) {
            throw new Wire.CannotRun("the job wasn't accepted");
        }
        double last = 0;
        while (Wire.now() - began < SICK_S) {
            Wire.sleep(0.2);
        }
        d.cloud.workers().forEach(w -> w.sick = false);
        double over = Wire.now();
        Wire.say(trouble ? "trouble is over: all machines are sound" : "no trouble");
        double waitingSince = over;
        int node = 0;
        while (Wire.now() - over < LIMIT_S + 3) {
            Wire.Answer answer = d.poll("req-000002", node++ % 3);
            String status = answer.body().path("status").asText();
            if (status.equals("done")) {
                Wire.say("req-000002 is done");
                return true;
            }
            for (Worker w : d.cloud.workers()) {
                if (w.has("req-000002/0")) {
                    waitingSince = Wire.now();
                }
            }
            boolean room = d.cloud.workers().stream().anyMatch(w -> w.freeCores() >= 2 && w.freeRam() >= 4.6);
            if (!room) {
                waitingSince = Wire.now();
            }
            if (Wire.now() - last > 10) {
                last = Wire.now();
                StringBuilder machines = new StringBuilder();
                d.cloud.workers().forEach(w -> machines.append(" " + w.name + " free_cores=" + w.freeCores()));
                Wire.say("req-000002 " + status + ", waits since " + Math.round(Wire.now() - waitingSince) + " s;"
                        + machines);
            }
            if (Wire.now() - waitingSince > LIMIT_S) {
                Wire.say("req-000002 has waited for more than 90 s while machines that fit have room");
                return false;
            }
            Wire.sleep(1);
        }
        return true;
    }

    private static boolean await(Deployment d, String id, int running, double seconds) {
        double until = Wire.now() + seconds;
        while (Wire.now() < until) {
            if (d.poll(id, 0).body().path("running").asInt() == running) {
                return true;
            }
            Wire.sleep(0.5);
        }
        return false;
    }
}
