//! A long list of jobs: every page is bounded, the cursor misses and repeats
//! nothing while jobs come and go, and the controller's memory is told.

use crate::place::{self, Folder, Lab};
use crate::TestbedError;
use beamhinge_admin_api::directives::{Afterwards, Directive, Target, VERSION};
use beamhinge_admin_api::messages::JobRequest;
use beamhinge_core::job::{done_record, open_record, JobSpec};
use beamhinge_core::wire;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Instant;

/// What one controller may use on the bench, MB.
const ALLOWED_MB: f64 = 40.0;

fn finished(i: usize) -> JobSpec {
    let team = ["home", "small"][i % 2];
    JobRequest::new(format!("job-{i:08}"), team).spec(1_700_000_000_000 + i as u64)
}

pub fn run(lab: &Lab, quick: bool, open: bool) -> Result<Value, TestbedError> {
    let jobs = if quick { 5_000 } else { 50_000 };
    let folder = Folder::new("list")?;
    let mut log = String::new();
    for i in 0..jobs {
        let spec = finished(i);
        let value = if open {
            open_record(&spec)
        } else {
            done_record(&spec)
        };
        let value: Value =
            wire::from_value(&value).map_err(|e| TestbedError::Other(e.to_string()))?;
        let key = format!("j/job-{i:08}");
        let _ = writeln!(log, "{}", json!({"rev": i + 1, "key": key, "value": value}));
    }
    if open {
        // Nothing starts: the list alone is measured.
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
    std::fs::write(folder.0.join("state.log"), log)?;
    let mut plan = place::plan(lab, &folder.0);
    (plan.nodes, plan.kept) = (1, true);
    let began = Instant::now();
    let cluster = place::start(plan, Box::new(|_| {}))?;
    let loaded_s = began.elapsed().as_secs_f64();
    let pid = cluster.processes().first().copied().unwrap_or(0);
    let before = place::memory_mb(pid).0;
    let mut client = place::client(&cluster, 20.0);
    let (mut seen, mut repeated, mut pages, mut most_ms) = (BTreeSet::new(), 0, 0, 0.0f64);
    let mut after = String::new();
    let began = Instant::now();
    loop {
        let asked = Instant::now();
        let page = client.jobs(&[("after", after.clone()), ("limit", "200".into())])?;
        most_ms = most_ms.max(asked.elapsed().as_secs_f64() * 1e3);
        pages += 1;
        // Jobs come while the list is read, before and behind the cursor.
        if pages % 25 == 0 {
            let mut job = JobRequest::new(format!("job-{:09}", pages), "home");
            job.expect_s = 0.1;
            client.submit(&job)?;
        }
        for row in page.jobs {
            repeated += usize::from(!seen.insert(row.job));
        }
        match page.next {
            Some(next) => after = next,
            None => break,
        }
    }
    let listed_s = began.elapsed().as_secs_f64();
    let missing = (0..jobs)
        .filter(|i| !seen.contains(&format!("job-{i:08}")))
        .count();
    // A filter that matches nothing looks at bounded parts as well.
    let (mut looks, mut after) = (0, String::new());
    loop {
        let query = [
            ("state", "cancelled".into()),
            ("team", "home".into()),
            ("after", after.clone()),
        ];
        let page = client.jobs(&query)?;
        looks += 1;
        match page.next {
            Some(next) => after = next,
            None => break,
        }
    }
    let (now_mb, peak_mb) = place::memory_mb(pid);
    let round = |x: f64| (x * 1e3).round() / 1e3;
    let ok = missing == 0 && repeated == 0 && peak_mb < ALLOWED_MB && pages >= jobs / 200;
    Ok(
        json!({"ok": ok, "experiment": "list", "jobs": jobs, "open": open, "pages": pages, "missing": missing,
        "repeated": repeated, "loaded_s": round(loaded_s), "listed_s": round(listed_s),
        "longest_page_ms": round(most_ms), "pages_that_match_nothing": looks,
        "memory_mb": {"before": round(before), "after": round(now_mb), "most": round(peak_mb),
            "allowed": ALLOWED_MB}}),
    )
}
