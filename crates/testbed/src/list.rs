//! Reads a long list of jobs from a small controller.
//!
//! Every page is bounded, the cursor neither misses nor repeats a job while others are submitted
//! and finish, and the memory of the controller is reported and limited.

use crate::context::{self, Folder, TestContext};
use crate::TestbedError;
use beamhinge_admin_api::directives::{Afterwards, Directive, Target, VERSION};
use beamhinge_admin_api::messages::JobRequest;
use beamhinge_client::Client;
use beamhinge_core::job::{done_record, open_record, JobSpec};
use beamhinge_core::wire;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Instant;

/// Limit for the peak memory of a controller on the bench, in MB.
const MAX_CONTROLLER_MB: f64 = 40.0;

/// Number of rows of a page.
const ROWS_PER_PAGE: usize = 200;
/// Number of pages between two submissions while the list is read.
const PAGES_PER_SUBMISSION: usize = 25;

fn job_spec(i: usize) -> JobSpec {
    let team = ["home", "small"][i % 2];
    JobRequest::new(format!("job-{i:08}"), team).spec(1_700_000_000_000 + i as u64)
}

/// Returns the log of the key-value store with this number of jobs. Open jobs wait, since their
/// teams are frozen.
fn state_log(jobs: usize, open: bool) -> Result<String, TestbedError> {
    let mut log = String::new();
    for i in 0..jobs {
        let spec = job_spec(i);
        let record = if open {
            open_record(&spec)
        } else {
            done_record(&spec)
        };
        let value: Value =
            wire::from_value(&record).map_err(|e| TestbedError::Other(e.to_string()))?;
        let key = format!("j/job-{i:08}");
        // Writing to a string cannot fail.
        let _ = writeln!(log, "{}", json!({"rev": i + 1, "key": key, "value": value}));
    }
    if open {
        // Frozen teams: no task starts, so only the list is measured.
        for (n, team) in ["home", "small"].into_iter().enumerate() {
            let directive = Directive {
                target: Target::Team(team.into()),
                since_ms: 0,
                within_s: None,
                afterwards: Afterwards::Return,
                by: String::new(),
                note: String::new(),
            };
            let value = json!({"v": VERSION, "directive": directive});
            let (rev, key) = (jobs + 1 + n, format!("o/team/{team}"));
            let _ = writeln!(log, "{}", json!({"rev": rev, "key": key, "value": value}));
        }
    }
    Ok(log)
}

/// Result of reading the whole list.
struct Listing {
    seen_jobs: BTreeSet<String>,
    /// Number of rows whose job an earlier row contained.
    repeated_rows: usize,
    pages: usize,
    /// Longest response time of a page, in milliseconds.
    longest_page_ms: f64,
    /// Total time of all pages, in seconds.
    total_s: f64,
}

/// Reads the whole list, page by page, while other jobs are submitted.
fn read_list(client: &mut Client) -> Result<Listing, TestbedError> {
    let mut listing = Listing {
        seen_jobs: BTreeSet::new(),
        repeated_rows: 0,
        pages: 0,
        longest_page_ms: 0.0,
        total_s: 0.0,
    };
    let mut after = String::new();
    let started_at = Instant::now();
    loop {
        let page_requested = Instant::now();
        let page = client.jobs(&[
            ("after", after.clone()),
            ("limit", ROWS_PER_PAGE.to_string()),
        ])?;
        let page_ms = page_requested.elapsed().as_secs_f64() * 1e3;
        listing.longest_page_ms = listing.longest_page_ms.max(page_ms);
        listing.pages += 1;
        if listing.pages.is_multiple_of(PAGES_PER_SUBMISSION) {
            let mut job = JobRequest::new(format!("job-{:09}", listing.pages), "home");
            job.expect_s = 0.1;
            client.submit(&job)?;
        }
        for row in page.jobs {
            listing.repeated_rows += usize::from(!listing.seen_jobs.insert(row.job));
        }
        let Some(next) = page.next else { break };
        after = next;
    }
    listing.total_s = started_at.elapsed().as_secs_f64();
    Ok(listing)
}

/// Returns the number of pages that a filter without matches takes: each page examines a bounded
/// number of jobs.
fn pages_without_match(client: &mut Client) -> Result<usize, TestbedError> {
    let (mut pages, mut after) = (0, String::new());
    loop {
        let query = [
            ("state", "cancelled".into()),
            ("team", "home".into()),
            ("after", after.clone()),
        ];
        let page = client.jobs(&query)?;
        pages += 1;
        match page.next {
            Some(next) => after = next,
            None => return Ok(pages),
        }
    }
}

/// Runs the experiment and returns the results to print. If `open` is set, all jobs are unfinished.
pub(crate) fn run(context: &TestContext, quick: bool, open: bool) -> Result<Value, TestbedError> {
    let jobs = if quick { 5_000 } else { 50_000 };
    let folder = Folder::new("list")?;
    std::fs::write(folder.0.join("state.log"), state_log(jobs, open)?)?;
    let mut plan = context::plan(context, &folder.0);
    (plan.nodes, plan.kept) = (1, true);
    let started_at = Instant::now();
    let cluster = context::start(plan, Box::new(|_| {}))?;
    let startup_s = started_at.elapsed().as_secs_f64();
    let pid = cluster.processes().first().copied().unwrap_or(0);
    let before_mb = context::memory_mb(pid).0;
    let mut client = context::client(&cluster, 20.0);
    let listing = read_list(&mut client)?;
    let missing = (0..jobs)
        .filter(|i| !listing.seen_jobs.contains(&format!("job-{i:08}")))
        .count();
    let pages_without_match = pages_without_match(&mut client)?;
    let (after_mb, peak_mb) = context::memory_mb(pid);
    let round = |x: f64| (x * 1e3).round() / 1e3;
    let Listing {
        repeated_rows,
        pages,
        ..
    } = listing;
    let ok = missing == 0
        && repeated_rows == 0
        && peak_mb < MAX_CONTROLLER_MB
        && pages >= jobs / ROWS_PER_PAGE;
    Ok(
        json!({"ok": ok, "experiment": "list", "jobs": jobs, "open": open, "pages": pages, "missing": missing,
        "repeated": repeated_rows, "loaded_s": round(startup_s), "listed_s": round(listing.total_s),
        "longest_page_ms": round(listing.longest_page_ms), "pages_that_match_nothing": pages_without_match,
        "memory_mb": {"before": round(before_mb), "after": round(after_mb), "most": round(peak_mb),
            "allowed": MAX_CONTROLLER_MB}}),
    )
}
