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
    pub unbounded: bool,
    /// A machine that is silent is dead as long as most are heard.
    pub hasty: bool,
    /// Room is made all over the fleet, in CPUs, and kept for nobody.
    pub scattered: bool,
    /// Guard 4 left out: a holder out of touch answers its workers for ever.
    pub no_h: bool,
    /// Guard 4 renewed by what shows the hold alone, not the jobs.
    pub h_by_hold: bool,
    /// A cancelled task is stopped only once the books are read and its worker has
    /// shown our token; until then answers renew its lease.
    pub late_stops: bool,
    /// Guard 3 left out: absence is proof before the worker has shown our token.
    pub hasty_proof: bool,
    /// Guard 3 left out: silence after a takeover counts from our own answers alone.
    pub own_silence: bool,
    /// Guard 3 left out: reports that are not newer are taken like those that are.
    pub old_reports: bool,
    /// Guard 1 left out of placements: they do not rest on the block.
    pub no_block: bool,
    /// Guard 1 left out: a token whose term ended here is taken up again.
    pub old_term: bool,
    /// A take of ours whose answer was lost is never looked for.
    pub own_lead: bool,
    /// A stop whose `run` was lost stays in the books.
    pub stuck_stop: bool,
    /// Questions are answered from a copy older than they are.
    pub stale_answers: bool,
    /// A state service that refuses counts as one that is not heard at all.
    pub refused_is_cut: bool,
    /// The team limits' guard left out: what is to be stopped counts no more.
    pub forget_stopped: bool,
    /// The first word of a machine in a term counts as life, however old it may be.
    pub first_word: bool,
    /// Word of a job's end is not passed on between controllers.
    pub no_word: bool,
    /// A rental whose answer was lost is asked for under a new name.
    pub new_rental: bool,
    /// What is cancelled is inherited like what is not.
    pub inherited_runs: bool,
    /// Idle machines are given back though it is our own link that is silent.
    pub blind_return: bool,
    /// Absence from a direct answer ends what was only just sent.
    pub direct_absence: bool,
    /// A result is cleared on its machine before the state service knows it.
    pub early_clear: bool,
    /// Placements do not rest on the version of the teams' limits.
    pub no_configuration: bool,
    /// A holder that does not know which limits stand sends `run` all the same.
    pub stale_runs: bool,
    /// A change of configuration is taken in parts.
    pub half_applied: bool,
}

/// A switch's name in scenario files, and the switch.
type Named = (&'static str, fn(&mut Faults) -> &mut bool);

const NAMES: [Named; 26] = [
    ("unbounded", |f| &mut f.unbounded),
    ("hasty", |f| &mut f.hasty),
    ("scattered", |f| &mut f.scattered),
    ("no_h", |f| &mut f.no_h),
    ("h_by_hold", |f| &mut f.h_by_hold),
    ("late_stops", |f| &mut f.late_stops),
    ("hasty_proof", |f| &mut f.hasty_proof),
    ("own_silence", |f| &mut f.own_silence),
    ("old_reports", |f| &mut f.old_reports),
    ("no_block", |f| &mut f.no_block),
    ("old_term", |f| &mut f.old_term),
    ("own_lead", |f| &mut f.own_lead),
    ("stuck_stop", |f| &mut f.stuck_stop),
    ("stale_answers", |f| &mut f.stale_answers),
    ("refused_is_cut", |f| &mut f.refused_is_cut),
    ("forget_stopped", |f| &mut f.forget_stopped),
    ("first_word", |f| &mut f.first_word),
    ("no_word", |f| &mut f.no_word),
    ("new_rental", |f| &mut f.new_rental),
    ("inherited_runs", |f| &mut f.inherited_runs),
    ("blind_return", |f| &mut f.blind_return),
    ("direct_absence", |f| &mut f.direct_absence),
    ("early_clear", |f| &mut f.early_clear),
    ("no_configuration", |f| &mut f.no_configuration),
    ("stale_runs", |f| &mut f.stale_runs),
    ("half_applied", |f| &mut f.half_applied),
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
macro_rules! broken {
    ($faults:expr, $which:ident) => {
        cfg!(feature = "faults") && $faults.$which
    };
}
pub(crate) use broken;
