//! Faults of controllers and their links.

use crate::cluster::Sim;
use crate::event::Event;
use crate::fault_injection::{Cut, LinkKind};
use crate::scenario::words::Words;
use crate::scenario::ScenarioError;
use beamhinge_emulator::{Micros, SECOND};

/// Time between the crash and the start of each controller in a rolling restart.
const ROLL_AWAY: Micros = 4 * SECOND;

/// The number of a controller: `leader`, `follower` (the one after the leader), or a label.
pub(super) fn number(sim: &Sim, word: &str) -> Result<usize, ScenarioError> {
    let count = sim.settings.len();
    match word {
        "leader" => Ok(sim.leader().unwrap_or(0)),
        "follower" => Ok((sim.leader().unwrap_or(0) + 1) % count),
        label => {
            let letter = label.bytes().next();
            let letter =
                letter.ok_or(ScenarioError::Missing("the label of a controller is empty"))?;
            Ok(usize::from(letter.wrapping_sub(b'a')) % count)
        }
    }
}

/// Crashes, starts and freezes of controller processes.
pub(super) fn process_fault(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let all = 0..sim.settings.len();
    match words.arg(0)? {
        "crash" => {
            let controller = number(sim, words.arg(1)?)?;
            sim.crash(controller);
            sim.explain_until(sim.now);
        }
        "crash-all" => {
            all.for_each(|controller| sim.crash(controller));
            sim.explain_until(sim.now);
        }
        "start-all" => all.for_each(|controller| sim.start(controller)),
        // fast-restart WHO SECONDS: crashes a controller, or each with `all`, and starts it
        // after this time.
        "fast-restart" => {
            let after = words.seconds(2)?;
            let who: Vec<usize> = match words.arg(1)? {
                "all" => all.collect(),
                one => vec![number(sim, one)?],
            };
            for controller in who {
                sim.crash(controller);
                sim.push(sim.now + after, Event::Start(controller));
            }
            sim.explain_until(sim.now);
        }
        // roll every=SECONDS: restarts all controllers, one after the other.
        "roll" => {
            let interval = words.duration("every", 20.0)?;
            for controller in all {
                let at = sim.now + controller as Micros * interval;
                sim.push(at, Event::Crash(controller));
                sim.push(at + ROLL_AWAY, Event::Start(controller));
                sim.explain_until(at);
            }
        }
        // freeze WHO SECONDS
        _ => {
            let controller = number(sim, words.arg(1)?)?;
            let until = sim.now + words.seconds(2)?;
            sim.faults.frozen_until[controller] = until;
            sim.explain_until(until);
        }
    }
    Ok(())
}

/// The links that the name in a `cut` line stands for.
fn links(word: &str) -> Result<Vec<LinkKind>, ScenarioError> {
    use LinkKind::{Cloud, Configuration, Jobs, Peers, Refused, State, Workers};
    Ok(match word {
        "all" => vec![State, Workers, Peers, Cloud],
        "but-workers" => vec![State, Peers],
        "state" => vec![State],
        "workers" => vec![Workers],
        "peers" => vec![Peers],
        "cloud" => vec![Cloud],
        "refused" => vec![Refused],
        "jobs" => vec![Jobs],
        "configuration" => vec![Configuration],
        other => return Err(ScenarioError::UnknownLink(other.to_string())),
    })
}

/// `cut WHO WHAT SECONDS [hold]`. WHAT is a link, `all`, or `but-workers` for the links to the
/// state service and the other controllers. With `refused` the state service refuses every
/// request of the controller, with `jobs` or `configuration` only reads of these.
pub(super) fn cut(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let controller = number(sim, words.arg(1)?)?;
    let until = sim.now + words.seconds(3)?;
    let holds = words.flag("hold");
    for link in links(words.arg(2)?)? {
        let cut = Cut { until, holds };
        sim.faults.link_cuts.insert((controller, link), cut);
        if matches!(
            link,
            LinkKind::Refused | LinkKind::Jobs | LinkKind::Configuration
        ) {
            sim.watch_at(until);
        }
    }
    if matches!(words.arg(2)?, "workers" | "all") {
        sim.checks.losses.cut_off += sim.machines_up(None);
    }
    sim.explain_until(until);
    Ok(())
}

/// `zone-cut ZONE SECONDS [hold]`
pub(super) fn cut_zone(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let (zone, until) = (words.arg(1)?, sim.now + words.seconds(2)?);
    sim.checks.losses.cut_off += sim.machines_up(Some(zone));
    let holds = words.flag("hold");
    let cut = Cut { until, holds };
    sim.faults.zone_cuts.insert(zone.to_string(), cut);
    sim.explain_until(until);
    Ok(())
}

/// `peers-refuse SECONDS`
pub(super) fn cut_peers(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let until = sim.now + words.seconds(1)?;
    let holds = false;
    for controller in 0..sim.settings.len() {
        let cut = Cut { until, holds };
        sim.faults
            .link_cuts
            .insert((controller, LinkKind::Peers), cut);
    }
    Ok(())
}
