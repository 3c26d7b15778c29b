//! Actions of a scenario: what its `at` lines do.

use super::words::{number, option, seconds};
use super::ScenarioError;
use crate::cluster::{Event, OperatorRequest, Sim};
use beamhinge_core::http::Method;
use beamhinge_emulator::cloud::CapacityPool;
use beamhinge_emulator::state::RejectedWrites;
use beamhinge_emulator::user::UserRequest;
use beamhinge_emulator::{JobPlan, Micros, SECOND};
use rand::Rng;
use serde_json::json;

/// A submission as its user sends it.
pub(super) fn plan_body(
    id: &str,
    words: &[&str],
    tasks: u64,
    expect_s: f64,
) -> Result<serde_json::Value, ScenarioError> {
    let flag = |name: &str| words.contains(&name);
    let kind = if flag("standing") {
        "standing"
    } else {
        "batch"
    };
    Ok(json!({
        "nameId": id, "jobClass": option(words, "class").unwrap_or("c"),
        "owner": option(words, "team").unwrap_or("one"), "jobKind": kind,
        "urgency": option(words, "urgency").unwrap_or("standard"),
        "pieces": tasks, "vcpus": number(words, "cpus", 2.0)?, "cards": 0,
        "memoryGb": number(words, "mem", 1.0)?, "bundle": option(words, "image").unwrap_or("img"), "imageGb": 1.0,
        "yard": option(words, "zone"), "shapes": option(words, "shapes").map(|s| s.split(',').collect::<Vec<_>>()), "oneZone": flag("oneZone"), "apart": flag("apart"),
        "loaners": !flag("noSpot"), "expectS": expect_s,
        "snapshotEveryS": if flag("saves") { 5.0 } else { 0.0 }, "snapshotS": if flag("saves") { 1.0 } else { 0.0 }, "dueS": option(words, "due").and_then(|d| d.parse::<f64>().ok()),
    }))
}

pub(super) fn plan_job(
    sim: &mut Sim,
    body: serde_json::Value,
    run_s: f64,
    fails: bool,
    at: Micros,
) {
    let id = body["nameId"].as_str().unwrap_or_default().to_string();
    sim.unstarted.insert(id.clone());
    sim.jobs.insert(
        id.clone(),
        JobPlan {
            body,
            run_s,
            fails,
            command: None,
            submitted_at: at,
        },
    );
    sim.push(
        at,
        Event::UserSends {
            job: id,
            what: UserRequest::Submit,
            since: at,
        },
    );
}

pub(super) fn submit(sim: &mut Sim, words: &[&str]) -> Result<(), ScenarioError> {
    let id = words.first().ok_or("submit needs a job")?;
    let run_s = number(words, "run", 5.0)?;
    let tasks = number(words, "tasks", 1.0)? as u64;
    let mut body = plan_body(id, words, tasks, number(words, "expect", run_s)?)?;
    // One that lacks a field, or that no machine and no limit allows.
    if let (Some(field), Some(map)) = (option(words, "lack"), body.as_object_mut()) {
        map.remove(field);
    }
    if words.contains(&"odd") {
        sim.odd.insert((*id).to_string());
    }
    plan_job(sim, body, run_s, words.contains(&"fails"), sim.now);
    Ok(())
}

/// WHAT PART for=SECONDS: that part of what is sent, until then.
pub(super) fn part_until(sim: &Sim, words: &[&str]) -> Result<(f64, Micros), ScenarioError> {
    let part: f64 = words
        .get(1)
        .and_then(|w| w.parse().ok())
        .ok_or("which part?")?;
    let until = sim.now + (number(words, "for", 30.0)? * 1e6) as Micros;
    Ok((part.clamp(0.0, 1.0), until))
}

pub(super) fn node(sim: &Sim, word: &str) -> Result<usize, ScenarioError> {
    match word {
        "leader" => Ok(sim.leader().unwrap_or(0)),
        "follower" => {
            let leader = sim.leader().unwrap_or(0);
            Ok((leader + 1) % sim.settings.len())
        }
        w => {
            let c = w.bytes().next().ok_or("which controller?")?;
            Ok(usize::from(c.wrapping_sub(b'a')) % sim.settings.len())
        }
    }
}

