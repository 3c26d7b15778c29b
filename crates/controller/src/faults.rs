//! Faults of old and guards left out, to be put in by tests: a check that cannot
//! find them is none.
//!
//! The daemon is built without the feature `faults`, and then [`Node::inject_faults`](crate::node::Node)
//! does not exist and every question here is answered no; the simulator sets it.

/// Which faults are there again, and which guards of `docs/safety.md` are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// A transaction takes more conditions than may be, and when it is refused
    /// the same is built again.
    pub unbounded_transactions: bool,
    /// A machine that is silent is dead as long as most are heard.
    pub silence_proves_death: bool,
    /// Room is made all over the fleet, in CPUs, and kept for nobody.
    pub scattered_preemption: bool,
    /// Guard 4 left out: a holder out of touch answers its workers for ever.
    pub no_serving_deadline: bool,
    /// Guard 4 renewed by what shows the hold alone, not the jobs.
    pub serving_deadline_from_lease: bool,
    /// A cancelled task is stopped only once the books are read and its worker has
    /// shown our token; until then answers renew its lease.
    pub late_cancellation_stops: bool,
    /// Guard 3 left out: absence is proof before the worker has shown our token.
    pub absence_proof_without_token: bool,
    /// Guard 3 left out: silence after a takeover counts from our own answers alone.
    pub silence_from_local_replies: bool,
    /// Guard 3 left out: reports that are not newer are taken like those that are.
    pub stale_reports_accepted: bool,
    /// Guard 1 left out of placements: they do not rest on the block.
    pub placements_without_block: bool,
    /// Guard 1 left out: a token whose term ended here is taken up again.
    pub ended_term_resumed: bool,
    /// A take of ours whose answer was lost is never looked for.
    pub lost_acquisition_ignored: bool,
    /// A stop whose `run` was lost stays in the books.
    pub stop_of_lost_run_kept: bool,
    /// Questions are answered from a copy older than they are.
    pub answers_from_stale_replica: bool,
    /// A state service that refuses counts as one that is not heard at all.
    pub refusal_counts_as_unreachable: bool,
    /// The team limits' guard left out: what is to be stopped counts no more.
    pub stopping_tasks_not_counted: bool,
    /// The first word of a machine in a term counts as life, however old it may be.
    pub first_report_proves_life: bool,
    /// Word of a job's end is not passed on between controllers.
    pub job_ends_not_announced: bool,
    /// A rental whose answer was lost is asked for under a new name.
    pub rental_retried_under_new_name: bool,
    /// What is cancelled is inherited like what is not.
    pub cancelled_tasks_inherited: bool,
    /// Idle machines are given back though it is our own link that is silent.
    pub machines_returned_while_link_down: bool,
    /// Absence from a direct answer ends what was only just sent.
    pub direct_reply_absence_ends_task: bool,
    /// A result is cleared on its machine before the state service knows it.
    pub result_cleared_before_durable: bool,
    /// Placements do not rest on the version of the teams' limits.
    pub placements_without_configuration: bool,
    /// A holder that does not know which limits stand sends `run` all the same.
    pub run_with_stale_configuration: bool,
    /// A change of configuration is taken in parts.
    pub configuration_partly_applied: bool,
}

/// A switch's name in scenario files, and the switch.
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
    /// One of them by its name, or several: `one+another`.
    pub fn named(names: &str) -> Option<Faults> {
        let mut faults = Faults::default();
        for name in names.split('+') {
            let (_, which) = NAMES.iter().find(|(n, _)| *n == name)?;
            *which(&mut faults) = true;
        }
        Some(faults)
    }
}

/// Whether a fault is put in. Without the feature it is none, and the question
/// costs nothing.
macro_rules! fault_injected {
    ($faults:expr, $which:ident) => {
        cfg!(feature = "faults") && $faults.$which
    };
}
pub(crate) use fault_injected;
