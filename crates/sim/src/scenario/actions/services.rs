//! Faults of the state service and the cloud.

use crate::cluster::Sim;
use crate::fault_injection::Temporary;
use crate::scenario::words::Words;
use crate::scenario::ScenarioError;
use beamhinge_emulator::state::RejectedWrites;

/// Prefix of the keys of placement pages.
const PAGES_PREFIX: &str = "p/";

/// Ends the loss of answers and the late application of transactions.
pub(super) fn calm(sim: &mut Sim) {
    sim.faults.lost_commit_answers = 0.0;
    sim.faults.late_commits = 0.0;
    sim.faults.lost_cloud_answers = 0.0;
}

/// Injects one fault; any other action is an error.
pub(super) fn fault(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let now = sim.now;
    match words.arg(0)? {
        "state-down" => {
            let until = now + words.seconds(1)?;
            sim.state.outage(until);
            sim.watch_at(until);
            sim.explain_until(until);
        }
        "state-slow" => {
            let until = now + words.duration("for", 30.0)?;
            sim.faults.state_slowdown = Temporary {
                value: words.number("factor", 10.0)?,
                until,
            };
            sim.explain_until(until);
        }
        "refuse-pages" => {
            sim.state.rejected_writes = RejectedWrites {
                prefix: PAGES_PREFIX,
                until: now + words.seconds(1)?,
            };
        }
        "lose-replies" => sim.faults.lost_commit_answers = words.number("part", 0.2)?,
        "late-commits" => sim.faults.late_commits = words.number("part", 0.2)?,
        "truncate-watch-history" => sim.state.history_limit = words.number("keep", 3.0)? as usize,
        "cloud-down" => sim.cloud.down_until = now + words.seconds(1)?,
        "refuse-rents" => sim.cloud.rejects_scale_out_until = now + words.seconds(1)?,
        "lose-cloud-replies" => sim.faults.lost_cloud_answers = words.number("part", 0.2)?,
        "stuck-boots" => sim.cloud.stuck_boots = words.number("count", 2.0)? as u32,
        // capacity PART: reduces the cloud's capacity to this part from now on.
        "capacity" => {
            let part = words.arg(1)?.parse();
            sim.cloud.capacity_fraction =
                part.map_err(|_| ScenarioError::Missing("capacity: the part is not a number"))?;
        }
        other => return Err(ScenarioError::UnknownAction(other.to_string())),
    }
    Ok(())
}
