//! What was asked, answered and seen, and whether it can all be true.
//!
//! Kept by those who ask and by the platform, never by a controller: a
//! controller that is wrong cannot hide it here.

use beamhinge_admin_api::messages::State;
use beamhinge_emulator::worker::TaskTransition;
use beamhinge_emulator::worker_pool::MachineEvent;
use std::collections::{BTreeMap, BTreeSet};

/// An answer about one job; times in seconds of the experiment.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub asked: f64,
    pub got: f64,
    pub what: JobReply,
    /// Who said it, for the reader of a failure.
    pub by: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobReply {
    Accepted,
    State(State),
    Unknown,
}

impl JobReply {
    fn known(self) -> bool {
        self != JobReply::Unknown
    }
    fn last(self) -> Option<State> {
        match self {
            JobReply::State(s) if s.is_final() => Some(s),
            _ => None,
        }
    }
}

#[derive(Default)]
pub(crate) struct JobHistory {
    pub tasks: u32,
    pub answers: Vec<Answer>,
    /// A cancel was sent, whatever came of it.
    pub cancel_sent: bool,
    /// A submission was sent, whatever came of it.
    pub submitted: bool,
}

#[derive(Default)]
pub(crate) struct Machines {
    /// task -> machine it is on
    on: BTreeMap<String, u64>,
    /// task -> when it first came to its own end
    pub ended: BTreeMap<String, f64>,
    pub begins: Vec<f64>,
    pub twice: Vec<String>,
}

impl Machines {
    pub(crate) fn on_event(&mut self, at: f64, seen: &MachineEvent) {
        let task_id = &seen.event.task_id;
        match seen.event.transition {
            TaskTransition::Started => {
                self.begins.push(at);
                if let Some(other) = self.on.insert(task_id.clone(), seen.machine) {
                    self.twice.push(format!(
                        "{task_id} began on machine {} while on {other}, at {at:.3} s",
                        seen.machine
                    ));
                }
            }
            TaskTransition::Finished => {
                self.on.remove(task_id);
                self.ended.entry(task_id.clone()).or_insert(at);
            }
            TaskTransition::Stopped => {
                self.on.remove(task_id);
            }
        }
    }
}

/// Everything that cannot be true at once, one line each.
pub(crate) fn wrong(jobs: &BTreeMap<String, JobHistory>, machines: &Machines) -> Vec<String> {
    let mut wrong: Vec<String> = machines.twice.clone();
    for (job, h) in jobs {
        wrong.extend(wrong_answers(job, h));
        // Done is done: each task came to its own end before anybody said so.
        let first_done = h
            .answers
            .iter()
            .filter(|a| a.what == JobReply::State(State::Done))
            .map(|a| a.got)
            .fold(f64::INFINITY, f64::min);
        if first_done.is_finite() {
            let open = (0..h.tasks)
                .filter(|i| {
                    machines
                        .ended
                        .get(&format!("{job}/{i}"))
                        .is_none_or(|at| *at > first_done)
                })
                .count();
            if open > 0 {
                wrong.push(format!("{job} was called done with {open} tasks open"));
            }
        }
    }
    wrong
}

fn wrong_answers(job: &str, h: &JobHistory) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut by_asked: Vec<&Answer> = h.answers.iter().collect();
    by_asked.sort_by(|a, b| a.asked.total_cmp(&b.asked));
    let mut by_got: Vec<&Answer> = h.answers.iter().collect();
    by_got.sort_by(|a, b| a.got.total_cmp(&b.got));
    // What had been answered before each question was asked.
    let (mut next, mut known, mut last): (usize, Option<&Answer>, Option<&Answer>) =
        (0, None, None);
    for a in by_asked {
        while by_got.get(next).is_some_and(|g| g.got < a.asked) {
            let g = by_got[next];
            known = known.or(g.what.known().then_some(g));
            last = last.or(g.what.last().map(|_| g));
            next += 1;
        }
        if let (Some(k), JobReply::Unknown) = (known, a.what) {
            wrong.push(format!(
                "{job} was known to {} at {:.3} s, and unknown to {} at {:.3} s",
                k.by, k.got, a.by, a.got
            ));
        }
        if let Some(l) = last {
            let same = a.what.last() == l.what.last() || a.what == JobReply::Unknown;
            if !same {
                wrong.push(format!(
                    "{job} was {:?} by {} at {:.3} s, then {:?} by {} at {:.3} s",
                    l.what, l.by, l.got, a.what, a.by, a.got
                ));
            }
        }
        if a.what.known() && !h.submitted {
            wrong.push(format!("{job} was never submitted, and known to {}", a.by));
        }
    }
    let finals: BTreeSet<&'static str> = h
        .answers
        .iter()
        .filter_map(|a| a.what.last())
        .map(|s| {
            if s == State::Done {
                "done"
            } else {
                "cancelled"
            }
        })
        .collect();
    if finals.len() > 1 {
        wrong.push(format!("{job} has two final answers"));
    }
    if finals.contains("cancelled") && !h.cancel_sent {
        wrong.push(format!("{job} was cancelled by nobody"));
    }
    wrong
}

#[cfg(test)]
mod tests;
