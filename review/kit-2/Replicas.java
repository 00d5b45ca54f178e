import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Machines fail the replicas that they start; then all are sound again, and a new machine comes. */
public final class Replicas {
    private static final String SERVICE = "req-000900";

    public static void main(String[] args) throws Exception {
        Kit.run(args, folder -> {
            World world = new World();
            String params = World.cyfrif();
            Store store = new Store(120, 30);
            Cloud cloud = new Cloud(world, 8, 1.5);
            Path temp = Kit.temp();
            List<Kit.Node> nodes = Kit.controllers(temp, store, cloud.open(), params, "taf-bay", "menai-hall");
            world.nodes = nodes;
            for (Kit.Node node : nodes) {
                node.start();
            }
            if (!Kit.await(20, () -> nodes.stream().allMatch(Kit.Node::ready))) {
                return 2;
            }
            // Three machines in each zone, each with one replica of 10 CPUs.
            List<String> others = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                others.add(background(world, i));
            }
            if (!Kit.await(30, () -> others.stream().allMatch(id -> world.running(id).size() == 2))) {
                return 2;
            }
            Set<String> before = new LinkedHashSet<>();
            for (Worker worker : cloud.list()) {
                if (worker.hall.equals("taf-bay") && !worker.spot) {
                    before.add(worker.name);
                    worker.faulty = Kit.TROUBLE;
                }
            }
            Kit.log("ordinary machines in taf-bay: " + before + (Kit.TROUBLE ? ", which fail every task that they start" : ""));
            Map<String, Object> job = World.job(SERVICE, "standing", "prod", 2, 2, 0);
            job.put("spread", true);
            job.put("ram_gb", 5.0);
            if (world.submit(job, 0, nodes.get(0)).status() != 201) {
                return 2;
            }
            if (Kit.TROUBLE) {
                boolean failed = Kit.await(30, () -> world.failedOn.size() >= 3);
                cloud.list().forEach(worker -> worker.faulty = false);
                Kit.log("all machines are sound again; the trouble is over; it failed on " + world.failedOn);
                if (!failed) {
                    return 2;
                }
            }
            // One more machine in each zone, on which no task has failed.
            background(world, 4);
            background(world, 5);
            if (!Kit.await(
                    20,
                    () -> cloud.list().stream()
                            .anyMatch(w -> w.up() && !w.spot && w.hall.equals("taf-bay") && !before.contains(w.name)))) {
                return 2;
            }
            double calm = Kit.now();
            double waitsSince = calm;
            while (Kit.now() < 114) {
                List<String> running = world.running(SERVICE);
                boolean room = false;
                String where = "";
                for (Worker worker : cloud.list()) {
                    if (!worker.spot && worker.hall.equals("taf-bay") && !before.contains(worker.name)) {
                        where = worker.name;
                        room |= worker.hasRoom(SERVICE);
                    }
                }
                // The limit of the team is none.
                if (running.size() == 2 || !room) {
                    waitsSince = Kit.now();
                }
                Kit.log("replicas that run: " + running + "; room on " + where
                        + ", an ordinary machine in taf-bay without failures: " + room + "; "
                        + world.poll(SERVICE, nodes.get(0)).body());
                if (Kit.now() - waitsSince > 90) {
                    world.broken("left waiting: a replica waits for 90 s while a machine that fits has room");
                    break;
                }
                if (running.size() == 2 && Kit.now() - calm > 15) {
                    return world.broken.isEmpty() ? 0 : 1;
                }
                Kit.sleep(1000);
            }
            if (world.broken.isEmpty()) {
                return 2; // not over in time
            }
            return world.broken.isEmpty() ? 0 : 1;
        });
    }

    private static String background(World world, int i) {
        String id = String.format("req-%06d", i);
        Map<String, Object> job = World.job(id, "standing", "prod", 2, 10, 0);
        job.put("spread", true);
        world.submit(job, 0, world.nodes.get(i % 3));
        return id;
    }
}
