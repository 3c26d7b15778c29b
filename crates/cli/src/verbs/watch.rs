//! Subcommands that follow decisions and show the live overview.

use crate::arguments::Output;
use crate::{show, Failure};
use beamhinge_client::{Client, ClientError};
use serde::Serialize;
use std::io::{self, IsTerminal, Write};
use std::time::Duration;

/// Maximum number of values in a plot.
const MAX_PLOT_VALUES: usize = 60;
/// Interval between queries for new decisions.
const EVENTS_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// A decision as a line of JSON.
#[derive(Serialize)]
struct EventLine<'a> {
    token: u64,
    #[serde(flatten)]
    decision: &'a beamhinge_admin_api::messages::Decision,
}

/// Formats the UTC time of day of a time in milliseconds since the Unix epoch.
fn utc_time_of_day(ms: u64) -> String {
    let s = ms / 1000 % 86_400;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        s / 3600,
        s / 60 % 60,
        s % 60,
        ms % 1000
    )
}

/// Prints recent decisions and, with `follow`, keeps printing new ones.
pub(super) fn events(client: &mut Client, follow: bool, output: Output) -> Result<(), Failure> {
    let (mut token, mut after) = (0, 0);
    loop {
        let decisions = client.decisions(token, after)?;
        if decisions.token != token {
            (token, after) = (decisions.token, 0);
        }
        let mut out = io::stdout().lock();
        if decisions.missed > 0 && follow {
            eprintln!(
                "beamhinge: {} decisions were discarded before they could be read",
                decisions.missed
            );
        }
        for decision in &decisions.decisions {
            after = after.max(decision.serial);
            match output {
                Output::Json => {
                    let line = serde_json::to_string(&EventLine { token, decision })
                        .map_err(io::Error::other)?;
                    writeln!(out, "{line}")?;
                }
                Output::Table => writeln!(
                    out,
                    "{} UTC  {}",
                    utc_time_of_day(decision.at_ms),
                    decision.what
                )?,
            }
        }
        out.flush()?;
        drop(out);
        if decisions.decisions.is_empty() {
            if !follow {
                return Ok(());
            }
            std::thread::sleep(EVENTS_POLL_INTERVAL);
        }
    }
}

/// Shows the overview. On a terminal, refreshes it every `every_s` seconds, limited to between 0.2
/// and 60.
pub(super) fn top(client: &mut Client, every_s: f64, output: Output) -> Result<(), Failure> {
    if output == Output::Json || !io::stdout().is_terminal() {
        return show::print_value(output, &client.summary()?, |s| show::summary(s, &[], &[]));
    }
    let (mut running, mut waiting) = (Vec::new(), Vec::new());
    let push = |list: &mut Vec<f64>, v: u32| {
        list.push(f64::from(v));
        if list.len() > MAX_PLOT_VALUES {
            list.remove(0);
        }
    };
    loop {
        let text = match client.summary() {
            Ok(s) => {
                push(&mut running, s.tasks_running);
                push(&mut waiting, s.tasks_waiting);
                let from = client
                    .last_controller()
                    .map_or(String::new(), |a| a.to_string());
                format!(
                    "beamhinge top, answered by {from}\n\n{}",
                    show::summary(&s, &running, &waiting)
                )
            }
            Err(e @ (ClientError::TimedOut { .. } | ClientError::Unreachable { .. })) => {
                format!("beamhinge top\n\n{e}")
            }
            Err(e) => return Err(e.into()),
        };
        let mut out = io::stdout().lock();
        // Moves the cursor home, clears each line to its end, then clears everything below.
        write!(
            out,
            "\x1b[H{}\x1b[K\n\x1b[J",
            text.trim_end().replace('\n', "\x1b[K\n")
        )?;
        out.flush()?;
        drop(out);
        std::thread::sleep(Duration::from_secs_f64(every_s.clamp(0.2, 60.0)));
    }
}
