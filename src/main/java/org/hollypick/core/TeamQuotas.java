package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.Map;
import org.hollypick.config.Settings;

/**
 * Keeps the limits of teams: whether one more task may start, given what the team's tasks take and what machines of
 * earlier terms may still hold. Confined to the event loop.
 */
public final class TeamQuotas {
    private static final long NEVER = -1;

    private final Scheduler scheduler;
    private final Map<String, Settings.Team> teams;
    private final boolean severalTeams;
    private final TeamUsage usage = new TeamUsage();
    private boolean earlierLeadersKeptLimits;
    private long unreconciledCountedAt = NEVER;

    TeamQuotas(Scheduler scheduler, Settings settings) {
        this.scheduler = scheduler;
        this.teams = settings.teams();
        this.severalTeams = teams.size() > 1;
    }

    /** What the teams' tasks take. */
    TeamUsage usage() {
        return usage;
    }

    /** All earlier leaders kept the same limits of teams. */
    public void setEarlierLeadersKeptLimits() {
        earlierLeadersKeptLimits = true;
    }

    boolean severalTeams() {
        return severalTeams;
    }

    /**
     * Whether one more task keeps its team's limit. Machines of earlier terms may hold tasks that nobody has counted
     * yet.
     */
    public boolean withinLimit(JobSpec spec) {
        Settings.Team team = teams.get(spec.team());
        if (team == null || (team.cpusMax() <= 0 && team.gpusMax() <= 0)) {
            return true;
        }
        if (scheduler.reconciliationComplete()) {
            return usage.allows(team, spec);
        }
        if (unreconciledCountedAt != scheduler.lastEventAt()) {
            unreconciledCountedAt = scheduler.lastEventAt(); // within one moment there can only be fewer
            usage.countUnaccounted(scheduler.machines());
        }
        return usage.allowsBeforeReconciliation(team, spec, earlierLeadersKeptLimits);
    }

    /**
     * Cores that arrays can use at once beside the services of their teams.
     *
     * @param serviceCores cores of the services, by team
     * @param arrayCores cores that arrays ask for, by team
     * @return infinity if one of these teams has no limit
     */
    public double usableCores(Object2DoubleMap<String> serviceCores, Object2DoubleMap<String> arrayCores) {
        double usable = 0;
        for (Object2DoubleMap.Entry<String> entry : arrayCores.object2DoubleEntrySet()) {
            Settings.Team team = teams.get(entry.getKey());
            if (team == null || team.cpusMax() <= 0) {
                return Double.POSITIVE_INFINITY;
            }
            double leftByServices = Math.max(0, team.cpusMax() - serviceCores.getDouble(entry.getKey()));
            usable += Math.min(entry.getDoubleValue(), leftByServices);
        }
        return usable;
    }

    /** Whether all tasks are known, and no team takes more than its limit. */
    public boolean limitsKept() {
        return scheduler.reconciliationComplete() && usage.limitsKept(teams.values());
    }
}
