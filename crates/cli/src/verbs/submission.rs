//! Subcommands that submit and cancel jobs.

use crate::arguments::{Output, SubmitOptions};
use crate::{show, Failure};
use beamhinge_admin_api::messages::{JobDetail, JobRequest, State};
use beamhinge_client::{generate_job_id, Client, ClientError};
use beamhinge_core::job::JobKind;
use std::io::{self, IsTerminal};
use std::time::Duration;

/// Width of the progress bar, characters.
const PROGRESS_BAR_WIDTH: usize = 30;
/// Interval between queries for a job that `--wait` waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Quotes an argument so that a shell reads it as one word.
pub(super) fn shell_quote(word: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_./=:,+@%".contains(c);
    if !word.is_empty() && word.chars().all(plain) {
        word.to_string()
    } else {
        format!("'{}'", word.replace('\'', "'\\''"))
    }
}

/// Builds the job that a file and flags describe; flags override the file.
pub(super) fn job_request(options: &SubmitOptions) -> Result<JobRequest, Failure> {
    let mut table = match &options.file {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| Failure::Usage(format!("{}: {e}", path.display())))?;
            text.parse::<toml::Table>()
                .map_err(|e| Failure::Usage(format!("{}: {e}", path.display())))?
        }
        None => toml::Table::new(),
    };
    apply_flags(&mut table, options);
    if !table.contains_key("team") {
        return Err(Failure::Usage(
            "the job names no team: set one with --team NAME".into(),
        ));
    }
    if !table.contains_key("job") {
        table.insert("job".into(), generate_job_id().into());
    }
    let source = options
        .file
        .as_ref()
        .map_or("the flags".into(), |f| f.display().to_string());
    toml::Value::Table(table)
        .try_into()
        .map_err(|e: toml::de::Error| Failure::Usage(format!("{source}: {}", e.message())))
}

/// Overrides the values of the file with those of the flags.
fn apply_flags(table: &mut toml::Table, options: &SubmitOptions) {
    let mut set = |name: &str, value: Option<toml::Value>| {
        if let Some(v) = value {
            table.insert(name.into(), v);
        }
    };
    let text = |v: &Option<String>| v.clone().map(toml::Value::from);
    let number = |v: Option<f64>| v.map(toml::Value::from);
    set("job", text(&options.id));
    set("team", text(&options.team));
    set("class", text(&options.class));
    set("urgency", text(&options.urgency));
    set(
        "tasks",
        options.tasks.map(|t| toml::Value::from(i64::from(t))),
    );
    set("cpus", number(options.cpus));
    set("gpus", number(options.gpus));
    set("memory_gb", number(options.memory_gb));
    set("image", text(&options.image));
    set("image_gb", number(options.image_gb));
    set("zone", text(&options.zone));
    set("expect_s", number(options.expect_s));
    set("checkpoint_s", number(options.checkpoint_s));
    set("save_s", number(options.save_s));
    set("due_s", number(options.due_s));
    set("kind", options.standing.then(|| "standing".into()));
    set("one_zone", options.one_zone.then_some(true.into()));
    set("spread", options.spread.then_some(true.into()));
    set("spot", options.no_spot.then_some(false.into()));
    set(
        "shapes",
        (!options.shapes.is_empty()).then(|| options.shapes.clone().into()),
    );
    if !options.command.is_empty() {
        // A single argument is a shell command line; several are the words of one command.
        let line = match options.command.as_slice() {
            [line] => line.clone(),
            words => words
                .iter()
                .map(|w| shell_quote(w))
                .collect::<Vec<_>>()
                .join(" "),
        };
        set("command", Some(line.into()));
    }
}

/// Submits a job and, with `--wait`, waits until it ends.
pub(super) fn submit(
    client: &mut Client,
    options: &SubmitOptions,
    output: Output,
) -> Result<(), Failure> {
    let job = job_request(options)?;
    if options.wait && job.kind == JobKind::Service {
        return Err(Failure::Usage(
            "a service runs until it is cancelled: omit --wait".into(),
        ));
    }
    let submitted = client.submit(&job).inspect_err(|e| {
        if e.outcome_unknown() {
            // A repeated submission is safe only with the same id, so the id must not be lost.
            eprintln!(
                "beamhinge: the submission can be repeated safely with --id {}",
                job.job
            );
        }
    })?;
    if !options.wait {
        return show::print_value(output, &submitted, |t| format!("{} is {}", t.job, t.state));
    }
    if output == Output::Table {
        println!("{} is {}", submitted.job, submitted.state);
    }
    let detail = wait(client, &job.job)?;
    show::print_value(output, &detail, show::job)?;
    if detail.row.state == State::Cancelled {
        return Err(Failure::Cancelled(job.job));
    }
    Ok(())
}

/// Shows progress until the job ends.
fn wait(client: &mut Client, job: &str) -> Result<JobDetail, Failure> {
    let redraws_line = io::stderr().is_terminal();
    let mut shown = String::new();
    loop {
        // Waiting continues while controllers restart: only a definite response ends it.
        let detail = match client.job(job) {
            Ok(d) => d,
            Err(ClientError::TimedOut { .. } | ClientError::Unreachable { .. }) => continue,
            Err(e) => return Err(e.into()),
        };
        let r = &detail.row;
        let filled = PROGRESS_BAR_WIDTH * r.done as usize / r.tasks.max(1) as usize;
        let line = format!(
            "[{}{}] {}/{} done, {} running",
            "#".repeat(filled),
            ".".repeat(PROGRESS_BAR_WIDTH - filled.min(PROGRESS_BAR_WIDTH)),
            r.done,
            r.tasks,
            r.running
        );
        if line != shown {
            if redraws_line {
                eprint!("\r{line}  ");
            } else {
                eprintln!("{line}");
            }
            shown = line;
        }
        if r.state.is_final() {
            if redraws_line {
                eprintln!();
            }
            return Ok(detail);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Cancels jobs. The first error determines the exit code.
pub(super) fn cancel(client: &mut Client, jobs: &[String], output: Output) -> Result<(), Failure> {
    let mut responses = Vec::new();
    let mut first_error = None;
    for job in jobs {
        match client.cancel(job) {
            Ok(t) => responses.push(t),
            Err(e) => {
                eprintln!("beamhinge: {job}: {e}");
                first_error = first_error.or(Some(e));
            }
        }
    }
    show::print_value(output, &responses, |responses| {
        let lines: Vec<String> = responses
            .iter()
            .map(|t| match t.state {
                State::Done => format!("{} was already done", t.job),
                state => format!("{} is {state}", t.job),
            })
            .collect();
        lines.join("\n")
    })?;
    first_error.map_or(Ok(()), |e| Err(e.into()))
}
