//! What is looked at as time passes: heartbeats, stalls, the lead, silent machines.

use super::Node;
use crate::fleet::MAX_PEER_OBSERVATION_AGE_S;
use crate::peers;
use crate::scheduler::DirectCall;
use crate::worker_protocol::WorkerCommand;
use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::peers::{encode, Frame};
use beamhinge_core::types::{CallId, FencingToken, MachineId, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_failure_detection::ProgressSnapshot;
use beamhinge_standby::{takeover_rank, Observer, HEARTBEAT_S};
use serde::Serialize;
use std::net::SocketAddrV4;

#[derive(Serialize)]
struct Direct {
    #[serde(rename = "baton")]
    fencing_token: u64,
    #[serde(rename = "tenure")]
    incarnation: u64,
    #[serde(rename = "orders")]
    commands: Vec<WorkerCommand>,
}

/// Silent machines that are asked at the same time: each that is cut off holds a socket
/// until its time is up.
const MAX_ASKED: usize = 16;

/// How long until the same one is asked again, seconds.
const ASK_AGAIN_S: f64 = 3.0;

impl Node {
    pub(super) fn take_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        if now.since(self.heartbeat_sent) >= HEARTBEAT_S {
            self.heartbeat_sent = now;
            self.send_heartbeat(out);
        }
        // Every tick: half a second more would be a part of the time of an urgent start.
        self.consider_taking_early(now);
        if now.since(self.peers.last_sent) >= 1.0 {
            self.peers.last_sent = now;
            let age = self.store_age(now);
            let pulse = Frame::Heartbeat {
                label: self.settings.label.clone(),
                store_age_ms: (age * 1e3) as u64,
                leader: self.scheduler.is_some(),
            };
            out.push(Effect::SendFrame {
                to: None,
                frame: encode(&pulse),
            });
            // Only where it matters: the version before this one does not know
            // the frame, and breaks the link at it.
            if self.directives.active_directives().any_controller_drained() {
                let ready = Frame::Readiness {
                    label: self.settings.label.clone(),
                    ready: self.job_store.loaded() && age < 3.0,
                    drained: self.drained(),
                };
                out.push(Effect::SendFrame {
                    to: None,
                    frame: encode(&ready),
                });
            }
            if let Some(scheduler) = self.scheduler.as_ref().filter(|p| p.loaded()) {
                for frame in peers::progress_frames(scheduler.all_counts()) {
                    out.push(Effect::SendFrame {
                        to: None,
                        frame: encode(&frame),
                    });
                }
            }
        }
        if now.since(self.misrouted_announced_at) >= 0.5 {
            self.misrouted_announced_at = now;
            self.announce_misrouted_workers(now, out);
        }
        if now.since(self.looked) >= 0.5 {
            self.looked = now;
            self.peer_observations
                .expire(now, MAX_PEER_OBSERVATION_AGE_S);
            self.consider_stall(now, out);
            self.consider_stepping_back(now);
            self.ask_silent(now, out);
            self.obey_drain(now);
            if now.since(self.measured) >= 1.0 {
                self.measured = now;
                self.measure(now, wall);
            }
        }
        self.nudge(now, out);
        self.run(now, wall, out);
    }

    /// Tells our token to our peers: they watch over us by it. And a former holder that
    /// is cut off from the state service alone would answer its workers for seconds
    /// more; this ends its term.
    pub(super) fn send_heartbeat(&self, out: &mut Vec<Effect>) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let label = self.settings.label.clone();
        let holds = Frame::LeaderHeartbeat {
            label,
            fencing_token: scheduler.fencing_token().0,
        };
        out.push(Effect::SendFrame {
            to: None,
            frame: encode(&holds),
        });
    }

    /// Figures that are of a moment, taken each second.
    pub(super) fn measure(&mut self, now: Time, wall: WallMs) {
        if self.admin_api.is_none() {
            return;
        }
        if let Some(scheduler) = self.scheduler.as_mut().filter(|p| p.loaded()) {
            self.metrics
                .record_placements(&scheduler.event_log.take_placement_ages());
            let totals = scheduler.totals(now, wall, self.fleet.machine_types());
            self.metrics.record_oldest_wait(totals.oldest_wait_s);
        }
    }

    /// A drained controller hands its lead to one that is ready, and takes none
    /// while there is such a one. Without one it goes on: that somebody leads
    /// matters more.
    pub(super) fn obey_drain(&mut self, now: Time) {
        if !self.drained() || !self.peers.has_successor(now) {
            return;
        }
        if self.scheduler.is_some() {
            self.election.transfer(now, &mut self.store);
        } else {
            self.election.defer(now);
        }
    }

    /// Tells the holder who comes here instead: they live, whatever it thinks.
    pub(super) fn announce_misrouted_workers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let machines = self
            .misrouted_workers
            .recent(now, MAX_PEER_OBSERVATION_AGE_S);
        if machines.is_empty() || self.scheduler.is_some() {
            return;
        }
        let Some(leader) = self.peers.leader(now).or(self.election.other_leader()) else {
            return;
        };
        for hears in Frame::misrouted_workers(&self.settings.label, &machines) {
            out.push(Effect::SendFrame {
                to: Some(leader.to_string()),
                frame: encode(&hears),
            });
        }
    }

    /// A holder that reaches the state service and yet commits nothing while
    /// there is work is stuck, however healthy it looks: another takes over, and
    /// begins with small steps.
    pub(super) fn consider_stall(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let reached = self.store_age(now) < 2.5;
        let work = ProgressSnapshot {
            work_pending: scheduler.has_work(),
            last_progress: scheduler.last_store_progress(),
            store_reachable: reached,
        };
        if !self.stall_detector.observe(now, work) {
            return;
        }
        tracing::error!(
            "stuck: the state service answers, there is work, and nothing was committed for {:.0} s",
            self.stall_detector.stalled_for_s(now).unwrap_or_default()
        );
        self.stuck.insert(self.settings.label.clone(), now);
        if self.settings.members.is_empty() || !self.peers.peers_reach_store(now) {
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.slow_start();
            }
            return;
        }
        self.stall_detector.on_handover();
        let stuck = Frame::LeaderStalled {
            label: self.settings.label.clone(),
        };
        out.push(Effect::SendFrame {
            to: None,
            frame: encode(&stuck),
        });
        let change = self.election.step_down(now, &mut self.store);
        self.on_leadership_change(now, change);
    }

    /// A leader that cannot hear most of its workers would watch their leases
    /// run out. If it is the one cut off, another controller hears them.
    pub(super) fn consider_stepping_back(&mut self, now: Time) {
        let Some(scheduler) = self.scheduler.as_ref().filter(|p| p.loaded()) else {
            return;
        };
        let w = &self.settings.params.workers;
        if self.settings.members.is_empty()
            || now.since(scheduler.acquired_at()) < w.report_s * 3.0 + 3.0
        {
            return;
        }
        // Nothing is concluded from our own absence.
        if self
            .pause_detector
            .resumed_for_s(now)
            .is_some_and(|s| s < w.report_s * 2.5 + 2.0)
        {
            return;
        }
        // A peer hears more than we do: the lead is of more use there, at once.
        let link = self.fleet.connectivity();
        let lately = self
            .stepped_back
            .is_some_and(|at| now.since(at) < w.lease_s);
        if link.reaches_fewer_than_peers() && !lately && self.peers.peers_reach_store(now) {
            self.stepped_back = Some(now);
            tracing::warn!(
                "{} machines are heard here and {} only by peers; stepping back",
                link.reporting,
                link.heard_by_peers
            );
            let change = self.election.step_down(now, &mut self.store);
            return self.on_leadership_change(now, change);
        }
        // Machines that are gone are silent to every controller. Who has stepped
        // back already, and leads again, stays until silence is proof; else the
        // lead goes round for ever and nothing is ever proven.
        let proof_s = self.settings.serving_deadline_s() + w.lease_s;
        if self
            .stepped_back
            .is_some_and(|at| now.since(at) < proof_s * 3.0 + 30.0)
        {
            return;
        }
        let (heard, silent) = scheduler.liveness_counts(now);
        if silent >= 2 && silent > heard * 2 {
            self.stepped_back = Some(now);
            // Nobody is known to hear more. Whoever does takes the lead at once;
            // until somebody has, we go on: a holder that stood back for nobody
            // left a whole fleet to its leases.
            tracing::info!("most workers are silent here; the lead is free for others");
            self.election.transfer(now, &mut self.store);
        }
    }

    /// The holder's heartbeats stay away and its workers come here: it is gone, and
    /// whose turn it is takes the lead before the lease has run out.
    pub(super) fn consider_taking_early(&mut self, now: Time) {
        if self.scheduler.is_some() || !self.leader_detector.is_silent(now) || self.drained() {
            return;
        }
        let members = self.settings.members.iter().map(|m| m.label.as_str());
        let leader = self.election.other_leader().unwrap_or("").to_string();
        let own = Observer {
            store_age_s: self.store_age(now),
            // What changed since is read after the take, before anything is placed.
            jobs_loaded: self.job_store.loaded(),
            resumed_for_s: self.pause_detector.resumed_for_s(now),
            rank: takeover_rank(&leader, &self.settings.label, members),
        };
        if let Some(gone) = self
            .leader_detector
            .suspect(now, own)
            .filter(|gone| *gone == leader)
        {
            tracing::info!("{gone} is not heard and its workers come here: taking the lead");
            self.election.presume_dead(gone);
            self.election.tick(now, &mut self.store);
        }
    }

    /// After a takeover, workers that still report elsewhere learn the new
    /// token directly: a report to us follows at once.
    pub(super) fn nudge(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        if now.since(scheduler.acquired_at()) > 60.0
            || now.since(scheduler.acquired_at()) < self.settings.params.workers.report_s * 1.5
        {
            return;
        }
        let token = scheduler.fencing_token();
        let targets: Vec<(MachineId, SocketAddrV4)> = self
            .fleet
            .endpoints()
            .filter(|(id, _)| {
                scheduler
                    .machine(*id)
                    .and_then(|m| m.last_heartbeat())
                    .is_none()
            })
            .filter(|(id, _)| self.nudged.get(id).is_none_or(|t| now.since(*t) > 3.0))
            .take(8)
            .collect();
        for (machine, endpoint) in targets {
            self.nudged.insert(machine, now);
            // The incarnation is unknown: any number will do, since even a refusal
            // for the incarnation is answered after the token was compared, and
            // there is nothing to execute.
            let call = DirectCall {
                machine,
                endpoint,
                incarnation: 1,
                commands: Vec::new(),
            };
            self.call_worker(call, token, out);
        }
    }

    pub(super) fn call_worker(
        &mut self,
        call: DirectCall,
        token: FencingToken,
        out: &mut Vec<Effect>,
    ) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.nudges.insert(id, call.machine);
        out.push(Effect::Call {
            id,
            destination: Destination::Worker(call.endpoint),
            method: Method::Post,
            path: "/do".into(),
            body: wire::encode(&Direct {
                fencing_token: token.0,
                incarnation: call.incarnation,
                commands: call.commands,
            }),
            timeout_s: 2.0,
        });
    }

    /// Calls workers that have something to stop.
    pub(super) fn stop_tasks(&mut self, now: Time, out: &mut Vec<Effect>) {
        // Guard 4: only while we are entitled to command.
        if !self.entitled(now) {
            return;
        }
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let token = scheduler.fencing_token();
        for call in scheduler.take_pending_kills() {
            self.call_worker(call, token, out);
        }
    }

    /// Asks machines that fell silent, a few at a time: those that reach no controller
    /// may still be reached, and say what has ended there.
    pub(super) fn ask_silent(&mut self, now: Time, out: &mut Vec<Effect>) {
        // Guard 4: only while we are entitled to command.
        if !self.entitled(now) || self.nudges.len() >= MAX_ASKED {
            return;
        }
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let (token, room) = (scheduler.fencing_token(), MAX_ASKED - self.nudges.len());
        let asked = |id: &MachineId| {
            self.asked
                .get(id)
                .is_some_and(|t| now.since(*t) < ASK_AGAIN_S)
        };
        let silent = scheduler
            .silent_machines_with_tasks(now)
            .filter(|call| !asked(&call.machine));
        let silent: Vec<_> = silent.take(room).collect();
        self.asked.retain(|_, t| now.since(*t) < ASK_AGAIN_S);
        for call in silent {
            self.asked.insert(call.machine, now);
            self.call_worker(call, token, out);
        }
    }
}

#[cfg(test)]
mod tests;
