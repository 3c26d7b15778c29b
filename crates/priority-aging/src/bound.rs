//! The longest wait that follows from the settings.
//!
//! Let `k` tasks of the widest size fit into the lane side by side (one at
//! least). While a risen task waits to be admitted, `k` others are in the lane:
//! if what is held leaves no room for it, more than the width less one widest
//! task is held, and that takes `k` tasks. Each is out of the lane again after
//! `h = 3 S`, `S` being the longest that any task occupies a machine or is
//! expected to: `2 S` at most until its machine has room (what was let pass
//! before the reserved time ends `S` after it, and that time is `S` away at
//! most), `S` for itself. So at least `k` tasks get through in each `h`: a server
//! of rate `k / h` and latency `h`. Where in any `t` seconds no more than
//! `b + a t` tasks rise, with `a <= k / h`, its delay is at most `h + b h / k`
//! (Cruz, "A calculus for network delay", 1991). Before that lies the patience,
//! after it `2 S` until the room is there.

use crate::policy::Policy;
use beamhinge_core::job::Urgency;

/// What rises: no more than `burst + per_s * t` tasks in any `t` seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// Tasks at once.
    pub burst: f64,
    /// Tasks a second, in the long run.
    pub per_s: f64,
}

impl Flow {
    /// The tightest flow of this rate that describes what rose: times in seconds,
    /// ascending, with how many tasks rose then.
    pub fn tightest(per_s: f64, rises: &[(f64, f64)]) -> Flow {
        let mut burst: f64 = 0.0;
        for (i, from) in rises.iter().enumerate() {
            let mut tasks = 0.0;
            for to in rises.iter().skip(i) {
                tasks += to.1;
                burst = burst.max(tasks - per_s * (to.0 - from.0));
            }
        }
        Flow { burst, per_s }
    }
}

/// The tasks that rise, and those that run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowd {
    pub flow: Flow,
    /// CPUs of the widest task that rises.
    pub widest_cpus: f64,
    /// Longest that any task of any urgency occupies a machine, or is expected
    /// to, seconds: fetch, run and saving, and the report that tells its end.
    pub longest_s: f64,
}

/// The fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// CPUs that are there all the time, and that neither guaranteed work nor
    /// what is more urgent than the ceiling takes.
    pub cpus: f64,
    /// Time in which nothing starts, in all, seconds: takeovers and outages. A
    /// reservation ends with its holder, and the next one makes it anew.
    pub standstill_s: f64,
}

/// Why there is no bound, and what is kept instead.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Unbounded {
    #[error("jobs of this urgency never rise")]
    Exempt,
    #[error(
        "more rises than the lane is sure to carry: {per_s:.4} tasks a second of {carried:.4}; \
         the lane keeps {share:.3} of the room for what has risen, the longest waiting first"
    )]
    Overload {
        per_s: f64,
        carried: f64,
        share: f64,
    },
}

/// Tasks of the widest size that are in the lane side by side, and the seconds
/// in which each is out of it again.
fn lanes(policy: &Policy, widest_cpus: f64, longest_s: f64, cpus: f64) -> (f64, f64) {
    let abreast = (policy.width(cpus) / widest_cpus.max(1e-9) + 1e-9)
        .floor()
        .max(1.0);
    (abreast, 3.0 * longest_s)
}

/// Tasks a second that the lane is sure to carry in a fleet of so many CPUs.
pub fn carried_per_s(policy: &Policy, widest_cpus: f64, longest_s: f64, cpus: f64) -> f64 {
    let (abreast, held_s) = lanes(policy, widest_cpus, longest_s, cpus);
    abreast / held_s
}

