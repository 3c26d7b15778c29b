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
    fn schedule(&mut self, after_s: f64, action: ScheduledAction) {
        self.schedule
            .push((Instant::now() + Duration::from_secs_f64(after_s), action));
    }

    pub(super) fn run_scheduled(&mut self, action: ScheduledAction) -> Result<(), TestbedError> {
        match action {
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

    /// Injects a fault now; `elapsed_s` is the time since the load began, seconds.
    pub(super) fn inject(&mut self, elapsed_s: f64, kind: FaultKind) {
        eprintln!("{elapsed_s:6.1} s  fault: {kind}");
        self.fault_marks.push((elapsed_s, kind.to_string()));
        match kind {
            FaultKind::MachineFailure => self.fail_machines(1, None),
            FaultKind::RackFailure => {
                let zone = self.random_zone();
                self.fail_machines(faults::MACHINES_PER_RACK, Some(&zone));
            }
            FaultKind::MachineRestart => {
                let machines: Vec<u64> = self.machines.keys().copied().collect();
                if let Some(machine) = machines.choose(&mut self.rng).copied() {
                    let process = self.layout.process_of(machine);
                    self.send_command(RoleId::Workers(process), &Command::Reboot { machine });
                }
            }
            FaultKind::ZonePartition => self.partition_zone(),
            FaultKind::RegionPartition => self.partition_regions(),
            FaultKind::LeaderKilled => {
                if let Some(leader) = self.leader {
                    self.controllers.kill(leader);
                    self.schedule(
                        faults::RESTART_DELAY_S,
                        ScheduledAction::StartController(leader),
                    );
                }
            }
            FaultKind::LeaderPaused => {
                if let Some(leader) = self.leader {
                    self.controllers.pause(leader, true);
                    self.schedule(faults::LEADER_PAUSE_S, ScheduledAction::Resume(leader));
                }
            }
            FaultKind::StoreSlow => {
                let (delay_s, seconds) = (faults::STORE_DELAY_S, faults::STORE_FAULT_S);
                self.send_command(RoleId::State, &Command::Slow { delay_s, seconds });
            }
            FaultKind::StoreRefusing => {
                self.send_command(
                    RoleId::State,
                    &Command::Refuse {
                        seconds: faults::STORE_FAULT_S,
                    },
                );
            }
        }
    }

    fn random_zone(&mut self) -> String {
        let zone = self.rng.gen_range(0..self.plan.size.zones);
        self.plan.size.zone_name(zone)
    }

    /// Makes random machines fail, in one zone or in any; the cloud lists them as failed later.
    fn fail_machines(&mut self, count: usize, zone: Option<&str>) {
        let candidates = self
            .machines
            .iter()
            .filter(|(_, (_, z))| zone.is_none_or(|zone| zone == z));
        let mut machines: Vec<u64> = candidates.map(|(machine, _)| *machine).collect();
        machines.shuffle(&mut self.rng);
        for machine in machines.into_iter().take(count) {
            let process = self.layout.process_of(machine);
            self.send_command(RoleId::Workers(process), &Command::Remove { machine });
            self.send_command(RoleId::Cloud, &Command::Failed { machine });
        }
    }

    /// Partitions a zone, with its workers and controllers, from everything outside it.
    fn partition_zone(&mut self) {
        let zone = self.rng.gen_range(0..self.plan.size.zones);
        let all: Vec<usize> = (0..self.plan.size.controllers).collect();
        let (inside, outside): (Vec<usize>, Vec<usize>) = all
            .into_iter()
            .partition(|node| self.layout.zone_of_controller(*node) == zone);
        let name = self.plan.size.zone_name(zone);
        let (inside_zones, outside_zones): (Vec<String>, Vec<String>) =
            self.layout.zones().into_iter().partition(|z| *z == name);
        self.partition_sides(&inside, &outside, inside_zones, outside_zones);
        // The key-value store and the cloud are in no zone: the partitioned controllers can't
        // reach them.
        self.partition_controllers(inside);
    }

    /// Partitions two regions from each other. The key-value store and the cloud are in the first
    /// region.
    fn partition_regions(&mut self) {
        let regions = self.plan.size.regions;
        if regions < 2 {
            return;
        }
        let first = self.rng.gen_range(0..regions);
        let second = (first + self.rng.gen_range(1..regions)) % regions;
        let (a, b) = (first.min(second), first.max(second));
        let inside = self.layout.controllers_in_region(a);
        let outside = self.layout.controllers_in_region(b);
        let (inside_zones, outside_zones) = (
            self.layout.zones_in_region(a),
            self.layout.zones_in_region(b),
        );
        self.partition_sides(&inside, &outside, inside_zones, outside_zones);
        if a == 0 {
            self.partition_controllers(outside);
        }
    }

    /// Partitions two groups of controllers and zones from each other for
    /// [`faults::PARTITION_S`].
    fn partition_sides(
        &mut self,
        inside: &[usize],
        outside: &[usize],
        inside_zones: Vec<String>,
        outside_zones: Vec<String>,
    ) {
        let links: Vec<(usize, usize)> = inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (*a, *b)))
            .collect();
        links
            .iter()
            .for_each(|(a, b)| self.relays.set_cut(*a, *b, true));
        self.schedule(faults::PARTITION_S, ScheduledAction::RestoreLinks(links));
        let seconds = faults::PARTITION_S;
        let sides = [
            (inside_zones, outside.to_vec()),
            (outside_zones, inside.to_vec()),
        ];
        for (zones, controllers) in sides {
            let command = Command::CutZones {
                zones,
                controllers,
                seconds,
            };
            for process in 0..self.layout.worker_processes() {
                self.send_command(RoleId::Workers(process), &command);
            }
        }
    }

    /// Partitions controllers from the key-value store and the cloud.
    fn partition_controllers(&mut self, controllers: Vec<usize>) {
        let command = Command::PartitionControllers {
            controllers,
            seconds: faults::PARTITION_S,
        };
        self.send_command(RoleId::State, &command);
        self.send_command(RoleId::Cloud, &command);
    }
}
