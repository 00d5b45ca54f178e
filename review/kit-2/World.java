import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What users, workers and the platform share: the uploaded jobs, the nodes, and the rules that are checked. */
final class World {
    static double reportS = 5.0;
    static double leaseS = 26.5;
    static double cancelS = 46.5;
    static String team = "kopano-ops";
    static String service = "score-api";
    static String array = "test-sweep";
    static String type = "veld-sixteen";
    static List<String> halls = List.of("highveld-a", "coastal-b");
    static double readyS = 50;
    List<Kit.Node> nodes = new ArrayList<>();
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    /** The run time of a job's tasks, in seconds. */
    final Map<String, Double> runS = new ConcurrentHashMap<>();
    /** Tasks that are on a machine (image present), with the machines' names. */
    final Map<String, List<String>> on = new LinkedHashMap<>();
    final Set<String> done = ConcurrentHashMap.newKeySet();
    final Map<String, Integer> starts = new ConcurrentHashMap<>();
    final List<String> broken = new ArrayList<>();
    /** The machines on which tasks exited with an error. */
    final Set<String> failedOn = ConcurrentHashMap.newKeySet();
    /** When a job's user was told that it is cancelled. */
    final Map<String, Double> cancelledAt = new ConcurrentHashMap<>();

    synchronized void broken(String what) {
        Kit.log("BROKEN " + what);
        broken.add(what);
    }

    synchronized void started(String task, String machine, long attempt) {
        Kit.log("run: " + task + " try " + attempt + " starts on " + machine);
        starts.merge(task, 1, Integer::sum);
        List<String> machines = on.computeIfAbsent(task, t -> new ArrayList<>());
        if (!machines.isEmpty()) {
            broken("ran_twice: " + task + " starts on " + machine + " while it is on " + machines);
        }
        machines.add(machine);
        Double told = cancelledAt.get(task.substring(0, task.indexOf('/')));
        if (told != null && Kit.now() > told + cancelS) {
            broken(String.format(
                    "ran_cancelled: %s starts %.1f s after its user was told; cancel_s is %.1f",
                    task, Kit.now() - told, cancelS));
        }
    }

    synchronized void ended(String task, String machine, String why) {
        List<String> machines = on.get(task);
        if (machines != null && machines.remove(machine)) {
            Kit.log("run: " + task + " ends on " + machine + ": " + why);
        }
        if (why.equals("done")) {
            done.add(task);
        } else if (why.equals("error")) {
            failedOn.add(machine);
        }
    }

    synchronized List<String> running(String job) {
        List<String> tasks = new ArrayList<>();
        on.forEach((task, machines) -> {
            if (!machines.isEmpty() && task.startsWith(job + "/")) {
                tasks.add(task);
            }
        });
        return tasks;
    }

    static Map<String, Object> job(String id, String shape, String rank, int shards, double cores, double expect) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("name_id", id);
        job.put("jobkind", shape.equals("standing") ? service : array);
        job.put("owner", team);
        job.put("shape", shape);
        job.put("rank", rank);
        job.put("shards", shards);
        job.put("cores", cores);
        job.put("gpus", 0.0);
        job.put("ram_gb", 3.0);
        job.put("bundle", "img-01");
        job.put("pull_gb", 1.0);
        job.put("flavours", null);
        job.put("hall", null);
        job.put("together", false);
        job.put("spread", false);
        job.put("lendable", !shape.equals("standing"));
        job.put("expect_s", expect);
        job.put("bookmark_s", 0.0);
        job.put("stow_s", 0.0);
        job.put("due_s", null);
        return job;
    }

    /** The settings of the sites ubuntu-arena-jhb-fleet and ubuntu-arena-jhb-hunt, which have the same values. */
    static final String PARAMS = "[[params.teams]]\nname = \"kopano-ops\"\ncpus = 0.0\ncpus_max = 0.0\n"
            + "gpus = 0.0\ngpus_max = 0.0\n[params.workers]\nreport_s = 5.0\nlease_s = 26.5\ngang_wait_s = 30.0\n"
            + "gang_peer_s = 6.0\ncancel_s = 46.5\n[params.state]\nrps = 300.0\nwrite_rps = 100.0\nvalue_kb = 16.0\n"
            + "txn_ops = 16\n[params.cloud]\nrps = 12.0\nlist_lag_s = 6.0\n"
            + "[params.resources]\ncores = 0.646\nmem_mb = 270.0\nsockets = 2881\n";

    /** Takes the values of the site cyfrif-cardiff-hunt instead of those of ubuntu-arena-jhb-hunt; returns its settings. */
    static String cyfrif() {
        reportS = 5.0;
        leaseS = 27.0;
        cancelS = 47.0;
        team = "llyfr-ops";
        service = "receipt-reader";
        array = "bankfeed-recon";
        type = "derw-sixteen";
        halls = List.of("taf-bay", "menai-hall");
        readyS = 35;
        return "[[params.teams]]\nname = \"llyfr-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
                + "[params.workers]\nreport_s = 5.0\nlease_s = 27.0\ngang_wait_s = 50.0\ngang_peer_s = 8.0\n"
                + "cancel_s = 47.0\n[params.state]\nrps = 120.0\nwrite_rps = 30.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
                + "[params.cloud]\nrps = 8.0\nlist_lag_s = 5.0\n"
                + "[params.resources]\ncores = 0.391\nmem_mb = 306.0\nsockets = 1800\n";
    }

    /** Submits a job at a node as a user does, with retries; returns the last answer. */
    Http.Answer submit(Map<String, Object> job, double runSeconds, Kit.Node first) {
        String id = (String) job.get("name_id");
        jobs.put(id, job);
        runS.put(id, runSeconds);
        Http.Answer answer = Http.Answer.NONE;
        int at = nodes.indexOf(first);
        double end = Kit.now() + 60;
        while (Kit.now() < end) {
            Kit.Node node = nodes.get(at++ % nodes.size());
            answer = Http.call(node.address, "POST", "/submissions", job, 5000);
            Kit.log("user: submit " + id + " at " + node.name + ": " + answer.status() + " " + answer.body());
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422) {
                return answer;
            }
            Kit.sleep(1000);
        }
        return answer;
    }

    Http.Answer poll(String id, Kit.Node node) {
        return Http.call(node.address, "GET", "/submissions/" + id, null, 2000);
    }
}
