import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** All controllers crash after a day of operation at the rates of the pages, and come back. */
public final class Case4 {
    /** score-api 51, test-sweep 48 and lint-pass 20 jobs a minute. */
    private static final int JOBS_A_MINUTE = 51 + 48 + 20;

    private static final String PARAMS = "[[params.teams]]\nname = \"kopano-ops\"\ncpus = 0.0\ncpus_max = 0.0\n"
            + "gpus = 0.0\ngpus_max = 0.0\n[params.workers]\nreport_s = 5.0\nlease_s = 26.5\ngang_wait_s = 30.0\n"
            + "gang_peer_s = 6.0\ncancel_s = 46.5\n[params.state]\nrps = 300.0\nwrite_rps = 100.0\nvalue_kb = 16.0\n"
            + "txn_ops = 16\n[params.cloud]\nrps = 12.0\nlist_lag_s = 6.0\n[params.resources]\ncores = 0.646\n"
            + "mem_mb = 270.0\nsockets = 2881\n";

    public static void main(String[] args) throws Exception {
        Kit.run(args, folder -> {
            int minutes = Kit.TROUBLE ? 24 * 60 : 60;
            World world = new World();
            Store store = new Store(300, 100);
            Cloud cloud = new Cloud(world, 4, 2);
            Path temp = Files.createTempDirectory("case4");
            List<Kit.Node> nodes = Kit.controllers(temp, store, cloud.open(), PARAMS, "highveld-a", "coastal-b");
            world.nodes = nodes;
            for (Kit.Node node : nodes) {
                node.start();
            }
            if (!Kit.await(20, () -> nodes.stream().allMatch(Kit.Node::ready))) {
                return 2;
            }
            String id = "req-000001";
            int status = world.submit(World.job(id, "batch", "standard", 1, 2, 2), 2, nodes.get(0)).status();
            if (status != 201 || !Kit.await(20, () -> world.poll(id, nodes.get(0)).text("status").equals("done"))) {
                return 2;
            }
            Kit.log("user: " + id + " is done; its record in the state service: " + store.get("h/j/" + id).data());
            Map<?, ?> ended = (Map<?, ?>) store.get("h/j/" + id).data();

            Kit.log("all controllers crash");
            nodes.forEach(Kit.Node::kill);
            int jobs = minutes * JOBS_A_MINUTE;
            for (int i = 2; i <= jobs; i++) {
                store.preload(String.format("h/j/req-%06d", i), ended);
            }
            Kit.log("the state service holds the records of " + jobs + " ended jobs: " + minutes + " minutes at "
                    + JOBS_A_MINUTE + " a minute");
            Kit.sleep(6000);
            for (Kit.Node node : nodes) {
                node.start();
            }
            double back = Kit.now();
            double[] endedAt = new double[3];
            int answers = 0;
            while (Kit.now() < back + 78) {
                for (int i = 0; i < 3; i++) {
                    Kit.Node node = nodes.get(i);
                    if (!node.alive() && endedAt[i] == 0) {
                        endedAt[i] = Kit.now();
                        Kit.log(node.name + ": process ended by itself with code " + node.exitCode());
                    }
                    if (endedAt[i] != 0 && Kit.now() > endedAt[i] + 6) {
                        endedAt[i] = 0;
                        node.start();
                    }
                    Http.Answer answer = node.alive() ? world.poll(id, node) : Http.Answer.NONE;
                    Kit.log("user: poll " + id + " at " + node.name + ": " + answer.status() + " " + answer.body());
                    if (answer.status() == 200 && answer.text("status").equals("done")) {
                        answers++;
                    } else if (answer.status() == 200 || answer.status() == 404) {
                        world.broken("wrong answer");
                    }
                }
                if (answers >= 9) {
                    return 0;
                }
                Kit.sleep(1000);
            }
            for (Kit.Node node : nodes) {
                Kit.log(node.name + ": started " + node.starts + " times, out of memory "
                        + node.lines("OutOfMemoryError") + " times");
            }
            if (answers == 0) {
                world.broken("forgotten: no question about " + id + " is answered for 75 s");
            }
            return world.broken.isEmpty() ? 0 : 1;
        });
    }
}
