//! Subcommands that list jobs and machines, and explain why a job waits.

use crate::arguments::{JobsOptions, Output};
use crate::{show, Failure};
use beamhinge_admin_api::messages::{Explanation, JobPage, MachinePage, Splits};
use beamhinge_client::Client;

/// Maximum number of rows in one page.
const MAX_PAGE_ROWS: usize = 200;
/// Width of the bar for a weight of 1, characters.
const WEIGHT_BAR_WIDTH: f64 = 40.0;

pub(super) fn machines(
    client: &mut Client,
    machine_type: Option<String>,
    zone: Option<String>,
    output: Output,
) -> Result<(), Failure> {
    let page = all_machines(
        client,
        &machine_type.unwrap_or_default(),
        &zone.unwrap_or_default(),
    )?;
    show::print_value(output, &page, |p| show::machines(&p.machines))
}

/// Formats the explanation of why a job waits.
pub(super) fn explanation(e: &Explanation) -> String {
    let mut text = format!("{} is {}", e.job, e.state);
    if e.waiting > 0 {
        text.push_str(&format!(", {} tasks wait", e.waiting));
    }
    if e.text.is_empty() {
        text.push_str(": nothing prevents it from running");
    }
    for line in &e.text {
        text.push_str(&format!("\n  {line}"));
    }
    text
}

/// Formats the table of the learner's parameter pairs.
pub(super) fn splits(splits: &Splits) -> String {
    let rows = splits.pairs.iter().map(|p| {
        let bar = "#".repeat((p.weight * WEIGHT_BAR_WIDTH).round() as usize);
        let cells = [
            p.beta0.to_string(),
            p.beta.to_string(),
            format!("{:.4}", p.weight),
        ];
        cells.into_iter().chain([p.jobs.to_string(), bar]).collect()
    });
    let headers = ["#beta0", "#beta", "#weight", "#open jobs", ""];
    format!(
        "update every {} s\n{}",
        splits.update_s,
        show::table(&headers, rows.collect())
    )
}

/// Lists jobs, page by page, up to the requested number of rows.
pub(super) fn jobs(
    client: &mut Client,
    options: &JobsOptions,
    output: Output,
) -> Result<(), Failure> {
    let number = |n: Option<f64>| n.map_or(String::new(), |n| n.to_string());
    let mut all = JobPage {
        jobs: Vec::new(),
        next: None,
    };
    let mut after = options.after.clone();
    loop {
        let remaining = options.limit.saturating_sub(all.jobs.len()).max(1);
        let query = [
            ("state", options.state.clone()),
            ("team", options.team.clone()),
            ("class", options.class.clone()),
            ("urgency", options.urgency.clone()),
            ("older_s", number(options.older_s)),
            ("younger_s", number(options.younger_s)),
            ("after", after),
            ("limit", remaining.min(MAX_PAGE_ROWS).to_string()),
        ];
        let page = client.jobs(&query)?;
        all.jobs.extend(page.jobs);
        all.next = page.next;
        match &all.next {
            Some(next) if all.jobs.len() < options.limit => after = next.clone(),
            _ => break,
        }
    }
    show::print_value(output, &all, |p| {
        let more = p.next.as_ref().map_or(String::new(), |n| {
            format!("\nthere may be more; continue with --after {n}")
        });
        show::jobs(&p.jobs) + &more
    })
}

/// Fetches all pages of machines.
fn all_machines(
    client: &mut Client,
    machine_type: &str,
    zone: &str,
) -> Result<MachinePage, Failure> {
    let mut all = MachinePage {
        machines: Vec::new(),
        next: None,
    };
    let mut after = String::new();
    loop {
        let query = [
            ("shape", machine_type.to_string()),
            ("zone", zone.to_string()),
            ("after", after),
            ("limit", MAX_PAGE_ROWS.to_string()),
        ];
        let page = client.machines(&query)?;
        all.machines.extend(page.machines);
        match page.next {
            Some(next) => after = next,
            None => return Ok(all),
        }
    }
}
