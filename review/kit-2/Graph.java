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
            Store store = new Store(300, 100);
            Cloud cloud = new Cloud(world, 4, 2);
            Path temp = Kit.temp();
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
                Kit.log("user: submit graph " + graph + " of " + NODES + " nodes (" + Cbor.encode(call).length
                        + " bytes of CBOR) at " + nodes.get(i % 3).name + ": "
                        + accepted);
                Kit.sleep(1000);
            }
            if (accepted != 201 && accepted != 200) {
                return 2;
            }
            if (!Kit.await(10, () -> !cloud.list().isEmpty())) {
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
                Kit.log("the trouble is over");
            }
            String job = "req-000001";
            Kit.Node other = nodes.get((nodes.indexOf(leading) + 1) % 3);
            int status = world.submit(World.job(job, "batch", "standard", 2, 2, 3), 3, other).status();
            if (status != 201) {
                return 2;
            }
            double waitsSince = Kit.now();
            while (Kit.now() < 115) {
                for (Kit.Node node : nodes) {
                    Http.Answer answer = world.poll(job, node);
                    Kit.log("user: poll " + job + " at " + node.name + ": " + answer.status() + " " + answer.body());
                    if (answer.status() == 200 && answer.text("status").equals("done")) {
                        return world.broken.isEmpty() ? 0 : 1;
                    }
                }
                long room = cloud.list().stream().filter(w -> w.hasRoom(job)).count();
                boolean started = world.starts.containsKey(job + "/0") || world.starts.containsKey(job + "/1");
                Kit.log("machines with room for a task of " + job + ": " + room + " of "
                        + cloud.list().size() + "; a task of it was started: " + started);
                // The job may run on any machine, and the limit of the team is none.
                if (started || room == 0) {
                    waitsSince = Kit.now();
                }
                if (Kit.now() - waitsSince > 90) {
                    for (Kit.Node node : nodes) {
                        Kit.log(node.name + ": alive=" + node.alive());
                        node.show("Exception");
                    }
                    world.broken("left waiting: no task of " + job
                            + " is started for 90 s while a machine that fits has room");
                    return 1;
                }
                Kit.sleep(1000);
            }
            return 2; // not over in time
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
