//! Sets up the cluster that a scenario's settings describe.

use super::words::Words;
use super::ScenarioError;
use crate::cluster::{Sim, START};
use crate::event::Event;
use beamhinge_controller::faults::Faults;
use beamhinge_core::settings::{OperatorSettings, PlatformParameters, Settings, Team};
use beamhinge_emulator::cloud::{CapacityPool, InstanceType};
use beamhinge_emulator::SECOND;

/// The zones of every scenario.
const ZONES: [&str; 2] = ["north", "south"];
/// The small and the large machine type.
const SMALL: &str = "c8";
const LARGE: &str = "c32";
/// Memory of a machine per CPU, GB.
const MEMORY_PER_CPU_GB: f64 = 4.0;
/// Boot time of owned machines, which exist from the start.
const OWNED_BOOT: u64 = SECOND / 10;

/// The lines of a scenario, split into words.
pub(super) struct Lines<'a>(pub(super) Vec<Vec<&'a str>>);

impl<'a> Lines<'a> {
    /// Splits a scenario's text into words, without comments and empty lines.
    pub(super) fn parse(text: &'a str) -> Lines<'a> {
        let lines = text.lines().map(|line| {
            let code = line.split('#').next().unwrap_or("");
            code.split_whitespace().collect::<Vec<_>>()
        });
        Lines(lines.filter(|words| !words.is_empty()).collect())
    }

    /// The first line that begins with this word, or `None`.
    pub(super) fn setting(&self, name: &str) -> Option<Words<'_>> {
        let line = self.0.iter().find(|words| words[0] == name)?;
        Some(Words(line))
    }

    /// The numeric value of a setting, or `default` if it is absent.
    pub(super) fn number(&self, name: &str, default: f64) -> f64 {
        let number = self.setting(name).and_then(|w| w.get(1)?.parse().ok());
        number.unwrap_or(default)
    }
}

/// Builds the cluster with all its controllers and machines, before the script.
pub(super) fn cluster(lines: &Lines, regressions: Faults) -> Result<Sim, ScenarioError> {
    let count = lines.number("nodes", 3.0) as usize;
    let mut settings = settings(count, lines.number("team-max", 32.0));
    for controller in &mut settings {
        set_teams(&mut controller.params, lines)?;
        set_limits(&mut controller.params, lines)?;
    }
    let mut sim = Sim::new(settings, lines.number("seed", 1.0) as u64, regressions);
    configure_operator(&mut sim, lines)?;
    sim.users.min_poll_s = lines.number("polls", 0.0);
    (0..sim.settings.len()).for_each(|controller| sim.start(controller));
    add_machines(&mut sim, lines);
    Ok(sim)
}

/// The settings of `count` controllers, labelled from `a` and distributed over the zones.
fn settings(count: usize, team_max: f64) -> Vec<Settings> {
    let text = beamhinge_core::settings::SAMPLE;
    let base = Settings::parse("the sample", text).expect("the sample is sound");
    let label = |i: usize| char::from(b'a' + i as u8).to_string();
    let controller = |i: usize| {
        let mut settings = base.clone();
        settings.label = label(i);
        settings.area = ZONES[i % ZONES.len()].to_string();
        let others = (0..count).filter(|other| *other != i);
        settings.members = others
            .map(|other| {
                let mut member = base.members[0].clone();
                member.label = label(other);
                member
            })
            .collect();
        settings.params.teams[0].cpus_max = team_max;
        settings
    };
    (0..count).map(controller).collect()
}

/// `teams COUNT guarantee=CPUS max=CPUS`: replaces the teams by `t1`, `t2` and so on.
fn set_teams(params: &mut PlatformParameters, lines: &Lines) -> Result<(), ScenarioError> {
    let Some(words) = lines.setting("teams") else {
        return Ok(());
    };
    let count = words.get(1).and_then(|n| n.parse().ok()).unwrap_or(1usize);
    let (cpus, cpus_max) = (words.number("guarantee", 0.0)?, words.number("max", 0.0)?);
    let template = params.teams[0].clone();
    let team = |i| Team {
        name: format!("t{i}"),
        cpus,
        cpus_max,
        ..template.clone()
    };
    params.teams = (1..=count).map(team).collect();
    Ok(())
}

