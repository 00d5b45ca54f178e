import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A machine fails the replica that it starts; then the machine is sound again. */
public final class Case6 {
    private static final String SERVICE = "req-000001";

    public static void main(String[] args) throws Exception {
        Kit.run(args, folder -> {
            World world = new World();
            String params = World.cyfrif();
            Store store = new Store(120, 30);
            Cloud cloud = new Cloud(world, 8, 2);
            Worker[] faulty = new Worker[1];
            cloud.onNew = worker -> {
                if (Kit.TROUBLE && faulty[0] == null && !worker.spot && worker.hall.equals("taf-bay")) {
                    Kit.log(worker.name + " fails every task that it starts, from now on");
                    worker.faulty = true;
                    faulty[0] = worker;
                }
            };
            Path temp = Files.createTempDirectory("case6");
            List<Kit.Node> nodes =
                    Kit.controllers(temp, store, cloud.open(), params, "taf-bay", "menai-hall");
            world.nodes = nodes;
            for (Kit.Node node : nodes) {
                node.start();
            }
            if (!Kit.await(20, () -> nodes.stream().allMatch(Kit.Node::ready))) {
                return 2;
            }
            // As receipt-reader: 3 tasks of 2 CPUs and 5 GB, spread over the zones.
            Map<String, Object> job = World.job(SERVICE, "standing", "prod", 3, 2, 0);
            job.put("spread", true);
            job.put("ram_gb", 5.0);
            world.submit(job, 0, nodes.get(0));
            if (Kit.TROUBLE) {
                if (!Kit.await(30, () -> faulty[0] != null && world.failures > 0)) {
                    return 2;
                }
                faulty[0].faulty = false;
                Kit.log(faulty[0].name + " is sound again; the trouble is over");
            }
            double calm = Kit.now();
            double waitsSince = calm;
            boolean waited = false;
            while (Kit.now() < calm + 95 && Kit.now() < 114) {
                List<String> running = world.running(SERVICE);
                double room = 0;
                for (Worker worker : cloud.list()) {
                    if (!worker.spot && worker.hall.equals("taf-bay")) {
                        room = Math.max(room, worker.freeCores());
                    }
                }
                // The limit of the team is none.
                if (running.size() == 3 || room < 2) {
                    waitsSince = Kit.now();
                }
                Kit.log("replicas that run: " + running + "; most free cores on an ordinary machine in taf-bay: "
                        + room + "; " + world.poll(SERVICE, nodes.get(0)).body());
                if (Kit.now() - waitsSince > 90) {
                    waited = true;
                    break;
                }
                if (running.size() == 3 && Kit.now() - calm > 20) {
                    break;
                }
                Kit.sleep(1000);
            }
            if (waited) {
                world.broken("left waiting: a replica waits for 90 s while a machine that fits has room");
            }
            return world.broken.isEmpty() ? 0 : 1;
        });
    }
}
