//! What each verb asks and how its answer is shown.

use crate::arguments::{
    DrainKind, FreezeKind, JobsOptions, Output, SetQuotasOptions, SubmitOptions, Verb,
};
use crate::{show, Failure};
use beamhinge_admin_api::directives::{Afterwards, Change, Target};
use beamhinge_admin_api::messages::{JobPage, JobRequest, MachinePage, State};
use beamhinge_client::{draw_job_id, Client, ClientError};
use beamhinge_configuration::{ConfigurationChange, Version};
use beamhinge_core::job::JobKind;
use serde::Serialize;
use std::io::{self, IsTerminal, Write};
use std::time::Duration;

/// Points that a plot remembers.
const PLOT: usize = 60;

pub fn run(client: &mut Client, verb: Verb, output: Output) -> Result<(), Failure> {
    match verb {
        Verb::Submit(options) => submit(client, &options, output),
        Verb::Jobs(options) => jobs(client, &options, output),
        Verb::Job { job } => show::either(output, &client.job(&job)?, show::job),
        Verb::Cancel { jobs } => cancel(client, &jobs, output),
        Verb::Explain { job } => {
            let e = client.explain(&job)?;
            show::either(output, &e, |e| {
                let mut text = format!("{} is {}", e.job, e.state);
                if e.waiting > 0 {
                    text.push_str(&format!(", {} tasks wait", e.waiting));
                }
                if e.text.is_empty() {
                    text.push_str(": nothing holds it back");
                }
                for line in &e.text {
                    text.push_str(&format!("\n  {line}"));
                }
                text
            })
        }
        Verb::Machines {
            shape: machine_type,
            zone,
        } => {
            let page = machines(
                client,
                machine_type.unwrap_or_default(),
                zone.unwrap_or_default(),
            )?;
            show::either(output, &page, |p| show::machines(&p.machines))
        }
        Verb::Teams => show::either(output, &client.teams()?, |t| show::teams(t)),
        Verb::Nodes => show::either(output, &client.nodes()?, |n| show::nodes(n)),
        Verb::Splits => show::either(output, &client.splits()?, |s| {
            let rows = s.pairs.iter().map(|p| {
                let bar = "#".repeat((p.weight * 40.0).round() as usize);
                let cells = [
                    p.beta0.to_string(),
                    p.beta.to_string(),
                    format!("{:.4}", p.weight),
                ];
                cells.into_iter().chain([p.jobs.to_string(), bar]).collect()
            });
            let heads = ["#beta0", "#beta", "#weight", "#open jobs", ""];
            format!(
                "update every {} s\n{}",
                s.update_s,
                show::table(&heads, rows.collect())
            )
        }),
        Verb::Drain(o) => {
            let target = drain_target(o.kind, &o.name)?;
            let afterwards = if o.keep {
                Afterwards::Keep
            } else {
                Afterwards::Return
            };
            let (within_s, note) = (o.within_s, o.note);
            change(
                client,
                Change {
                    target,
                    set: true,
                    within_s,
                    afterwards,
                    note,
                },
                output,
            )
        }
        Verb::Undrain { kind, name } => change(client, lift(drain_target(kind, &name)?), output),
        Verb::Freeze { kind, name, note } => {
            let target = freeze_target(kind, &name)?;
            change(
                client,
                Change {
                    set: true,
                    note,
                    ..lift(target)
                },
                output,
            )
        }
        Verb::Thaw { kind, name } => change(client, lift(freeze_target(kind, &name)?), output),
        Verb::Quotas => show::either(output, &client.configuration()?, show::quotas),
        Verb::SetQuotas(options) => {
            let made = client.configure(&quota_change(options)?)?;
            show::either(output, &made, |made| {
                let warning = made
                    .warning
                    .as_ref()
                    .map(|w| format!("; {w}"))
                    .unwrap_or_default();
                format!("version {} is made{warning}", made.version)
            })
        }
        Verb::Directives => show::either(output, &client.directives()?, |d| {
            let now = beamhinge_client::wall_ms();
            let rows = d.directives.iter().map(|d| {
                let verb = if d.target.is_drain() {
                    "drain"
                } else {
                    "freeze"
                };
                let since = now.saturating_sub(d.since_ms) as f64 / 1e3;
                let within = d.within_s.map_or("-".into(), |w| format!("{w:.0}s"));
                let after = match d.afterwards {
                    Afterwards::Keep => "keep",
                    Afterwards::Return if d.target.is_drain() => "return",
                    Afterwards::Return => "-",
                };
                vec![
                    verb.to_string(),
                    d.target.to_string(),
                    show::age(Some(since)),
                    within,
                    after.into(),
                    d.by.clone(),
                    d.note.clone(),
                ]
            });
            let heads = ["what", "target", "#for", "#within", "then", "by", "note"];
            show::table(&heads, rows.collect())
        }),
        Verb::Events { follow } => events(client, follow, output),
        Verb::Top { every_s } => top(client, every_s, output),
        Verb::Metrics => {
            io::stdout().write_all(client.metrics()?.as_bytes())?;
            Ok(())
        }
        Verb::Up(_)
        | Verb::Controller(_)
        | Verb::Task { .. }
        | Verb::Completions { .. }
        | Verb::Config => Ok(()),
    }
}

