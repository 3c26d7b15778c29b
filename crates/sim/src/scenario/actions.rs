//! Actions of a scenario: the effects of its `at` lines.

mod controllers;
mod jobs;
mod machines;
mod services;

use super::words::Words;
use super::ScenarioError;
use crate::cluster::Sim;
use crate::event::{ArmedAction, Event, OperatorRequest, Trigger};
use crate::fault_injection::{Duplication, FrameLoss, Temporary};
use beamhinge_core::http::Method;

/// Maximum number of times that an operator's request is sent.
const OPERATOR_TRIES: u32 = 20;

/// Carries out one action.
pub(super) fn act(sim: &mut Sim, words: &[&str]) -> Result<(), ScenarioError> {
    let words = Words(words);
    let action = words.arg(0)?;
    match action {
        "submit" => jobs::submit(sim, Words(&words.0[1..])),
        "stream" => jobs::stream(sim, Words(&words.0[1..])),
        "poll" | "cancel" | "again" => jobs::user_request(sim, words),
        "cancel-now" => jobs::cancel_running(sim, words),
        "cancel-at-end" | "close-looks" | "poll-storm" => jobs::adverse_users(sim, words),
        "op" => operator_request(sim, words),
        "when" => arm(sim, words),
        "crash" | "crash-all" | "start-all" | "fast-restart" | "roll" | "freeze" => {
            controllers::process_fault(sim, words)
        }
        "cut" => controllers::cut(sim, words),
        "zone-cut" => controllers::cut_zone(sim, words),
        "peers-refuse" => controllers::cut_peers(sim, words),
        "copies" | "keep-reports" | "links-lossy" | "links-slow" => message_fault(sim, words),
        "calm" => {
            services::calm(sim);
            Ok(())
        }
        "take" | "notice" | "hang" | "cut-machines" | "sick" | "slow" | "die" | "cut-inbound"
        | "cut-outbound" | "reboot" => machines::fault(sim, words),
        "unrequested-machine" => {
            machines::add_unlisted(sim);
            Ok(())
        }
        _ => services::fault(sim, words),
    }
}

/// `op NAME [on=NODE] METHOD PATH [BODY]`: `expect` lines refer to the answer by NAME.
fn operator_request(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let controller = words
        .option("on")
        .map(|label| controllers::number(sim, label))
        .transpose()?;
    let name = words.arg(1)?.to_string();
    let rest: Vec<&str> = words.0[2..]
        .iter()
        .copied()
        .filter(|w| !w.starts_with("on="))
        .collect();
    let word = |i: usize| rest.get(i).copied().unwrap_or("");
    let request = OperatorRequest {
        name,
        controller,
        method: if word(0) == "POST" {
            Method::Post
        } else {
            Method::Get
        },
        path: sim.expand(word(1)),
        body: sim.expand(word(2)),
        tries: OPERATOR_TRIES,
    };
    sim.push(sim.now, Event::OperatorSends(request));
    Ok(())
}

/// `when WHAT SECONDS ACTION`: carries out ACTION that many seconds after the next
/// occurrence of WHAT: `take`, a new leader begins; `cancelled`, a user is told that a job is
/// cancelled; `heard`, a worker accepts its first answer with a new fencing token.
fn arm(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let trigger = match words.arg(1)? {
        "take" => Trigger::LeadershipAcquired,
        "cancelled" => Trigger::Cancelled,
        "heard" => Trigger::NewToken,
        other => return Err(ScenarioError::UnknownTrigger(other.to_string())),
    };
    let delay = words.seconds(2)?;
    let words = words.0[3..].iter().map(|w| (*w).to_string()).collect();
    sim.armed.push(ArmedAction {
        trigger,
        delay,
        words,
    });
    Ok(())
}

/// Faults that duplicate, retain, lose or delay messages.
fn message_fault(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let now = sim.now;
    match words.arg(0)? {
        // copies PART most=SECONDS for=SECONDS: of this part of the reports, frames, commands
        // and requests that change something, a copy arrives late.
        "copies" => {
            sim.faults.duplication = Duplication {
                probability: words.probability(now)?,
                max_delay: words.duration("most", 10.0)?,
            };
        }
        // keep-reports PART for=SECONDS: copies of reports reach all controllers when the next
        // leader begins.
        "keep-reports" => sim.faults.kept_reports.probability = words.probability(now)?,
        // links-lossy PART most=SECONDS for=SECONDS: this part of the frames between
        // controllers is lost and sent again, which delays the frames behind them.
        "links-lossy" => {
            let probability = words.probability(now)?;
            let max_delay = words.number("most", 1.0)?.max(FrameLoss::MIN_MAX_DELAY_S);
            let loss = &mut sim.faults.frame_loss;
            loss.probability = probability;
            loss.max_delay = (max_delay * 1e6) as u64;
        }
        // links-slow SECONDS for=SECONDS: every message of a controller is delayed.
        _ => {
            let until = now + words.duration("for", 30.0)?;
            sim.faults.link_delay = Temporary {
                value: words.seconds(1)?,
                until,
            };
        }
    }
    Ok(())
}
