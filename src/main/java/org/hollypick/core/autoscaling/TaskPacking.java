package org.hollypick.core.autoscaling;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.hollypick.core.JobSpec;
import org.hollypick.core.assignment.Machine;

/**
 * Packs pending tasks into the free room of machines, the largest first, wherever they fit: free cores are no room if
 * each machine has too few of them for a task. Zones and machine types that a job asks for are left aside. Confined to
 * the event loop.
 */
final class TaskPacking {
    private static final Comparator<TaskSize> LARGEST_FIRST = Comparator.comparingDouble(TaskSize::cpus)
            .thenComparingDouble(TaskSize::gpus)
            .thenComparingDouble(TaskSize::memoryGb)
            .reversed();
    /** For rounding errors in sums of decimal amounts. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Map<TaskSize, Integer> tasks = new TreeMap<>(LARGEST_FIRST);

    /** What one task takes. */
    private record TaskSize(double cpus, double gpus, double memoryGb) {}

    /** What is left on a machine while tasks are packed into it. */
    private static final class FreeResources {
        private double cpus;
        private double gpus;
        private double memoryGb;

        FreeResources(Machine machine) {
            cpus = machine.type.cpus() - machine.usedCpus();
            gpus = machine.type.gpus() - machine.usedGpus();
            memoryGb = machine.type.memoryGb() - machine.usedMemoryGb();
        }

        /** Takes as many of the tasks as fit, and returns how many these are. */
        int pack(TaskSize size, int count) {
            double fitting = Math.min(count, maxTasks(cpus, size.cpus));
            fitting = Math.min(fitting, maxTasks(gpus, size.gpus));
            fitting = Math.min(fitting, maxTasks(memoryGb, size.memoryGb));
            int packed = (int) fitting;
            cpus -= packed * size.cpus;
            gpus -= packed * size.gpus;
            memoryGb -= packed * size.memoryGb;
            return packed;
        }

        private static double maxTasks(double available, double each) {
            return each > 0 ? Math.floor(Math.max(0, available + ROUNDING_TOLERANCE) / each) : Double.POSITIVE_INFINITY;
        }
    }

    /** So many more tasks of that description need room. */
    void add(JobSpec spec, int count) {
        if (count > 0) {
            tasks.merge(new TaskSize(spec.cpus(), spec.gpus(), spec.memoryGb()), count, Integer::sum);
        }
    }

    /** Cores of the tasks that find no room on these machines. */
    double unplacedCores(Collection<Machine> machines) {
        if (tasks.isEmpty()) {
            return 0;
        }
        TreeMap<TaskSize, Integer> waiting = new TreeMap<>(LARGEST_FIRST);
        waiting.putAll(tasks);
        double fewestCpus = waiting.lastKey().cpus;
        for (Machine machine : machines) {
            boolean mayFit = machine.type.cpus() - machine.usedCpus() + ROUNDING_TOLERANCE >= fewestCpus;
            if (mayFit && !machine.isEvicting()) {
                FreeResources free = new FreeResources(machine);
                waiting.replaceAll((size, count) -> count - free.pack(size, count));
            }
        }
        double cores = 0;
        for (Map.Entry<TaskSize, Integer> left : waiting.entrySet()) {
            cores += left.getKey().cpus * left.getValue();
        }
        return cores;
    }
}
