package org.hollypick.core;

import java.util.Map;
import java.util.Set;
import org.hollypick.config.Settings;

/**
 * Enforces the limits of teams: decides whether one more task may start, given the team's usage and what machines of
 * earlier terms may still hold. Confined to the event loop.
 */
public final class TeamQuotas {
    private static final long NEVER = -1;

    private final Scheduler scheduler;
    private final Map<String, Settings.Team> teams;
    private final boolean hasMultipleTeams;
    private final TeamUsage usage = new TeamUsage();
    private boolean earlierLeadersEnforcedLimits;
    private long unaccountedUpdatedAt = NEVER;

    TeamQuotas(Scheduler scheduler, Settings settings) {
        this.scheduler = scheduler;
        this.teams = settings.teams();
        this.hasMultipleTeams = teams.size() > 1;
    }

    /** The cores and GPUs that the teams use. */
    TeamUsage usage() {
        return usage;
    }

    /** Records that all earlier leaders enforced the same team limits. */
    public void setEarlierLeadersEnforcedLimits() {
        earlierLeadersEnforcedLimits = true;
    }

    boolean hasMultipleTeams() {
        return hasMultipleTeams;
    }

    /**
     * Whether the team stays within its limit with one more task of this specification. Until reconciliation is
     * complete, this takes into account that machines of earlier terms may hold tasks that aren't counted yet.
     */
    public boolean withinLimit(JobSpec spec) {
        Settings.Team team = teams.get(spec.team());
        if (team == null || (team.cpusMax() <= 0 && team.gpusMax() <= 0)) {
            return true;
        }
        if (scheduler.reconciliationComplete()) {
            return usage.allows(team, spec);
        }
        if (unaccountedUpdatedAt != scheduler.lastEventAt()) {
            // Computed once per event time: within one event the unaccounted machines can only become fewer.
            unaccountedUpdatedAt = scheduler.lastEventAt();
            usage.updateUnaccountedCapacity(scheduler.machines());
        }
        return usage.allowsBeforeReconciliation(team, spec, earlierLeadersEnforcedLimits);
    }

    /** The names of the teams in the settings. */
    public Set<String> teams() {
        return teams.keySet();
    }

    /** Whether the team's cores or GPUs are limited. */
    public boolean isLimited(String team) {
        return maxCpus(team) < Double.POSITIVE_INFINITY || maxGpus(team) < Double.POSITIVE_INFINITY;
    }

    /** Whether any team's cores or GPUs are limited. */
    public boolean anyLimited() {
        return teams.keySet().stream().anyMatch(this::isLimited);
    }

    /** Cores that the team may use at once; infinity if there is no limit. */
    public double maxCpus(String team) {
        Settings.Team settings = teams.get(team);
        return settings == null || settings.cpusMax() <= 0 ? Double.POSITIVE_INFINITY : settings.cpusMax();
    }

    /** GPUs that the team may use at once; infinity if there is no limit. */
    public double maxGpus(String team) {
        Settings.Team settings = teams.get(team);
        return settings == null || settings.gpusMax() <= 0 ? Double.POSITIVE_INFINITY : settings.gpusMax();
    }

    /** Whether all tasks are known and every team is within its limit. */
    public boolean allTeamsWithinLimits() {
        return scheduler.reconciliationComplete() && usage.allTeamsWithinLimits(teams.values());
    }
}
