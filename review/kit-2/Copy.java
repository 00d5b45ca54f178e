import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A machine is back within a fraction of a second; a copy of an answered start command of a cancelled job follows. */
public final class Copy {
    public static void main(String[] args) throws Exception {
        Kit.run(args, folder -> {
            World world = new World();
            Store store = new Store(300, 100);
            Cloud cloud = new Cloud(world, 1, 2);
            Path temp = Kit.temp();
            List<Kit.Node> nodes =
                    Kit.controllers(temp, store, cloud.open(), World.PARAMS, "highveld-a", "coastal-b");
            world.nodes = nodes;
            for (Kit.Node node : nodes) {
                node.start();
            }
            if (!Kit.await(40, () -> nodes.stream().allMatch(Kit.Node::ready))) {
                return 2;
            }
            // A job that keeps the machine in use, and the one that is cancelled.
            String other = "req-000001";
            String cancelled = "req-000002";
            world.submit(World.job(other, "batch", "standard", 1, 2, 100), 105, nodes.get(0));
            if (!Kit.await(20, () -> !world.running(other).isEmpty())) {
                return 2;
            }
            world.submit(World.job(cancelled, "batch", "standard", 1, 2, 100), 105, nodes.get(0));
            if (!Kit.await(20, () -> !world.running(cancelled).isEmpty())) {
                return 2;
            }
            Worker machine = cloud.list().stream()
                    .filter(w -> w.wasLaunchedByCall(cancelled))
                    .findFirst()
                    .orElse(null);
            if (machine == null) {
                Kit.log("the task was not launched by a direct call");
                return 2;
            }
            Kit.sleep(4000);
            double told = 0;
            for (int i = 0; i < 30 && told == 0; i++) {
                Http.Answer answer = Http.call(
                        nodes.get(i % 3).address, "POST", "/submissions/" + cancelled + "/withdraw", Map.of(), 5000);
                Kit.log("user: withdraw " + cancelled + " at " + nodes.get(i % 3).name + ": " + answer.status() + " "
                        + answer.body());
                if (answer.status() == 200 && answer.text("status").equals("aborted")) {
                    told = Kit.now();
                } else {
                    Kit.sleep(1000);
                }
            }
            if (told == 0) {
                return 2;
            }
            world.cancelledAt.put(cancelled, told);
            while (Kit.now() < told + World.cancelS + 2) {
                Kit.sleep(50);
            }
            Kit.log("running of " + cancelled + ": " + world.running(cancelled));
            if (!cloud.list().contains(machine)) {
                Kit.log("the machine was returned");
                return 2;
            }
            if (Kit.TROUBLE) {
                machine.restart();
                Kit.sleep(100);
                machine.copy(cancelled);
            }
            Kit.sleep(8000);
            return world.broken.isEmpty() ? 0 : 1;
        });
    }
}
