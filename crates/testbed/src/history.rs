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
pub(crate) struct Reply {
    /// When the request was sent.
    pub start_s: f64,
    /// When the reply was received.
    pub end_s: f64,
    pub content: JobReply,
    /// Interface and controller that replied, for the failure report.
    pub source: String,
}

/// What a reply says about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobReply {
    Accepted,
    State(State),
    Unknown,
}

impl JobReply {
    fn is_known(self) -> bool {
        self != JobReply::Unknown
    }
    fn final_state(self) -> Option<State> {
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
    pub replies: Vec<Reply>,
    /// Whether a cancel request was sent, regardless of its result.
    pub cancel_sent: bool,
    /// Whether a submission was sent, regardless of its result.
    pub submitted: bool,
}

/// Task transitions observed on the machines.
#[derive(Default)]
pub(crate) struct TaskTransitions {
    /// Machine on which each task runs.
    running_on: BTreeMap<String, u64>,
    /// When each task first finished by itself, in seconds.
    pub finished_at_s: BTreeMap<String, f64>,
    /// Start times of all tasks, in seconds.
    pub start_times_s: Vec<f64>,
    /// Starts of a task that was running on a machine already.
    pub duplicate_starts: Vec<String>,
}

impl TaskTransitions {
    pub(crate) fn on_event(&mut self, at_s: f64, event: &MachineEvent) {
        let task_id = &event.event.task_id;
        match event.event.transition {
            TaskTransition::Started => {
                self.start_times_s.push(at_s);
                if let Some(other) = self.running_on.insert(task_id.clone(), event.machine) {
                    self.duplicate_starts.push(format!(
                        "{task_id} started on machine {} while running on {other}, at {at_s:.3} s",
                        event.machine
                    ));
                }
            }
            TaskTransition::Finished => {
                self.running_on.remove(task_id);
                self.finished_at_s.entry(task_id.clone()).or_insert(at_s);
            }
            TaskTransition::Stopped => {
                self.running_on.remove(task_id);
            }
        }
    }
}

/// Describes each inconsistency in the history by one line.
pub(crate) fn inconsistencies(
    jobs: &BTreeMap<String, JobHistory>,
    transitions: &TaskTransitions,
) -> Vec<String> {
    let mut inconsistencies: Vec<String> = transitions.duplicate_starts.clone();
    for (job, history) in jobs {
        inconsistencies.extend(inconsistent_replies(job, history));
        // Every task must have finished before any reply reports the job as done.
        let first_done_at_s = history
            .replies
            .iter()
            .filter(|r| r.content == JobReply::State(State::Done))
            .map(|r| r.end_s)
            .fold(f64::INFINITY, f64::min);
        if first_done_at_s.is_finite() {
            let unfinished = (0..history.tasks)
                .filter(|i| {
                    transitions
                        .finished_at_s
                        .get(&format!("{job}/{i}"))
                        .is_none_or(|at_s| *at_s > first_done_at_s)
                })
                .count();
            if unfinished > 0 {
                inconsistencies.push(format!(
                    "{job} was reported as done with {unfinished} unfinished tasks"
                ));
            }
        }
    }
    inconsistencies
}

/// Describes replies about a job that contradict each other, or what the clients sent.
fn inconsistent_replies(job: &str, history: &JobHistory) -> Vec<String> {
    let mut found = Vec::new();
    let mut by_start: Vec<&Reply> = history.replies.iter().collect();
    by_start.sort_by(|a, b| a.start_s.total_cmp(&b.start_s));
    let mut by_end: Vec<&Reply> = history.replies.iter().collect();
    by_end.sort_by(|a, b| a.end_s.total_cmp(&b.end_s));
    // Checks each reply against the replies that had been received before its request was sent.
    // `known` is the first of them that knows the job, `ended` the first with a final state.
    let (mut next, mut known, mut ended): (usize, Option<&Reply>, Option<&Reply>) = (0, None, None);
    for reply in by_start {
        while by_end.get(next).is_some_and(|r| r.end_s < reply.start_s) {
            let received = by_end[next];
            known = known.or(received.content.is_known().then_some(received));
            ended = ended.or(received.content.final_state().map(|_| received));
            next += 1;
        }
        if let (Some(earlier), JobReply::Unknown) = (known, reply.content) {
            found.push(format!(
                "{job} was known to {} at {:.3} s, but unknown to {} at {:.3} s",
                earlier.source, earlier.end_s, reply.source, reply.end_s
            ));
        }
        if let Some(earlier) = ended {
            let consistent = reply.content.final_state() == earlier.content.final_state()
                || reply.content == JobReply::Unknown;
            if !consistent {
                found.push(format!(
                    "{job} was {:?} for {} at {:.3} s, but {:?} for {} at {:.3} s",
                    earlier.content,
                    earlier.source,
                    earlier.end_s,
                    reply.content,
                    reply.source,
                    reply.end_s
                ));
            }
        }
        if reply.content.is_known() && !history.submitted {
            found.push(format!(
                "{job} was never submitted, but {} knows it",
                reply.source
            ));
        }
    }
    let final_states: BTreeSet<&'static str> = history
        .replies
        .iter()
        .filter_map(|r| r.content.final_state())
        .map(|s| {
            if s == State::Done {
                "done"
            } else {
                "cancelled"
            }
        })
        .collect();
    if final_states.len() > 1 {
        found.push(format!("{job} has two final states"));
    }
    if final_states.contains("cancelled") && !history.cancel_sent {
        found.push(format!("{job} was cancelled without a cancel request"));
    }
    found
}

#[cfg(test)]
mod tests;
