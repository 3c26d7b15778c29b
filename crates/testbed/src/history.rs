//! History of requests, replies and task transitions, and a check that it is consistent.
//!
//! The clients and the emulated platform record the history, never a controller, so a faulty
//! controller cannot hide its errors.

use beamhinge_admin_api::messages::State;
use beamhinge_emulator::worker::TaskTransition;
use beamhinge_emulator::worker_pool::MachineEvent;
use std::collections::{BTreeMap, BTreeSet};

/// A reply about one job. Times are in seconds since the start of the experiment.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub asked: f64,
    pub got: f64,
    pub what: JobReply,
    /// Interface and controller that replied, for the failure report.
    pub by: String,
}

/// What a reply says about a job.
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

/// All requests and replies about one job.
#[derive(Default)]
pub(crate) struct JobHistory {
    pub tasks: u32,
    pub answers: Vec<Answer>,
    /// Whether a cancel request was sent, regardless of its result.
    pub cancel_sent: bool,
    /// Whether a submission was sent, regardless of its result.
    pub submitted: bool,
}

/// Task transitions observed on the machines.
#[derive(Default)]
pub(crate) struct Machines {
    /// Machine on which each task runs.
    on: BTreeMap<String, u64>,
    /// When each task first finished by itself, in seconds.
    pub ended: BTreeMap<String, f64>,
    /// Start times of all tasks, in seconds.
    pub begins: Vec<f64>,
    /// Starts of a task that was running on a machine already.
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
                        "{task_id} started on machine {} while running on {other}, at {at:.3} s",
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

/// Describes each inconsistency in the history by one line.
pub(crate) fn wrong(jobs: &BTreeMap<String, JobHistory>, machines: &Machines) -> Vec<String> {
    let mut wrong: Vec<String> = machines.twice.clone();
    for (job, h) in jobs {
        wrong.extend(wrong_answers(job, h));
        // Every task must have finished before any reply reports the job as done.
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
                wrong.push(format!(
                    "{job} was reported as done with {open} unfinished tasks"
                ));
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
    // Replies that had been received before each request was sent.
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
                "{job} was known to {} at {:.3} s, but unknown to {} at {:.3} s",
                k.by, k.got, a.by, a.got
            ));
        }
        if let Some(l) = last {
            let same = a.what.last() == l.what.last() || a.what == JobReply::Unknown;
            if !same {
                wrong.push(format!(
                    "{job} was {:?} according to {} at {:.3} s, then {:?} according to {} at {:.3} s",
                    l.what, l.by, l.got, a.what, a.by, a.got
                ));
            }
        }
        if a.what.known() && !h.submitted {
            wrong.push(format!("{job} was never submitted, but known to {}", a.by));
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
        wrong.push(format!("{job} has two final states"));
    }
    if finals.contains("cancelled") && !h.cancel_sent {
        wrong.push(format!("{job} was cancelled without a cancel request"));
    }
    wrong
}

#[cfg(test)]
mod tests;
