//! Fault injection: switches that bring back past faults or disable safety guards, so that
//! tests can prove that their checks detect them.
//!
//! The daemon is built without the feature `faults`: then
//! [`Node::inject_faults`](crate::node::Node) does not exist and `fault_injected!` is always
//! false. The simulator is built with the feature.

/// Past faults to inject, and guards of `docs/safety.md` to disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// A transaction may contain twice the allowed number of conditions, and after the
    /// key-value store rejects it as malformed the same transaction is built again.
    pub unbounded_transactions: bool,
    /// An unreachable machine is presumed dead after the timeout alone, as long as fewer than half
    /// of the machines are unreachable.
    pub silence_proves_death: bool,
    /// Preemption adds up the freed CPUs over the whole fleet instead of on one machine, ignores
    /// other resources, and does not reserve the freed capacity for the job.
    pub scattered_preemption: bool,
    /// Guard 4 disabled: a leader that cannot reach the key-value store keeps answering its
    /// workers without a time limit.
    pub no_serving_deadline: bool,
    /// Guard 4 weakened: the serving deadline is renewed by exchanges that confirm only the
    /// leadership, though the replica of the jobs is out of date.
    pub serving_deadline_from_lease: bool,
    /// A cancelled task is stopped only after the leader has loaded the allocations and the
    /// worker has reported this leader's fencing token; until then answers to the worker renew
    /// the task's lease.
    pub late_cancellation_stops: bool,
    /// Guard 3 disabled: a task missing from a report counts as ended even if the worker has
    /// not yet reported this leader's fencing token.
    pub absence_proof_without_token: bool,
    /// Guard 3 disabled: after a failover, the leases of workers are counted from the leadership
    /// acquisition or from this leader's answers; renewals by an earlier leader that still
    /// answers after the acquisition are ignored.
    pub silence_from_local_replies: bool,
    /// Guard 3 disabled: reports that are not newer than the last one are processed like new
    /// reports.
    pub stale_reports_accepted: bool,
    /// Guard 1 disabled for placements: their transactions are not conditional on the block
    /// key, which records the leadership.
    pub placements_without_block: bool,
    /// Guard 1 disabled: this controller resumes the fencing token of a term that it has
    /// already ended.
    pub ended_term_resumed: bool,
    /// After the reply to a leadership acquisition was lost, the block key is not read to find
    /// out whether the acquisition was committed.
    pub lost_acquisition_ignored: bool,
    /// An allocation that is to be stopped is never released if its `run` command was lost.
    pub stop_of_lost_run_kept: bool,
    /// User requests are answered from a replica that is older than the request.
    pub answers_from_stale_replica: bool,
    /// A key-value store that refuses requests counts as unreachable.
    pub refusal_counts_as_unreachable: bool,
    /// The guard of the team quotas disabled: tasks that are being stopped no longer count
    /// towards their team's usage.
    pub stopping_tasks_not_counted: bool,
    /// The first report of a machine in a term proves that the machine is alive, even if that
    /// report was delayed.
    pub first_report_proves_life: bool,
    /// The end of a job is not announced to the other controllers.
    pub job_ends_not_announced: bool,
    /// A rental request with unknown outcome is retried under a new rental name, so the retry is
    /// not idempotent and may rent machines twice.
    pub rental_retried_under_new_name: bool,
    /// A new leader loads the tasks of cancelled jobs from the placement pages like those of open
    /// jobs, and does not mark them to be stopped.
    pub cancelled_tasks_inherited: bool,
    /// Idle machines are returned to the cloud although this controller's local link is suspected
    /// to be down.
    pub machines_returned_while_link_down: bool,
    /// A task whose `run` was sent only just now counts as ended if the reply to a direct
    /// command does not list it.
    pub direct_reply_absence_ends_task: bool,
    /// A task's result is cleared on its machine before it is durable in the key-value store.
    pub result_cleared_before_durable: bool,
    /// Transactions of placements are not conditional on the version of the teams' quotas.
    pub placements_without_configuration: bool,
    /// A leader sends `run` although it does not know which version of the teams' quotas is in
    /// force.
    pub run_with_stale_configuration: bool,
    /// A configuration change takes effect in parts: chunks are applied without their head.
    pub configuration_partly_applied: bool,
}

/// The name of a switch in scenario files, and access to its field.
type Named = (&'static str, fn(&mut Faults) -> &mut bool);

const NAMES: [Named; 26] = [
    ("unbounded_transactions", |f| &mut f.unbounded_transactions),
    ("silence_proves_death", |f| &mut f.silence_proves_death),
    ("scattered_preemption", |f| &mut f.scattered_preemption),
    ("no_serving_deadline", |f| &mut f.no_serving_deadline),
    ("serving_deadline_from_lease", |f| {
        &mut f.serving_deadline_from_lease
    }),
    ("late_cancellation_stops", |f| {
        &mut f.late_cancellation_stops
    }),
    ("absence_proof_without_token", |f| {
        &mut f.absence_proof_without_token
    }),
    ("silence_from_local_replies", |f| {
        &mut f.silence_from_local_replies
    }),
    ("stale_reports_accepted", |f| &mut f.stale_reports_accepted),
    ("placements_without_block", |f| {
        &mut f.placements_without_block
    }),
    ("ended_term_resumed", |f| &mut f.ended_term_resumed),
    ("lost_acquisition_ignored", |f| {
        &mut f.lost_acquisition_ignored
    }),
    ("stop_of_lost_run_kept", |f| &mut f.stop_of_lost_run_kept),
    ("answers_from_stale_replica", |f| {
        &mut f.answers_from_stale_replica
    }),
    ("refusal_counts_as_unreachable", |f| {
        &mut f.refusal_counts_as_unreachable
    }),
    ("stopping_tasks_not_counted", |f| {
        &mut f.stopping_tasks_not_counted
    }),
    ("first_report_proves_life", |f| {
        &mut f.first_report_proves_life
    }),
    ("job_ends_not_announced", |f| &mut f.job_ends_not_announced),
    ("rental_retried_under_new_name", |f| {
        &mut f.rental_retried_under_new_name
    }),
    ("cancelled_tasks_inherited", |f| {
        &mut f.cancelled_tasks_inherited
    }),
    ("machines_returned_while_link_down", |f| {
        &mut f.machines_returned_while_link_down
    }),
    ("direct_reply_absence_ends_task", |f| {
        &mut f.direct_reply_absence_ends_task
    }),
    ("result_cleared_before_durable", |f| {
        &mut f.result_cleared_before_durable
    }),
    ("placements_without_configuration", |f| {
        &mut f.placements_without_configuration
    }),
    ("run_with_stale_configuration", |f| {
        &mut f.run_with_stale_configuration
    }),
    ("configuration_partly_applied", |f| {
        &mut f.configuration_partly_applied
    }),
];

impl Faults {
    /// Parses the names of one or several switches, joined by `+`; `None` if a name is unknown.
    pub fn named(names: &str) -> Option<Faults> {
        let mut faults = Faults::default();
        for name in names.split('+') {
            let (_, which) = NAMES.iter().find(|(n, _)| *n == name)?;
            *which(&mut faults) = true;
        }
        Some(faults)
    }
}

/// Whether a fault is injected. Without the feature `faults` this is the constant `false` and
/// compiles to nothing.
macro_rules! fault_injected {
    ($faults:expr, $which:ident) => {
        cfg!(feature = "faults") && $faults.$which
    };
}
pub(crate) use fault_injected;