fn quota_change(options: SetQuotasOptions) -> Result<ConfigurationChange, Failure> {
    let change = match (&options.file, options.restore_version) {
        (Some(path), _) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| Failure::Usage(format!("{}: {e}", path.display())))?;
            let mut change: ConfigurationChange = toml::from_str(&text)
                .map_err(|e| Failure::Usage(format!("{}: {e}", path.display())))?;
            if let Some(seen) = options.seen {
                change.seen = Version(seen);
            }
            change
        }
        (None, version) => ConfigurationChange {
            seen: Version(options.seen.unwrap_or(0)),
            teams: Default::default(),
            restore_version: version.map(Version),
            why: options.why,
        },
    };
    change
        .check_form()
        .map_err(|refusal| Failure::Usage(refusal.to_string()))?;
    Ok(change)
}

fn drain_target(kind: DrainKind, name: &str) -> Result<Target, Failure> {
    let kind = match kind {
        DrainKind::Machine => "machine",
        DrainKind::Shape => "shape",
        DrainKind::Zone => "zone",
        DrainKind::Node => "node",
    };
    parse_target(kind, name)
}

fn freeze_target(kind: FreezeKind, name: &str) -> Result<Target, Failure> {
    let kind = match kind {
        FreezeKind::Team => "team",
        FreezeKind::Class => "class",
    };
    parse_target(kind, name)
}

fn parse_target(kind: &str, name: &str) -> Result<Target, Failure> {
    Target::parse(kind, name).ok_or_else(|| {
        Failure::Usage(format!(
            "'{name}' is no name of a {kind}: letters, digits, - _ . : only"
        ))
    })
}

fn lift(target: Target) -> Change {
    let afterwards = Afterwards::Return;
    Change {
        target,
        set: false,
        within_s: None,
        afterwards,
        note: String::new(),
    }
}

fn change(client: &mut Client, change: Change, output: Output) -> Result<(), Failure> {
    let made = client.change(&change)?;
    show::either(output, &made, |m| {
        let verb = match (m.target.is_drain(), m.set) {
            (true, true) => "drained",
            (true, false) => "back in service",
            (false, true) => "frozen",
            (false, false) => "thawed",
        };
        let already = if m.changed { "" } else { " already" };
        format!("{} is{already} {verb}", m.target)
    })
}

/// All pages up to a number of rows.
fn jobs(client: &mut Client, o: &JobsOptions, output: Output) -> Result<(), Failure> {
    let number = |n: Option<f64>| n.map_or(String::new(), |n| n.to_string());
    let mut all = JobPage {
        jobs: Vec::new(),
        next: None,
    };
    let mut after = o.after.clone();
    loop {
        let left = o.limit.saturating_sub(all.jobs.len()).max(1);
        let query = [
            ("state", o.state.clone()),
            ("team", o.team.clone()),
            ("class", o.class.clone()),
            ("urgency", o.urgency.clone()),
            ("older_s", number(o.older_s)),
            ("younger_s", number(o.younger_s)),
            ("after", after),
            ("limit", left.min(200).to_string()),
        ];
        let page = client.jobs(&query)?;
        all.jobs.extend(page.jobs);
        all.next = page.next;
        match &all.next {
            Some(next) if all.jobs.len() < o.limit => after = next.clone(),
            _ => break,
        }
    }
    show::either(output, &all, |p| {
        let more = p.next.as_ref().map_or(String::new(), |n| {
            format!("\nthere may be more: go on with --after {n}")
        });
        show::jobs(&p.jobs) + &more
    })
}

fn machines(
    client: &mut Client,
    machine_type: String,
    zone: String,
) -> Result<MachinePage, Failure> {
    let mut all = MachinePage {
        machines: Vec::new(),
        next: None,
    };
    let mut after = String::new();
    loop {
        let query = [
            ("shape", machine_type.clone()),
            ("zone", zone.clone()),
            ("after", after),
            ("limit", "200".into()),
        ];
        let page = client.machines(&query)?;
        all.machines.extend(page.machines);
        match page.next {
            Some(next) => after = next,
            None => return Ok(all),
        }
    }
}

