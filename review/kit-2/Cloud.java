import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the cloud: rents machines of one type, each with a worker. */
final class Cloud {
    final Map<String, Worker> workers = new TreeMap<>();
    private final Map<String, List<String>> hires = new LinkedHashMap<>();
    final World world;
    final int limitPerZone;
    final double bootS;
    /** Told of each new machine. */
    java.util.function.Consumer<Worker> onNew = worker -> {};
    private int count;

    Cloud(World world, int limitPerZone, double bootS) {
        this.world = world;
        this.limitPerZone = limitPerZone;
        this.bootS = bootS;
    }

    String open() throws IOException {
        return Http.serve(this::handle);
    }

    synchronized List<Worker> list() {
        return new ArrayList<>(workers.values());
    }

    private synchronized Http.Answer handle(Http.Ask ask) {
        if (ask.path().equals("/machine_types")) {
            Map<String, Object> type = new LinkedHashMap<>();
            type.put("sku", World.type);
            type.put("cores", 16);
            type.put("gpus", 0);
            type.put("ram_gb", 64);
            type.put("cache_gb", 70);
            type.put("pull_gb_per_s", 5.0);
            type.put("price", 0.9);
            type.put("market_price", 0.36);
            type.put("ready_s", World.readyS);
            type.put("halls", World.halls);
            return Http.Answer.of(200, "flavours", List.of(type));
        }
        if (ask.path().equals("/hosts") && ask.method().equals("POST")) {
            String hire = (String) ask.body().get("hire");
            List<String> names = hires.get(hire);
            if (names == null) {
                String hall = (String) ask.body().get("hall");
                boolean spot = Boolean.TRUE.equals(ask.body().get("lendable"));
                long used = workers.values().stream()
                        .filter(w -> w.hall.equals(hall) && w.spot == spot)
                        .count();
                int number = (int) Math.min(((Number) ask.body().get("number")).longValue(), limitPerZone - used);
                if (number <= 0) {
                    return Http.Answer.of(503, "error", "no capacity");
                }
                names = new ArrayList<>();
                for (int i = 0; i < number; i++) {
                    String name = String.format("n-%06d", ++count);
                    Worker worker = new Worker(world, name, hall, spot, bootS);
                    workers.put(name, worker);
                    onNew.accept(worker);
                    names.add(name);
                }
                hires.put(hire, names);
                Kit.log("cloud: hire " + hire + " " + hall + " spot=" + spot + " " + names);
            }
            return Http.Answer.of(200, "bothies", names);
        }
        if (ask.path().equals("/hosts/return")) {
            for (Object name : (List<?>) ask.body().get("bothies")) {
                Worker worker = workers.remove(name);
                if (worker != null) {
                    Kit.log("cloud: " + name + " returned");
                    worker.remove();
                }
            }
            return Http.Answer.of(200);
        }
        List<Object> list = new ArrayList<>();
        String from = ask.query().getOrDefault("from", "");
        workers.forEach((name, worker) -> {
            if (name.compareTo(from) > 0 && worker.age() > 1.0) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("name_id", name);
                entry.put("addr", worker.address);
                entry.put("flavour", World.type);
                entry.put("hall", worker.hall);
                entry.put("lendable", worker.spot);
                entry.put("status", worker.up() ? "running" : "starting");
                entry.put("age_s", worker.age());
                list.add(entry);
            }
        });
        return Http.Answer.of(200, "bothies", list, "truncated", false);
    }
}
