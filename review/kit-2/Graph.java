import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A graph is accepted whose first node awaits one of its last; then the leading controller crashes. */
public final class Graph {
    private static final int NODES = 300;

    public static void main(String[] args) throws Exception {
        Kit.run(args, folder -> {
            World world = new World();
            Store store = new Store(150, 50);
            Cloud cloud = new Cloud(world, 4, 2);
            Path temp = Files.createTempDirectory("case4");
            List<Kit.Node> nodes =
                    Kit.controllers(temp, store, cloud.open(), World.PARAMS, "highveld-a", "coastal-b");
            nodes.forEach(node -> node.option("--operator", "deploy/graphs.edn"));
            world.nodes = nodes;
            for (Kit.Node node : nodes) {
                node.start();
            }
            if (!Kit.await(20, () -> nodes.stream().allMatch(Kit.Node::ready))) {
                return 2;
            }
            String graph = "req-000500";
            world.jobs.put(graph, World.job(graph, "batch", "low", 1, 1, 20));
            world.runS.put(graph, 20.0);
            Map<String, Object> call = graph(graph);
            int accepted = 0;
            for (int i = 0; i < 20 && accepted != 201 && accepted != 200; i++) {
                Http.Answer answer = Http.call(nodes.get(i % 3).address, "POST", "/graphs", call, 5000);
                accepted = answer.status();
                Kit.log("user: submit graph " + graph + " of " + NODES + " nodes at " + nodes.get(i % 3).name + ": "
                        + accepted);
                Kit.sleep(1000);
            }
            if (accepted != 201 && accepted != 200) {
                return 2;
            }
            String leader = (String) ((Map<?, ?>) store.get("h/roster").data()).get("leader");
            Kit.log("the leading controller is " + leader);
            Kit.Node leading =
                    nodes.stream().filter(n -> n.name.equals(leader)).findFirst().orElseThrow();
            if (Kit.TROUBLE) {
                Kit.log(leader + " crashes");
                leading.kill();
                Kit.sleep(6000);
                leading.start();
            }
            double calm = Kit.now();
            String job = "req-000001";
            world.submit(World.job(job, "batch", "standard", 2, 2, 3), 3, nodes.get((nodes.indexOf(leading) + 1) % 3));
            while (Kit.now() < calm + 91) {
                for (Kit.Node node : nodes) {
                    Http.Answer answer = world.poll(job, node);
                    Kit.log("user: poll " + job + " at " + node.name + ": " + answer.status() + " " + answer.body());
                    if (answer.status() == 200 && answer.text("status").equals("done")) {
                        return world.broken.isEmpty() ? 0 : 1;
                    }
                }
                Kit.sleep(2000);
            }
            for (Kit.Node node : nodes) {
                Kit.log(node.name + ": alive=" + node.alive() + ", lines with an exception: "
                        + node.lines("IndexOutOfBoundsException"));
            }
            if (world.starts.getOrDefault(job + "/0", 0) == 0 && world.starts.getOrDefault(job + "/1", 0) == 0) {
                world.broken("left waiting: no task of " + job + " starts for 90 s");
            }
            return world.broken.isEmpty() ? 0 : 1;
        });
    }

    /** A graph whose first node awaits the last one; the others are independent. */
    private static Map<String, Object> graph(String id) {
        Map<String, Object> task = new LinkedHashMap<>();
        task.put("cores", 1.0);
        task.put("ram_gb", 2.0);
        task.put("bundle", "img-01");
        task.put("pull_gb", 1.0);
        task.put("expect_s", 20.0);
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("id", i == 0 ? "report" : "part-" + i);
            if (i == 0) {
                node.put("awaits", List.of("part-" + (NODES - 1)));
            }
            list.add(node);
        }
        Map<String, Object> call = new LinkedHashMap<>();
        call.put("name_id", id);
        call.put("jobkind", "test-sweep");
        call.put("owner", "kopano-ops");
        call.put("rank", "low");
        call.put("task", task);
        call.put("nodes", list);
        return call;
    }
}
