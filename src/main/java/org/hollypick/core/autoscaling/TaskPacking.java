package org.hollypick.core.autoscaling;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.assignment.Machine;

/**
 * Estimates which pending tasks fit on machines, by first-fit-decreasing bin packing. The sum of the free cores doesn't
 * show this, since each machine may have too few of them for a task. Ignores the zones and machine types that jobs
 * require. Confined to the event loop.
 */
final class TaskPacking {
    private static final Comparator<TaskSize> LARGEST_FIRST = Comparator.comparingDouble(TaskSize::cpus)
            .thenComparingDouble(TaskSize::gpus)
            .thenComparingDouble(TaskSize::memoryGb)
            .reversed();
    private final Map<TaskSize, Integer> countsBySize = new TreeMap<>(LARGEST_FIRST);

    /** The resources that one task needs. */
    private record TaskSize(double cpus, double gpus, double memoryGb) {}

    /** The free resources of a machine while tasks are packed onto it. */
    private static final class FreeResources {
        private double cpus;
        private double gpus;
        private double memoryGb;

        FreeResources(Machine machine) {
            cpus = machine.type.cpus() - machine.usedCpus();
            gpus = machine.type.gpus() - machine.usedGpus();
            memoryGb = machine.type.memoryGb() - machine.usedMemoryGb();
        }

        /** Packs as many of the tasks as fit, and returns their number. */
        int pack(TaskSize size, int count) {
            double packable = Math.min(count, maxTasks(cpus, size.cpus));
            packable = Math.min(packable, maxTasks(gpus, size.gpus));
            packable = Math.min(packable, maxTasks(memoryGb, size.memoryGb));
            int packed = (int) packable;
            cpus -= packed * size.cpus;
            gpus -= packed * size.gpus;
            memoryGb -= packed * size.memoryGb;
            return packed;
        }

        private static double maxTasks(double available, double perTask) {
            return perTask > 0
                    ? Math.floor(Math.max(0, available + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE) / perTask)
                    : Double.POSITIVE_INFINITY;
        }
    }

    /** Adds {@code count} pending tasks of the description. */
    void add(JobSpec spec, int count) {
        if (count > 0) {
            countsBySize.merge(new TaskSize(spec.cpus(), spec.gpus(), spec.memoryGb()), count, Integer::sum);
        }
    }

    /** Cores of the tasks that don't fit on the machines. */
    double unplacedCores(Collection<Machine> machines) {
        if (countsBySize.isEmpty()) {
            return 0;
        }
        TreeMap<TaskSize, Integer> unplaced = new TreeMap<>(LARGEST_FIRST);
        unplaced.putAll(countsBySize);
        double fewestCpus = unplaced.lastKey().cpus;
        for (Machine machine : machines) {
            boolean mayFit = machine.type.cpus() - machine.usedCpus() + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE
                    >= fewestCpus;
            if (mayFit && !machine.isEvicting()) {
                FreeResources free = new FreeResources(machine);
                unplaced.replaceAll((size, count) -> count - free.pack(size, count));
            }
        }
        double cores = 0;
        for (Map.Entry<TaskSize, Integer> entry : unplaced.entrySet()) {
            cores += entry.getKey().cpus * entry.getValue();
        }
        return cores;
    }
}