pub(super) fn act(sim: &mut Sim, words: &[&str]) -> Result<(), ScenarioError> {
    let arg = |i: usize| {
        words
            .get(i)
            .copied()
            .ok_or_else(|| ScenarioError::from(format!("too few words: {words:?}")))
    };
    match arg(0)? {
        "submit" => submit(sim, &words[1..])?,
        what @ ("poll" | "cancel" | "again") => {
            // poll JOB [on=NODE]
            let job = arg(1)?.to_string();
            if let Some(on) = option(words, "on") {
                sim.asks_at = Some(node(sim, on)?);
            }
            let what = match what {
                "poll" => UserRequest::Poll,
                "again" => UserRequest::Submit,
                _ => UserRequest::Cancel,
            };
            let since = sim.now;
            sim.push(since, Event::UserSends { job, what, since });
        }
        "op" => {
            // op NAME [on=NODE] METHOD PATH [BODY]: NAME is for `expect`.
            let node = option(words, "on").map(|n| node(sim, n)).transpose()?;
            let rest: Vec<&str> = words[2..]
                .iter()
                .copied()
                .filter(|w| !w.starts_with("on="))
                .collect();
            let word = |i: usize| rest.get(i).copied().unwrap_or("");
            let method = if word(0) == "POST" {
                Method::Post
            } else {
                Method::Get
            };
            let (path, body) = (sim.expand(word(1)), sim.expand(word(2)));
            let name = arg(1)?.to_string();
            let q = OperatorRequest {
                name,
                node,
                method,
                path,
                body,
                tries: 20,
            };
            sim.push(sim.now, Event::OperatorAsks(q));
        }
        "crash" => {
            let i = node(sim, arg(1)?)?;
            sim.crash(i);
            sim.explain_until(sim.now);
        }
        "fast-restart" => {
            // fast-restart WHO SECONDS: it ends and is back that soon; `all`: each of them.
            let after = seconds(arg(2)?)?;
            let who: Vec<usize> = match arg(1)? {
                "all" => (0..sim.settings.len()).collect(),
                one => vec![node(sim, one)?],
            };
            for i in who {
                sim.crash(i);
                sim.push(sim.now + after, Event::Start(i));
            }
            sim.explain_until(sim.now);
        }
        "copies" => {
            // copies PART most=SECONDS for=SECONDS: of reports, frames, commands and
            // requests that change something, a copy comes late.
            let (part, until) = part_until(sim, words)?;
            let most = (number(words, "most", 10.0)? * 1e6) as Micros;
            sim.copies = (part, most, until);
        }
        "crash-all" => {
            (0..sim.settings.len()).for_each(|i| sim.crash(i));
            sim.explain_until(sim.now);
        }
        "start-all" => (0..sim.settings.len()).for_each(|i| sim.start(i)),
        "cut" => {
            // cut WHO WHAT SECONDS; WHAT: state, refused, workers, peers, cloud, all,
            // but-workers: the state service and the other controllers, or jobs or
            // configuration: what is refused is to read those
            let i = node(sim, arg(1)?)?;
            let until = sim.now + seconds(arg(3)?)?;
            let all = ["state", "workers", "peers", "cloud"];
            let what: Vec<&str> = match arg(2)? {
                "all" => all.to_vec(),
                "but-workers" => vec!["state", "peers"],
                one => vec![one],
            };
            for w in what {
                sim.cuts
                    .insert((i, w.to_string()), (until, words.contains(&"hold")));
                if matches!(w, "refused" | "jobs" | "configuration") {
                    sim.watch_at(until);
                }
            }
            if matches!(arg(2)?, "workers" | "all") {
                sim.losses.cut_off += sim.up(None);
            }
            sim.explain_until(until);
        }
        "zone-cut" => {
            // zone-cut ZONE SECONDS [hold]
            let until = sim.now + seconds(arg(2)?)?;
            sim.losses.cut_off += sim.up(Some(arg(1)?));
            sim.zone_cuts
                .insert(arg(1)?.to_string(), (until, words.contains(&"hold")));
            sim.explain_until(until);
        }
        "peers-refuse" => {
            let until = sim.now + seconds(arg(1)?)?;
            for i in 0..sim.settings.len() {
                sim.cuts.insert((i, "peers".into()), (until, false));
            }
        }
        "freeze" => {
            let i = node(sim, arg(1)?)?;
            let until = sim.now + seconds(arg(2)?)?;
            sim.frozen[i] = until;
            sim.explain_until(until);
        }
        "roll" => {
            // All controllers restart, one after the other.
            let every = (number(words, "every", 20.0)? * 1e6) as Micros;
            for i in 0..sim.settings.len() {
                let at = sim.now + i as Micros * every;
                sim.push(at, Event::Crash(i));
                sim.push(at + 4 * SECOND, Event::Start(i));
                sim.explain_until(at);
            }
        }
        "state-slow" => {
            let until = sim.now + (number(words, "for", 30.0)? * 1e6) as Micros;
            sim.state_slow = (number(words, "factor", 10.0)?, until);
            sim.explain_until(until);
        }
        "capacity" => {
            // capacity PART: of what the cloud has, from now on.
            let part: f64 = arg(1)?.parse().map_err(|_| "capacity PART")?;
            sim.cloud.capacity_fraction = part;
        }
        "stream" => stream(sim, &words[1..])?,
        "poll-storm" => {
            let until = sim.now + (number(words, "for", 30.0)? * 1e6) as Micros;
            sim.storm = (number(words, "factor", 8.0)?, until);
        }
        "when" => {
            // when WHAT SECONDS ACTION: so long after it happens next; WHAT: take, the
            // block's key changes; cancelled, a user is told so; heard, a worker takes
            // its first answer with a new token.
            let what = arg(1)?.to_string();
            if !["take", "cancelled", "heard"].contains(&what.as_str()) {
                return Err(format!("when '{what}'?").into());
            }
            let action = words[3..].iter().map(|w| (*w).to_string()).collect();
            sim.armed.push((what, seconds(arg(2)?)?, action));
        }
        "state-down" => {
            let until = sim.now + seconds(arg(1)?)?;
            sim.state.outage(until);
            sim.watch_at(until);
            sim.explain_until(until);
        }
        "cloud-down" => sim.cloud.down_until = sim.now + seconds(arg(1)?)?,
        "refuse-rents" => sim.cloud.rejects_scale_out_until = sim.now + seconds(arg(1)?)?,
        "refuse-pages" => {
            sim.state.rejected_writes = RejectedWrites {
                prefix: "p/",
                until: sim.now + seconds(arg(1)?)?,
            }
        }
        "lose-replies" => sim.lose_replies = number(words, "part", 0.2)?,
        "late-commits" => sim.late = number(words, "part", 0.2)?,
        "calm" => {
            (sim.lose_replies, sim.late, sim.fault_injection.lose_cloud) = (0.0, 0.0, 0.0);
        }
        "forget-changes" => sim.state.history_limit = number(words, "keep", 3.0)? as usize,
        "stuck-boots" => sim.cloud.stuck_boots = number(words, "count", 2.0)? as u32,
        "unlisted" => {
            let machine_type = sim.cloud.instance_types[0].label.clone();
            let pool = CapacityPool::new(machine_type, sim.cloud.zones[0].clone(), true);
            let id = sim.cloud.add(sim.now, &pool, Some(SECOND));
            let _ = sim.cloud.take_created();
            sim.push(sim.now + SECOND, Event::Report { machine: id });
        }
        "keep-reports" => {
            // keep-reports PART for=SECONDS: copies that reach all at the next take.
            sim.fault_injection.keeps = part_until(sim, words)?;
        }
        "cancel-at-end" => sim.fault_injection.at_end = part_until(sim, words)?,
        "close-looks" => sim.fault_injection.looks = sim.now + seconds(arg(1)?)?,
        "cancel-now" => {
            let hang = (number(words, "hang", 0.0)? * 1e6) as Micros;
            sim.cancel_now(number(words, "count", 5.0)? as usize, hang);
        }
        "links-lossy" => {
            // links-lossy PART most=SECONDS for=SECONDS: so many frames between
            // controllers are lost and sent again, which holds up those behind them.
            let (part, until) = part_until(sim, words)?;
            let most = (number(words, "most", 1.0)?.max(0.3) * 1e6) as Micros;
            sim.fault_injection.frame_loss = (part, most, until);
        }
        "links-slow" => {
            // links-slow SECONDS for=SECONDS: every message of a controller takes longer.
            let until = sim.now + (number(words, "for", 30.0)? * 1e6) as Micros;
            sim.fault_injection.slow = (seconds(arg(1)?)?, until);
        }
        "lose-cloud-replies" => sim.fault_injection.lose_cloud = number(words, "part", 0.2)?,
        what @ ("take" | "notice" | "hang" | "cut-machines" | "sick" | "slow" | "die"
        | "cut-inbound" | "cut-outbound" | "reboot") => {
            // The machines with the most on them, as the bench would choose.
            let count = number(words, "count", 1.0)? as usize;
            let until = sim.now + (number(words, "for", 10.0)? * 1e6) as u64;
            let zone = option(words, "zone");
            let mut busy: Vec<(usize, u64)> = sim
                .workers
                .iter()
                .filter(|(_, w)| zone.is_none_or(|z| z == w.zone))
                .map(|(id, w)| (w.running().count(), *id))
                .collect();
            busy.sort_by(|a, b| b.cmp(a));
            for (_, id) in busy.into_iter().take(count) {
                if what == "die" {
                    sim.die(id);
                    continue;
                }
                if what == "take" {
                    sim.cloud.instances.remove(&id);
                    sim.lose(id);
                    continue;
                }
                let Some(w) = sim.workers.get_mut(&id) else {
                    continue;
                };
                match what {
                    "notice" => w.faults.reclaim_at = Some(until),
                    "hang" => w.faults.hang_until = until,
                    "cut-machines" => w.faults.cut_until = until,
                    "cut-inbound" => w.faults.inbound_cut_until = until,
                    "cut-outbound" => w.faults.outbound_cut_until = until,
                    "reboot" if words.contains(&"anew") => w.reset(sim.now),
                    "reboot" => w.reboot(sim.now),
                    "sick" => w.faults.tasks_fail = true,
                    _ => w.faults.slowdown = 4.0,
                }
                sim.push(until, Event::WorkerStep { machine: id });
                sim.push(until, Event::Report { machine: id });
            }
        }
        other => return Err(format!("unknown action '{other}'").into()),
    }
    Ok(())
}