/// `workers`, `state` and `cloud` lines set the platform's published limits.
fn set_limits(params: &mut PlatformParameters, lines: &Lines) -> Result<(), ScenarioError> {
    for line in &lines.0 {
        let words = Words(line);
        match line[0] {
            "workers" => {
                let workers = &mut params.workers;
                workers.report_s = words.number("report", workers.report_s)?;
                workers.lease_s = words.number("lease", workers.lease_s)?;
                workers.cancel_s = words.number("cancel", workers.cancel_s)?;
            }
            "state" => {
                let state = &mut params.state;
                state.rps = words.number("rps", state.rps)?;
                state.write_rps = words.number("writes", state.write_rps)?;
                state.value_kb = words.number("value", state.value_kb)?;
                state.txn_ops = words.number("txn", state.txn_ops as f64)? as usize;
            }
            "cloud" => {
                let cloud = &mut params.cloud;
                cloud.rps = words.number("rps", cloud.rps)?;
                cloud.list_lag_s = words.number("lag", cloud.list_lag_s)?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// `configuration` and `ageing` lines add sections to the operators' file.
fn configure_operator(sim: &mut Sim, lines: &Lines) -> Result<(), ScenarioError> {
    if lines.setting("configuration").is_some() {
        sim.operator_config.push_str("[configuration]\non = yes\n");
    }
    if let Some(words) = lines.setting("ageing") {
        let values = words.0[1..].iter().filter_map(|w| w.split_once('='));
        let values: String = values.map(|(k, v)| format!("{k} = {v}\n")).collect();
        sim.operator_config.push_str(&format!("[ageing]\n{values}"));
        OperatorSettings::parse("the scenario", &sim.operator_config)?;
    }
    Ok(())
}

/// `offer TYPE ZONE spot|ordinary COUNT`: sets the capacity of one market.
fn set_offers(sim: &mut Sim, lines: &Lines) {
    for line in lines.0.iter().filter(|line| line[0] == "offer") {
        if let [_, machine_type, zone, market, count] = line[..] {
            let pool = CapacityPool::new(machine_type, zone, market == "spot");
            let count = count.parse().unwrap_or(0);
            sim.cloud.capacity.insert(pool, count);
        }
    }
}

/// Adds the cloud's machine types and capacity, and the machines that exist from the start.
fn add_machines(sim: &mut Sim, lines: &Lines) {
    let boot_s = lines.number("boot", 5.0);
    let instance_type = |label: &str, cpus, price, spot_price| InstanceType {
        label: label.into(),
        cpus,
        memory_gb: cpus * MEMORY_PER_CPU_GB,
        price,
        spot_price,
        boot_s,
    };
    sim.cloud.zones = ZONES.iter().map(|zone| (*zone).to_string()).collect();
    sim.cloud.instance_types = vec![
        instance_type(SMALL, 8.0, 1.0, 0.3),
        instance_type(LARGE, 32.0, 4.0, 1.2),
    ];
    for zone in ZONES {
        for (machine_type, spot, count) in [
            (SMALL, true, lines.number("spot", 4.0)),
            (SMALL, false, lines.number("ordinary", 2.0)),
            (LARGE, true, lines.number("large", 1.0)),
        ] {
            let pool = CapacityPool::new(machine_type, zone, spot);
            sim.cloud.capacity.insert(pool, count as u32);
        }
    }
    set_offers(sim, lines);
    for i in 0..lines.number("owned", 2.0) as usize {
        let pool = CapacityPool::new(SMALL, ZONES[i % ZONES.len()], false);
        let machine = sim.cloud.add(START, &pool, Some(OWNED_BOOT));
        sim.push(START + OWNED_BOOT, Event::ReportDue { machine });
    }
    let _ = sim.cloud.take_created();
    sim.first_rented = sim.cloud.next_machine();
}