fn cancel(client: &mut Client, jobs: &[String], output: Output) -> Result<(), Failure> {
    let mut told = Vec::new();
    let mut first = None;
    for job in jobs {
        match client.cancel(job) {
            Ok(t) => told.push(t),
            Err(e) => {
                eprintln!("beamhinge: {job}: {e}");
                first = first.or(Some(e));
            }
        }
    }
    show::either(output, &told, |told| {
        let lines: Vec<String> = told
            .iter()
            .map(|t| match t.state {
                State::Done => format!("{} was done already", t.job),
                state => format!("{} is {state}", t.job),
            })
            .collect();
        lines.join("\n")
    })?;
    first.map_or(Ok(()), |e| Err(e.into()))
}

/// A word as a shell would take it as one.
fn quoted(word: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_./=:,+@%".contains(c);
    if !word.is_empty() && word.chars().all(plain) {
        word.to_string()
    } else {
        format!("'{}'", word.replace('\'', "'\\''"))
    }
}

pub fn request(o: &SubmitOptions) -> Result<JobRequest, Failure> {
    let mut table = match &o.file {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| Failure::Usage(format!("{}: {e}", path.display())))?;
            text.parse::<toml::Table>()
                .map_err(|e| Failure::Usage(format!("{}: {e}", path.display())))?
        }
        None => toml::Table::new(),
    };
    let mut set = |name: &str, value: Option<toml::Value>| {
        if let Some(v) = value {
            table.insert(name.into(), v);
        }
    };
    let text = |v: &Option<String>| v.clone().map(toml::Value::from);
    let number = |v: Option<f64>| v.map(toml::Value::from);
    set("job", text(&o.id));
    set("team", text(&o.team));
    set("class", text(&o.class));
    set("urgency", text(&o.urgency));
    set("tasks", o.tasks.map(|t| toml::Value::from(i64::from(t))));
    set("cpus", number(o.cpus));
    set("gpus", number(o.gpus));
    set("memory_gb", number(o.memory_gb));
    set("image", text(&o.image));
    set("image_gb", number(o.image_gb));
    set("zone", text(&o.zone));
    set("expect_s", number(o.expect_s));
    set("checkpoint_s", number(o.checkpoint_s));
    set("save_s", number(o.save_s));
    set("due_s", number(o.due_s));
    set("kind", o.standing.then(|| "standing".into()));
    set("one_zone", o.one_zone.then_some(true.into()));
    set("spread", o.spread.then_some(true.into()));
    set("spot", o.no_spot.then_some(false.into()));
    set(
        "shapes",
        (!o.shapes.is_empty()).then(|| o.shapes.clone().into()),
    );
    if !o.command.is_empty() {
        // One word is a line for the shell; several are one command.
        let line = match o.command.as_slice() {
            [line] => line.clone(),
            words => words
                .iter()
                .map(|w| quoted(w))
                .collect::<Vec<_>>()
                .join(" "),
        };
        set("command", Some(line.into()));
    }
    if !table.contains_key("team") {
        return Err(Failure::Usage(
            "name the team that it counts for: --team NAME".into(),
        ));
    }
    if !table.contains_key("job") {
        table.insert("job".into(), draw_job_id().into());
    }
    let source = o
        .file
        .as_ref()
        .map_or("the flags".into(), |f| f.display().to_string());
    toml::Value::Table(table)
        .try_into()
        .map_err(|e: toml::de::Error| Failure::Usage(format!("{source}: {}", e.message())))
}

fn submit(client: &mut Client, o: &SubmitOptions, output: Output) -> Result<(), Failure> {
    let job = request(o)?;
    if o.wait && job.kind == JobKind::Service {
        return Err(Failure::Usage(
            "a service runs until it is cancelled: leave --wait out".into(),
        ));
    }
    let told = client.submit(&job).inspect_err(|e| {
        if e.may_have_happened() {
            // The id is what makes a second try safe: it must not be lost.
            eprintln!("beamhinge: the same again is safe: --id {}", job.job);
        }
    })?;
    if !o.wait {
        return show::either(output, &told, |t| format!("{} is {}", t.job, t.state));
    }
    if output == Output::Table {
        println!("{} is {}", told.job, told.state);
    }
    let detail = wait(client, &job.job)?;
    show::either(output, &detail, show::job)?;
    if detail.row.state == State::Cancelled {
        return Err(Failure::Cancelled(job.job));
    }
    Ok(())
}

