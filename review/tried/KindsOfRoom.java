package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * No case, since it takes longer than 120 s: an accepted job that fits only the larger machine type waits for more than
 * the four minutes in which "the largest ones too have to begin", though the cloud has such machines.
 *
 * <p>Run it from the repository's root with {@code java -Dsun.net.httpserver.nodelay=true -cp
 * review/classes:target/hollypick.jar review.KindsOfRoom KIND}, KIND being plain, big, type, ondemand or service.
 */
final class KindsOfRoom {
    private static final double LOOKED_S = 265;

    public static void main(String[] args) throws Exception {
        String kind = args[0];
        try (Deployment d = new Deployment(Deployment.cardiffHunt(), Deployment.cardiffTypes(), Map.of(
                Cloud.pool("derw-sixteen", "taf-bay", false), 20,
                Cloud.pool("derw-sixteen", "menai-hall", true), 20,
                Cloud.pool("onnen-thirtytwo", "taf-bay", false), 20,
                Cloud.pool("onnen-thirtytwo", "menai-hall", false), 20,
                Cloud.pool("onnen-thirtytwo", "taf-bay", true), 20,
                Cloud.pool("onnen-thirtytwo", "menai-hall", true), 20), 3)) {
            for (String hall : List.of("taf-bay", "menai-hall")) {
                d.cloud.addUp("derw-sixteen", hall, false);
            }
            d.startAll();
            d.awaitReady(20);
            ObjectNode first =
                    Deployment.job("req-000001", "receipt-reader", "llyfr-ops", "standing", "prod", 2, 2, 5);
            first.put("spread", true);
            d.submit(first, 0);
            Wire.sleep(4);
            d.submit(job(kind), 1);
            double from = Wire.now();
            String status = "";
            while (Wire.now() - from < LOOKED_S && !status.equals("running") && !status.equals("done")) {
                status = d.poll("req-000002", 0).body().path("status").asText();
                Wire.sleep(2);
            }
            System.out.println(kind + ": " + status + " after " + Math.round(Wire.now() - from) + " s, machines "
                    + d.cloud.workers().size());
        }
        System.exit(0);
    }

    private static ObjectNode job(String kind) {
        ObjectNode job = Deployment.job("req-000002", "recon", "llyfr-ops", "batch", "standard", 4, 2, 4);
        job.put("lendable", true).put("expect_s", 25.0);
        switch (kind) {
            case "big" -> job.put("cores", 20.0).put("shards", 1);
            case "type" -> job.putArray("flavours").add("onnen-thirtytwo");
            case "ondemand" -> job.put("lendable", false).putArray("flavours").add("onnen-thirtytwo");
            case "service" ->
                job.put("shape", "standing").put("rank", "prod").put("lendable", false).putArray("flavours").add(
                        "onnen-thirtytwo");
            default -> {}
        }
        return job;
    }
}
