package org.hollypick.core.estimate;

import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;

/**
 * The cores that batch tasks can use now and once booting machines are up.
 *
 * @param usableCores cores of schedulable machines that aren't occupied by services
 * @param freeCores cores of schedulable machines that aren't occupied at all
 * @param bootingCores cores of machines that haven't sent a heartbeat yet
 * @param bootSeconds seconds until the last of these machines is expected to be up
 */
record ClusterCapacity(double usableCores, double freeCores, double bootingCores, double bootSeconds) {
    /** Lower bound of the remaining boot time, for machines that take longer than their type's boot time. */
    private static final double MIN_BOOT_S = 1;

    /** Sums up the scheduler's machines; {@code nowMillis} is the event loop's clock. */
    static ClusterCapacity of(Scheduler scheduler, long nowMillis) {
        double usableCores = 0;
        double freeCores = 0;
        double bootingCores = 0;
        double bootSeconds = 0;
        for (Machine machine : scheduler.machines()) {
            if (machine.schedulable()) {
                usableCores += machine.type.cpus() - machine.serviceCpus();
                freeCores += machine.type.cpus() - machine.usedCpus();
            } else if (!machine.heartbeatReceived() && !machine.isScalingIn()) {
                double ageSeconds = (nowMillis - machine.createdAt) / 1000.0;
                bootingCores += machine.type.cpus();
                bootSeconds = Math.max(bootSeconds, Math.max(MIN_BOOT_S, machine.type.bootS() - ageSeconds));
            }
        }
        return new ClusterCapacity(usableCores, freeCores, bootingCores, bootSeconds);
    }

    /** Cores that batch tasks can use once the booting machines are up. */
    double expectedCores() {
        return usableCores + bootingCores;
    }
}