fn wait(
    client: &mut Client,
    job: &str,
) -> Result<beamhinge_admin_api::messages::JobDetail, Failure> {
    let live = io::stderr().is_terminal();
    let mut said = String::new();
    loop {
        // A wait outlives restarts: only a clear answer ends it.
        let detail = match client.job(job) {
            Ok(d) => d,
            Err(ClientError::TimedOut { .. } | ClientError::Unreachable { .. }) => continue,
            Err(e) => return Err(e.into()),
        };
        let r = &detail.row;
        let width = 30;
        let filled = width * r.done as usize / r.tasks.max(1) as usize;
        let line = format!(
            "[{}{}] {}/{} done, {} running",
            "#".repeat(filled),
            ".".repeat(width - filled.min(width)),
            r.done,
            r.tasks,
            r.running
        );
        if line != said {
            if live {
                eprint!("\r{line}  ");
            } else {
                eprintln!("{line}");
            }
            said = line;
        }
        if r.state.is_final() {
            if live {
                eprintln!();
            }
            return Ok(detail);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

#[derive(Serialize)]
struct EventLine<'a> {
    token: u64,
    #[serde(flatten)]
    decision: &'a beamhinge_admin_api::messages::Decision,
}

fn clock(ms: u64) -> String {
    let s = ms / 1000 % 86_400;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        s / 3600,
        s / 60 % 60,
        s % 60,
        ms % 1000
    )
}

fn events(client: &mut Client, follow: bool, output: Output) -> Result<(), Failure> {
    let (mut token, mut after) = (0, 0);
    loop {
        let got = client.decisions(token, after)?;
        if got.token != token {
            (token, after) = (got.token, 0);
        }
        let mut out = io::stdout().lock();
        if got.missed > 0 && follow {
            eprintln!(
                "beamhinge: {} decisions were forgotten before they were read",
                got.missed
            );
        }
        for decision in &got.decisions {
            after = after.max(decision.serial);
            match output {
                Output::Json => {
                    let line = serde_json::to_string(&EventLine { token, decision })
                        .map_err(io::Error::other)?;
                    writeln!(out, "{line}")?;
                }
                Output::Table => writeln!(out, "{} UTC  {}", clock(decision.at_ms), decision.what)?,
            }
        }
        out.flush()?;
        drop(out);
        if got.decisions.is_empty() {
            if !follow {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(700));
        }
    }
}

fn top(client: &mut Client, every_s: f64, output: Output) -> Result<(), Failure> {
    if output == Output::Json || !io::stdout().is_terminal() {
        return show::either(output, &client.summary()?, |s| show::summary(s, &[], &[]));
    }
    let (mut running, mut waiting) = (Vec::new(), Vec::new());
    let push = |list: &mut Vec<f64>, v: u32| {
        list.push(f64::from(v));
        if list.len() > PLOT {
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
                    "beamhinge top, asked of {from}\n\n{}",
                    show::summary(&s, &running, &waiting)
                )
            }
            Err(e @ (ClientError::TimedOut { .. } | ClientError::Unreachable { .. })) => {
                format!("beamhinge top\n\n{e}")
            }
            Err(e) => return Err(e.into()),
        };
        let mut out = io::stdout().lock();
        // Home, each line to its end cleared, then all below.
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::arguments::Arguments;
    use clap::Parser;

    fn parsed(words: &[&str]) -> Result<JobRequest, Failure> {
        let all = ["beamhinge", "submit"].iter().chain(words).copied();
        match Arguments::parse_from(all).verb {
            Verb::Submit(o) => request(&o),
            _ => panic!("it is a submission"),
        }
    }

    #[test]
    fn flags_make_a_job_and_keep_words_apart() {
        let job = parsed(&[
            "--team",
            "home",
            "--tasks",
            "3",
            "--no-spot",
            "--",
            "echo",
            "a b",
        ]);
        let job = job.expect("sound");
        assert_eq!((job.tasks, job.spot), (3, false));
        assert_eq!(job.command.as_deref(), Some("echo 'a b'"));
        assert!(job.job.starts_with("job-") && job.job.len() == 19);
        assert_eq!(quoted("it's"), "'it'\\''s'");
    }

    #[test]
    fn mistakes_are_named() {
        let error = parsed(&["--tasks", "3"]).expect_err("no team").to_string();
        assert!(error.contains("--team"), "{error}");
        let words = ["--team", "home", "--urgency", "soon"];
        let error = parsed(&words).expect_err("no such urgency").to_string();
        assert!(
            error.contains("soon") && error.contains("best_effort"),
            "{error}"
        );
    }
}
