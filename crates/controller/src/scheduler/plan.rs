//! Runs one scheduling cycle. Pending tasks are placed on machines with free capacity or nominated
//! for machines where other tasks are about to end. If neither is possible and a job must not wait,
//! other tasks are preempted for it.

use super::bin_packing::PlacementPass;
use super::cycle::SchedulingCycle;
use super::queue::PendingJob;
use super::victims::{PreemptionClaim, PreemptionReason};
use super::Scheduler;
use crate::split::{MachineType, EPSILON};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{JobId, Time, WallMs};
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Maximum number of jobs for which tasks may be preempted in one cycle, not counting jobs within a
/// guarantee.
const MAX_CLAIMS_PER_CYCLE: usize = 24;

impl Scheduler {
    /// Runs one cycle. It only plans allocations and preemptions; `persistence` commits them and
    /// `reconciliation` sends the commands.
    pub(super) fn plan(
        &mut self,
        now: Time,
        wall: WallMs,
        settings: &Settings,
        machine_types: &[MachineType],
    ) {
        self.enforce_drains(now, wall);
        self.settle_nominations(now, machine_types);
        let mut cycle = self.begin_cycle(now, settings, machine_types);
        let guaranteed = self.guaranteed_jobs();
        let queue = self.pending_jobs(now, wall, settings, &guaranteed);
        let starving = self.starving_jobs(&cycle, &queue);
        let mut reserving_jobs = self.boosted_jobs(now, wall);
        reserving_jobs.extend(&starving);
        self.retain_reservations(now, machine_types, &reserving_jobs);
        let mut claims: Vec<PreemptionClaim> = Vec::new();
        let mut priority_lane_filled = false;
        for group in queue.chunk_by(|a, b| a.rank == b.rank) {
            let behind_priority_lane = group
                .first()
                .is_some_and(|pending| pending.rank.is_behind_priority_lane(self.aging.ceiling()));
            if behind_priority_lane && !priority_lane_filled {
                priority_lane_filled = true;
                self.fill_priority_lane(now, wall, &mut cycle);
            }
            if self.place_group(now, &mut cycle, group).is_break() {
                return;
            }
            cycle.update_max_free_cpus();
            for pending in group {
                self.preempt_and_nominate(now, wall, &mut cycle, pending, &guaranteed);
                claims.extend(self.preemption_claim(wall, pending));
            }
        }
        self.reserve_for_starving(now, &cycle, &starving);
        for claim in claims.iter().take(MAX_CLAIMS_PER_CYCLE) {
            self.preempt_for(now, wall, &mut cycle, claim, &guaranteed);
        }
    }

    /// The starving jobs of the queue, except those blocked by their team's limit. Free capacity
    /// does not help a blocked job, and a machine reserved for it would stay idle as long as it is
    /// blocked.
    fn starving_jobs(&self, cycle: &SchedulingCycle, queue: &[PendingJob]) -> Vec<JobId> {
        let blocked_by_limit = |id: JobId| {
            let Some(job) = self.jobs.get(&id) else {
                return false;
            };
            self.team_index(&job.spec).is_some_and(|team| {
                self.quota_exceeded(cycle.team_usage[team], team, &job.resources())
                    .is_some()
            })
        };
        queue
            .iter()
            .filter(|pending| pending.starving && !blocked_by_limit(pending.id))
            .map(|pending| pending.id)
            .collect()
    }

    /// Places the jobs of one rank on machines with free capacity. Breaks when the cycle may not
    /// place any more tasks.
    fn place_group(
        &mut self,
        now: Time,
        cycle: &mut SchedulingCycle,
        group: &[PendingJob],
    ) -> ControlFlow<()> {
        for pass in [
            PlacementPass::Pressing,
            PlacementPass::WithImage,
            PlacementPass::Any,
        ] {
            for pending in group
                .iter()
                .filter(|pending| pending.pressing == (pass == PlacementPass::Pressing))
            {
                if cycle.remaining_placements == 0 {
                    return ControlFlow::Break(());
                }
                // In a full fleet this skips the search over all machines, so that the cost is one
                // comparison per job.
                if pending.cpus > cycle.max_free_cpus + EPSILON {
                    continue;
                }
                let max_tasks = if pending.starving { 1 } else { u32::MAX };
                self.place_first_fit(now, cycle, pending.id, pass, max_tasks);
            }
        }
        ControlFlow::Continue(())
    }

    /// Preempts tasks for a job within its team's guarantee, and nominates the job's tasks for
    /// machines where others are about to end. A job whose class has a wait objective is not
    /// nominated: other tasks are preempted for it instead.
    fn preempt_and_nominate(
        &mut self,
        now: Time,
        wall: WallMs,
        cycle: &mut SchedulingCycle,
        pending: &PendingJob,
        guaranteed: &BTreeSet<JobId>,
    ) {
        if !pending.rank.not_prompt {
            let claim = PreemptionClaim {
                job: pending.id,
                reason: PreemptionReason::Guarantee,
                within_s: 0.0,
            };
            self.preempt_for(now, wall, cycle, &claim, guaranteed);
        }
        if pending.wait_objective_s.is_none() {
            self.nominate(now, cycle, pending);
        }
    }
}
