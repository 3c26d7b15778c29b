//! Troubles of the operators' page "When troubles meet" that need state of their own:
//! reports kept for the next leader, users who look closely, and users who cancel at
//! the very end or just now.

use crate::cluster::{Event, Sim};
use beamhinge_emulator::user::UserRequest;
use beamhinge_emulator::{Micros, SECOND};
use rand::Rng;
use std::collections::BTreeMap;

/// Reports that are kept for the next leader, per machine.
const MAX_KEPT: usize = 3;
/// Machines that hang at most as users cancel.
const MAX_HUNG: usize = 8;
/// Part of the jobs at which users look closely that they then call off.
const CALLED_OFF: f64 = 0.1;

#[derive(Default)]
pub struct FaultInjection {
    /// Part of the reports of which a copy is kept for the next leader, and until when.
    pub keeps: (f64, Micros),
    kept: BTreeMap<u64, Vec<Vec<u8>>>,
    /// Part of the jobs that are cancelled as their last task ends, and until when.
    pub at_end: (f64, Micros),
    /// Until when users ask all nodes right after they were told something.
    pub looks: Micros,
    /// Links of controllers take so much longer, and until when.
    pub slow: (Micros, Micros),
    /// Part of the cloud's answers to rentals and releases that are lost.
    pub lose_cloud: f64,
    /// Part of the frames between controllers that are lost and sent again, the longest
    /// that this takes, and until when.
    pub frame_loss: (f64, Micros, Micros),
    /// Until when each link between two controllers, from and to, is held up by that.
    held_links: BTreeMap<(usize, usize), Micros>,
}

/// The shortest time after which TCP sends a lost packet again.
const RETRANSMIT_MIN: Micros = SECOND / 5;

impl Sim {
    /// How much longer a message over a controller's link takes now.
    pub fn link_delay(&self) -> Micros {
        let (more, until) = self.fault_injection.slow;
        if self.now < until {
            more
        } else {
            0
        }
    }

    /// When a frame arrives that would do so at `at`: behind a lost one that is being
    /// sent again, since a link keeps the order.
    pub fn frame_arrives(&mut self, from: usize, to: usize, at: Micros) -> Micros {
        let (part, most, until) = self.fault_injection.frame_loss;
        if self.now >= until {
            return at;
        }
        let lost = self.frame_rng.gen_bool(part);
        let again = lost.then(|| at + self.frame_rng.gen_range(RETRANSMIT_MIN..=most));
        let held = self
            .fault_injection
            .held_links
            .entry((from, to))
            .or_default();
        *held = (*held).max(again.unwrap_or(0));
        at.max(*held)
    }

    /// A report goes out: whether a copy is kept for the next leader.
    pub fn keep_report(&mut self, machine: u64, body: &[u8]) {
        let (part, until) = self.fault_injection.keeps;
        if self.now >= until || !self.rng.gen_bool(part) {
            return;
        }
        let kept = self.fault_injection.kept.entry(machine).or_default();
        if kept.len() < MAX_KEPT {
            kept.push(body.to_vec());
        }
    }

    /// A new leader begins: what was kept reaches every controller, all at once.
    pub fn deliver_kept(&mut self) {
        let kept = std::mem::take(&mut self.fault_injection.kept);
        for (machine, bodies) in kept {
            for body in bodies {
                for node in 0..self.settings.len() {
                    // While it reads its books, and just after.
                    let at = self.now + self.rng.gen_range(0..600_000);
                    self.push(at, Event::copy(machine, node, body.clone()));
                }
            }
        }
    }

    /// All nodes are asked within milliseconds, and the submission is sent again.
    pub fn look_closely(&mut self, job: &str) {
        if self.now >= self.fault_injection.looks {
            return;
        }
        for node in 0..self.settings.len() {
            for what in [UserRequest::Poll, UserRequest::Submit, UserRequest::Poll] {
                let at = self.now + self.rng.gen_range(0..8_000);
                self.push(
                    at,
                    Event::UserLooks {
                        job: job.to_string(),
                        what,
                        node,
                    },
                );
            }
        }
        if self.rng.gen_bool(CALLED_OFF) {
            let at = self.now + self.rng.gen_range(0..8_000);
            self.push(
                at,
                Event::UserSends {
                    job: job.to_string(),
                    what: UserRequest::Cancel,
                    since: at,
                },
            );
        }
    }

    /// The last task of a job has just ended on its machine.
    pub fn job_ended(&mut self, job: &str) {
        let (part, until) = self.fault_injection.at_end;
        if self.now < until && self.rng.gen_bool(part) {
            let at = self.now + self.rng.gen_range(0..200_000);
            self.push(
                at,
                Event::UserSends {
                    job: job.to_string(),
                    what: UserRequest::Cancel,
                    since: at,
                },
            );
        }
    }

    /// Users call off so many of the jobs that run and have long to go, within a fifth
    /// of a second; with `hang`, up to eight of their machines hang for so long.
    pub fn cancel_now(&mut self, count: usize, hang: Micros) {
        let mut running: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (id, w) in &self.workers {
            for t in w.running() {
                let job = t.task_id.split('/').next().unwrap_or("").to_string();
                let on = running.entry(job).or_default();
                if on.last() != Some(id) {
                    on.push(*id);
                }
            }
        }
        let open = |job: &String| {
            self.told
                .get(job)
                .is_some_and(|t| t.accepted && !t.asked_cancel && !t.done)
        };
        let mut jobs: Vec<(String, Vec<u64>)> =
            running.into_iter().filter(|(job, _)| open(job)).collect();
        // Those with the longest tasks.
        let run = |job: &str| self.jobs.get(job).map_or(0.0, |p| p.run_s);
        jobs.sort_by(|a, b| run(&b.0).total_cmp(&run(&a.0)));
        let mut hung = 0;
        for (job, machines) in jobs.into_iter().take(count) {
            let at = self.now + self.rng.gen_range(0..SECOND / 5);
            self.push(
                at,
                Event::UserSends {
                    job,
                    what: UserRequest::Cancel,
                    since: at,
                },
            );
            for machine in machines {
                let Some(w) = self.workers.get_mut(&machine).filter(|_| hang > 0) else {
                    continue;
                };
                if hung < MAX_HUNG && w.faults.hang_until < self.now {
                    hung += 1;
                    w.faults.hang_until = self.now + hang;
                    let until = w.faults.hang_until;
                    self.push(until, Event::WorkerStep { machine });
                    self.push(until, Event::Report { machine });
                }
            }
        }
    }
}
