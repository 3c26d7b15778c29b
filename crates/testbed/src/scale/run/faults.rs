//! Injects the faults of a scale run into processes, links and machines.

use super::{Run, ScheduledAction};
use crate::scale::children::RoleId;
use crate::scale::faults::{self, FaultKind};
use crate::scale::messages::Command;
use crate::TestbedError;
use rand::seq::SliceRandom;
use rand::Rng;
use std::time::{Duration, Instant};

impl Run {
    fn schedule(&mut self, after_s: f64, what: ScheduledAction) {
        self.schedule
            .push((Instant::now() + Duration::from_secs_f64(after_s), what));
    }

    pub(super) fn run_scheduled(&mut self, schedule: ScheduledAction) -> Result<(), TestbedError> {
        match schedule {
            ScheduledAction::StartController(node) => self.controllers.start(node)?,
            ScheduledAction::Resume(node) => self.controllers.pause(node, false),
            ScheduledAction::RestoreLinks(links) => {
                links
                    .iter()
                    .for_each(|(a, b)| self.relays.set_cut(*a, *b, false));
            }
        }
        Ok(())
    }

    /// Injects a fault now; `at` is the time since the load began, seconds.
    pub(super) fn inject(&mut self, at: f64, kind: FaultKind) {
        eprintln!("{at:6.1} s  fault: {kind}");
        self.marks.push((at, kind.to_string()));
        match kind {
            FaultKind::MachineFails => self.fail_machines(1, None),
            FaultKind::RackFails => {
                let zone = self.any_zone();
                self.fail_machines(faults::RACK, Some(&zone));
            }
            FaultKind::MachineRestarts => {
                let machines: Vec<u64> = self.machines.keys().copied().collect();
                if let Some(machine) = machines.choose(&mut self.rng).copied() {
                    let process = self.layout.process_of(machine);
                    self.tell(RoleId::Workers(process), &Command::Reboot { machine });
                }
            }
            FaultKind::ZoneCut => self.cut_zone(),
            FaultKind::RegionsApart => self.cut_regions(),
            FaultKind::LeaderKilled => {
                if let Some(leader) = self.leader {
                    self.controllers.kill(leader);
                    self.schedule(faults::RESTART_S, ScheduledAction::StartController(leader));
                }
            }
            FaultKind::LeaderStopped => {
                if let Some(leader) = self.leader {
                    self.controllers.pause(leader, true);
                    self.schedule(faults::STOPPED_S, ScheduledAction::Resume(leader));
                }
            }
            FaultKind::StateSlow => {
                let (delay_s, seconds) = (faults::STATE_DELAY_S, faults::STATE_S);
                self.tell(RoleId::State, &Command::Slow { delay_s, seconds });
            }
            FaultKind::StateRefuses => {
                self.tell(
                    RoleId::State,
                    &Command::Refuse {
                        seconds: faults::STATE_S,
                    },
                );
            }
        }
    }

    fn any_zone(&mut self) -> String {
        let zone = self.rng.gen_range(0..self.plan.size.zones);
        self.plan.size.zone_name(zone)
    }

    /// Makes random machines fail, in one zone or in any; the cloud lists them as failed later.
    fn fail_machines(&mut self, count: usize, zone: Option<&str>) {
        let there = self
            .machines
            .iter()
            .filter(|(_, (_, z))| zone.is_none_or(|zone| zone == z));
        let mut machines: Vec<u64> = there.map(|(machine, _)| *machine).collect();
        machines.shuffle(&mut self.rng);
        for machine in machines.into_iter().take(count) {
            let process = self.layout.process_of(machine);
            self.tell(RoleId::Workers(process), &Command::Remove { machine });
            self.tell(RoleId::Cloud, &Command::Failed { machine });
        }
    }

    /// Partitions a zone, with its workers and controllers, from everything outside it.
    fn cut_zone(&mut self) {
        let zone = self.rng.gen_range(0..self.plan.size.zones);
        let all: Vec<usize> = (0..self.plan.size.controllers).collect();
        let (inside, outside): (Vec<usize>, Vec<usize>) = all
            .into_iter()
            .partition(|node| self.layout.zone_of_controller(*node) == zone);
        let name = self.plan.size.zone_name(zone);
        let (within, without): (Vec<String>, Vec<String>) =
            self.layout.zones().into_iter().partition(|z| *z == name);
        self.cut(&inside, &outside, within, without);
        // The key-value store and the cloud are in no zone: the partitioned controllers can't
        // reach them.
        self.hold_controllers(inside);
    }

    /// Partitions two regions from each other. The key-value store and the cloud are in the first
    /// region.
    fn cut_regions(&mut self) {
        let regions = self.plan.size.regions;
        if regions < 2 {
            return;
        }
        let first = self.rng.gen_range(0..regions);
        let second = (first + self.rng.gen_range(1..regions)) % regions;
        let (a, b) = (first.min(second), first.max(second));
        let inside = self.layout.controllers_in_region(a);
        let outside = self.layout.controllers_in_region(b);
        let (within, without) = (
            self.layout.zones_in_region(a),
            self.layout.zones_in_region(b),
        );
        self.cut(&inside, &outside, within, without);
        if a == 0 {
            self.hold_controllers(outside);
        }
    }

    fn cut(
        &mut self,
        inside: &[usize],
        outside: &[usize],
        within: Vec<String>,
        without: Vec<String>,
    ) {
        let links: Vec<(usize, usize)> = inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (*a, *b)))
            .collect();
        links
            .iter()
            .for_each(|(a, b)| self.relays.set_cut(*a, *b, true));
        self.schedule(faults::CUT_S, ScheduledAction::RestoreLinks(links));
        let seconds = faults::CUT_S;
        let sides = [(within, outside.to_vec()), (without, inside.to_vec())];
        for (zones, controllers) in sides {
            let command = Command::CutZones {
                zones,
                controllers,
                seconds,
            };
            for process in 0..self.layout.worker_processes() {
                self.tell(RoleId::Workers(process), &command);
            }
        }
    }

    /// Partitions controllers from the key-value store and the cloud.
    fn hold_controllers(&mut self, controllers: Vec<usize>) {
        let command = Command::HoldControllers {
            controllers,
            seconds: faults::CUT_S,
        };
        self.tell(RoleId::State, &command);
        self.tell(RoleId::Cloud, &command);
    }
}