/// stream FIRST count= every= tasks= cpus= run= ...: jobs at even distances, of
/// drawn width and length, numbered from FIRST.
pub(super) fn stream(sim: &mut Sim, words: &[&str]) -> Result<(), ScenarioError> {
    let first: u64 = words
        .first()
        .and_then(|w| w.parse().ok())
        .ok_or("stream needs a first number")?;
    let count = number(words, "count", 10.0)? as u64;
    let every = number(words, "every", 1.0)?;
    let (tasks, run) = (number(words, "tasks", 4.0)?, number(words, "run", 10.0)?);
    let broken = number(words, "broken", 0.0)?;
    let cancelled = number(words, "cancelled", 0.0)?;
    for i in 0..count {
        let width = (tasks * sim.rng.gen_range(0.5..1.5)).round().max(1.0);
        let run_s = run * sim.rng.gen_range(0.6..1.4);
        let body = plan_body(&format!("job-{}", first + i), words, width as u64, run_s)?;
        let at = sim.now + (every * i as f64 * 1e6) as Micros;
        // A job with a mistake; its user sees that after a while, and cancels it.
        let broken = broken > 0.0 && sim.rng.gen_bool(broken.min(1.0));
        plan_job(sim, body, run_s, broken, at);
        if cancelled > 0.0 && sim.rng.gen_bool(cancelled.min(1.0)) {
            let seen = at + (sim.rng.gen_range(0.2..run * 1.2 + 0.3) * 1e6) as Micros;
            let job = format!("job-{}", first + i);
            sim.push(
                seen,
                Event::UserSends {
                    job,
                    what: UserRequest::Cancel,
                    since: seen,
                },
            );
        }
        if broken {
            let seen = at + sim.rng.gen_range(40..100) * SECOND;
            let job = format!("job-{}", first + i);
            sim.push(
                seen,
                Event::UserSends {
                    job,
                    what: UserRequest::Cancel,
                    since: seen,
                },
            );
        }
    }
    Ok(())
}