/// The longest wait from its submission to its first start of any job of this
/// urgency, seconds.
///
/// # Errors
/// When no bound exists: then the error says what share is kept.
pub fn longest_wait_s(
    policy: &Policy,
    urgency: Urgency,
    crowd: &Crowd,
    room: &Room,
) -> Result<f64, Unbounded> {
    let patience_s = policy.patience_s(urgency).ok_or(Unbounded::Exempt)?;
    let width = policy.width(room.cpus);
    let (abreast, held_s) = lanes(policy, crowd.widest_cpus, crowd.longest_s, room.cpus);
    let carried = abreast / held_s;
    if crowd.flow.per_s > carried {
        let share = if room.cpus > 0.0 {
            width / room.cpus
        } else {
            0.0
        };
        return Err(Unbounded::Overload {
            per_s: crowd.flow.per_s,
            carried,
            share,
        });
    }
    let through_s = held_s * (1.0 + crowd.flow.burst / abreast);
    Ok(patience_s + through_s + 2.0 * crowd.longest_s + room.standstill_s)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Lane;
    use beamhinge_core::settings::PriorityAging;
    use proptest::prelude::*;

    fn policy() -> Policy {
        Policy::new(PriorityAging {
            on: true,
            ..PriorityAging::default()
        })
    }

    #[test]
    fn no_bound_where_more_rises_than_the_lane_carries() {
        let crowd = |per_s| Crowd {
            flow: Flow { burst: 4.0, per_s },
            widest_cpus: 2.0,
            longest_s: 60.0,
        };
        let room = Room {
            cpus: 160.0,
            standstill_s: 30.0,
        };
        let p = policy();
        let wait = longest_wait_s(&p, Urgency::BestEffort, &crowd(0.02), &room);
        let patience = PriorityAging::default().best_effort_s;
        assert_eq!(wait, Ok(patience + 180.0 * 2.0 + 120.0 + 30.0));
        let over = longest_wait_s(&p, Urgency::BestEffort, &crowd(1.0), &room);
        let told = over.expect_err("overload").to_string();
        assert!(told.contains("0.050 of the room"), "{told}");
        let exempt = longest_wait_s(&p, Urgency::Critical, &crowd(0.0), &room);
        assert_eq!(exempt, Err(Unbounded::Exempt));
    }

    /// One task that rises: when, its CPUs, how long it waits for room once
    /// admitted, as a part of the most, and how long it runs.
    type Rising = (f64, f64, f64, f64);

    /// Plays a lane, first in first out; the longest wait from rising to start.
    fn play(width: f64, longest_s: f64, rising: &[Rising]) -> f64 {
        let (mut out, mut now, mut worst): (Vec<(f64, f64)>, f64, f64) = (Vec::new(), 0.0, 0.0);
        for (rose, cpus, wait, run) in rising {
            now = now.max(*rose);
            loop {
                out.retain(|(end, _)| *end > now);
                let mut lane = Lane::new(width);
                out.iter().for_each(|(_, c)| lane.take(*c));
                if lane.admits(*cpus) {
                    break;
                }
                now = out
                    .iter()
                    .map(|(end, _)| *end)
                    .fold(f64::INFINITY, f64::min);
            }
            let begins = now + wait * 2.0 * longest_s;
            worst = worst.max(begins - rose);
            out.push((begins + run * longest_s, *cpus));
        }
        worst
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), failure_persistence: None, cases: 400, ..ProptestConfig::default() })]
        /// Whatever sizes, waits and runs: no wait is beyond the bound of the
        /// tightest flow that describes what rose.
        #[test]
        fn no_wait_is_beyond_the_bound(
            cpus in 20.0f64..400.0,
            drawn in prop::collection::vec((0.0f64..400.0, 0.2f64..16.0, 0.0f64..=1.0, 0.01f64..=1.0), 1..80),
            longest_s in 1.0f64..90.0,
        ) {
            let p = policy();
            let width = p.width(cpus);
            let widest = drawn.iter().map(|d| d.1).fold(0.0, f64::max);
            let mut at = 0.0;
            let rising: Vec<Rising> = drawn.iter().map(|d| { at += d.0; (at, d.1, d.2, d.3) }).collect();
            let per_s = carried_per_s(&p, widest, longest_s, cpus);
            let rises: Vec<(f64, f64)> = rising.iter().map(|r| (r.0, 1.0)).collect();
            let flow = Flow::tightest(per_s, &rises);
            let crowd = Crowd { flow, widest_cpus: widest, longest_s };
            let room = Room { cpus, standstill_s: 0.0 };
            let bound = longest_wait_s(&p, Urgency::Standard, &crowd, &room).expect("a bound");
            let waited = play(width, longest_s, &rising) + PriorityAging::default().standard_s;
            prop_assert!(waited <= bound + 1e-6, "{waited} beyond {bound}");
        }
    }
}
