//! Formats output: tables for a terminal, JSON for programs.

use crate::arguments::Output;
use crate::Failure;
use beamhinge_admin_api::messages::{
    ConfigurationView, JobDetail, JobRow, MachineRow, NodeRow, Summary, TeamRow,
};
use beamhinge_client::config::{self, Context, Overrides};
use comfy_table::{presets, CellAlignment, ContentArrangement, Table};
use serde::Serialize;
use std::io::{self, Write};

/// Prints a value as JSON, or as the text that `table` formats.
pub(crate) fn print_value<T: Serialize>(
    output: Output,
    value: &T,
    table: impl FnOnce(&T) -> String,
) -> Result<(), Failure> {
    let text = match output {
        Output::Json => {
            serde_json::to_string_pretty(value).map_err(|e| Failure::Output(io::Error::other(e)))?
        }
        Output::Table => table(value),
    };
    let mut out = io::stdout().lock();
    writeln!(out, "{}", text.trim_end())?;
    out.flush()?;
    Ok(())
}

/// Formats a plain table. Columns whose names begin with `#` hold numbers and are right-aligned.
pub(crate) fn table(headers: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut t = Table::new();
    t.load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    t.set_header(
        headers
            .iter()
            .map(|h| h.trim_start_matches('#').to_uppercase()),
    );
    for (i, header) in headers.iter().enumerate() {
        if let Some(column) = t.column_mut(i) {
            column.set_padding((0, 2));
            if header.starts_with('#') {
                column.set_cell_alignment(CellAlignment::Right);
            }
        }
    }
    let is_empty = rows.is_empty();
    t.add_rows(rows);
    let lines: Vec<String> = t.lines().map(|l| l.trim_end().to_string()).collect();
    if is_empty {
        "none".into()
    } else {
        lines.join("\n")
    }
}

/// Formats a duration in its largest suitable unit; `None` gives `-`.
pub(crate) fn age(seconds: Option<f64>) -> String {
    match seconds {
        None => "-".into(),
        Some(s) if s < 120.0 => format!("{:.0}s", s.max(0.0)),
        Some(s) if s < 7_200.0 => format!("{:.0}m", s / 60.0),
        Some(s) if s < 172_800.0 => format!("{:.0}h", s / 3_600.0),
        Some(s) => format!("{:.0}d", s / 86_400.0),
    }
}

fn or_dash(text: &Option<String>) -> String {
    text.clone().unwrap_or_else(|| "-".into())
}

fn urgency(row: &JobRow) -> String {
    row.urgency
        .map_or("-".into(), |u| format!("{u:?}").to_lowercase())
}

/// Formats the table of jobs.
pub(crate) fn jobs(rows: &[JobRow]) -> String {
    let rows = rows
        .iter()
        .map(|r| {
            vec![
                r.job.clone(),
                r.state.to_string(),
                format!("{}/{}", r.done, r.tasks),
                r.running.to_string(),
                or_dash(&r.team),
                or_dash(&r.class),
                urgency(r),
                age(r.age_s),
            ]
        })
        .collect();
    table(
        &[
            "job", "state", "#done", "#running", "team", "class", "urgency", "#age",
        ],
        rows,
    )
}

/// Formats one job with its tasks and the reasons why tasks wait.
pub(crate) fn job(d: &JobDetail) -> String {
    let r = &d.row;
    let mut text = format!(
        "{} is {}: {} of {} tasks done, {} running; team {}, class {}, urgency {}, age {}\n",
        r.job,
        r.state,
        r.done,
        r.tasks,
        r.running,
        or_dash(&r.team),
        or_dash(&r.class),
        urgency(r),
        age(r.age_s)
    );
    if let Some(s) = &d.spec {
        text.push_str(&format!(
            "each task: {} CPUs, {} GPUs, {} GB, about {} s, image {} ({} GB){}\n",
            s.cpus,
            s.gpus,
            s.memory_gb,
            s.expect_s,
            s.image,
            s.image_gb,
            s.command
                .as_ref()
                .map_or(String::new(), |c| format!(", runs: {c}"))
        ));
    }
    let Some(p) = &d.placed else { return text };
    if !p.tasks.is_empty() {
        let rows = p
            .tasks
            .iter()
            .map(|t| {
                let state = if t.stopping {
                    format!("{}, stopping", t.state)
                } else {
                    t.state.clone()
                };
                vec![t.task.clone(), t.machine.clone(), state, age(t.running_s)]
            })
            .collect();
        text.push_str(&table(&["task", "machine", "state", "#for"], rows));
        text.push('\n');
    }
    if p.waiting > 0 {
        text.push_str(&format!("{} tasks wait:\n", p.waiting));
    }
    for reason in &p.reasons {
        text.push_str(&format!("  {reason}\n"));
    }
    text
}

/// Formats the table of machines.
pub(crate) fn machines(rows: &[MachineRow]) -> String {
    let rows = rows
        .iter()
        .map(|m| {
            let kind = if m.owned {
                "owned"
            } else if m.spot {
                "spot"
            } else {
                "ordinary"
            };
            vec![
                m.machine.clone(),
                m.machine_type.clone(),
                m.zone.clone(),
                kind.into(),
                m.state.clone(),
                m.tasks.to_string(),
                format!("{:.1}/{:.1}", m.free_cpus, m.cpus),
                format!("{:.1}", m.free_memory_gb),
                age(m.heard_s),
                age(m.age_s),
            ]
        })
        .collect();
    let headers = [
        "machine",
        "shape",
        "zone",
        "kind",
        "state",
        "#tasks",
        "#free cpus",
        "#free gb",
        "#heard",
        "#age",
    ];
    table(&headers, rows)
}

/// Formats the table of teams with usage and quotas.
pub(crate) fn teams(rows: &[TeamRow]) -> String {
    let positive_or_dash = |v: f64| {
        if v > 0.0 {
            format!("{v:.0}")
        } else {
            "-".into()
        }
    };
    let rows = rows
        .iter()
        .map(|t| {
            vec![
                t.team.clone(),
                format!("{:.1}", t.cpus_used),
                positive_or_dash(t.cpus_guaranteed),
                positive_or_dash(t.cpus_limit),
                format!("{:.1}", t.gpus_used),
                t.jobs_open.to_string(),
                t.tasks_waiting.to_string(),
                if t.frozen {
                    "frozen".into()
                } else {
                    String::new()
                },
            ]
        })
        .collect();
    let headers = [
        "team",
        "#cpus",
        "#guarantee",
        "#limit",
        "#gpus",
        "#open jobs",
        "#waiting tasks",
        "",
    ];
    table(&headers, rows)
}

/// Formats the teams with their quotas, and whether these are in force on all controllers.
pub(crate) fn quotas(view: &ConfigurationView) -> String {
    let positive_or_dash = |v: f64| {
        if v > 0.0 {
            format!("{v:.1}")
        } else {
            "-".into()
        }
    };
    let rows = view.teams.iter().map(|t| {
        let removed = if t.removed {
            "removed".into()
        } else {
            String::new()
        };
        let q = &t.quota;
        let amounts = [q.cpus, q.cpus_max, q.gpus, q.gpus_max].map(positive_or_dash);
        std::iter::once(t.team.clone())
            .chain(amounts)
            .chain([removed])
            .collect()
    });
    let headers = ["team", "#cpus", "#limit", "#gpus", "#limit", ""];
    let mut text = table(&headers, rows.collect());
    let author = view
        .author
        .as_ref()
        .map(|a| format!(", by {}: {}", a.by, a.why));
    text.push_str(&format!(
        "\nversion {}{}",
        view.version,
        author.unwrap_or_default()
    ));
    match (view.on, view.in_force_everywhere_since_ms) {
        (false, _) => text.push_str("; configuration changes are disabled"),
        (true, Some(since)) => {
            let s = beamhinge_client::wall_ms().saturating_sub(since) as f64 / 1e3;
            text.push_str(&format!(
                "; in force everywhere for {}",
                age(Some(s)).trim()
            ));
        }
        (true, None) => text.push_str("; not in force everywhere"),
    }
    for behind in &view.behind {
        let version = behind
            .version
            .map_or("an unknown version".to_string(), |v| format!("version {v}"));
        text.push_str(&format!("\n  {} uses {version}", behind.label));
    }
    text
}

/// Formats the table of controllers.
pub(crate) fn nodes(rows: &[NodeRow]) -> String {
    let rows = rows
        .iter()
        .map(|n| {
            let stuck = n.stuck_ago_s.map(|s| format!("stuck {s:.0} s ago"));
            let mut state = Vec::new();
            if n.answering {
                state.push("answers");
            }
            if n.ready {
                state.push("ready");
            }
            if n.drained {
                state.push("drained");
            }
            state.extend(stuck.as_deref());
            if n.heard_s.is_none() {
                state.push("never heard");
            }
            vec![
                n.label.clone(),
                if n.leader {
                    "leads".into()
                } else {
                    String::new()
                },
                n.token.map_or("-".into(), |t| t.to_string()),
                age(n.store_age_s),
                age(n.heard_s),
                state.join(", "),
            ]
        })
        .collect();
    table(
        &["node", "lead", "#token", "#ledger age", "#heard", "state"],
        rows,
    )
}

/// Formats a one-line plot, scaled to the highest value.
pub(crate) fn sparkline(values: &[f64]) -> String {
    const BLOCKS: [char; 8] = ['▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let top = values.iter().copied().fold(0.0, f64::max);
    values
        .iter()
        .map(|v| {
            let fraction = if top > 0.0 { v / top } else { 0.0 };
            BLOCKS[((fraction * 7.0).round() as usize).min(7)]
        })
        .collect()
}

/// Formats the overview. `running` and `waiting` are earlier task counts for the plots, oldest
/// first.
pub(crate) fn summary(s: &Summary, running: &[f64], waiting: &[f64]) -> String {
    let mut text = format!(
        "leader {} (token {})   jobs: {} open, {} running   machines: {} up, {} starting, {} silent   directives: {}\n",
        s.leader,
        s.token,
        s.jobs_open,
        s.jobs_running,
        s.machines_up,
        s.machines_starting,
        s.machines_silent,
        s.directives
    );
    let used = if s.cpus > 0.0 {
        s.cpus_used / s.cpus
    } else {
        0.0
    };
    let filled = (used * 40.0).round() as usize;
    text.push_str(&format!(
        "CPUs    [{}{}] {:.1} of {:.1}\n",
        "#".repeat(filled.min(40)),
        ".".repeat(40usize.saturating_sub(filled)),
        s.cpus_used,
        s.cpus
    ));
    text.push_str(&format!(
        "running {:>7} tasks  {}\n",
        s.tasks_running,
        sparkline(running)
    ));
    text.push_str(&format!(
        "waiting {:>7} tasks  {}  oldest {}\n\n",
        s.tasks_waiting,
        sparkline(waiting),
        age(Some(s.oldest_wait_s))
    ));
    text.push_str(&teams(&s.teams));
    text
}

/// The client configuration as printed.
#[derive(Serialize)]
struct ClientConfigView<'a> {
    file: Option<String>,
    context: &'a str,
    controllers: Vec<String>,
    key: Option<String>,
    key_name: Option<&'a str>,
}

/// Prints which controllers and key are used, and from which file.
pub(crate) fn config(
    overrides: &Overrides,
    context: &Context,
    output: Output,
) -> Result<(), Failure> {
    let file = overrides.file.clone().or_else(config::default_file);
    let shown = ClientConfigView {
        file: file.filter(|f| f.exists()).map(|f| f.display().to_string()),
        context: &context.name,
        controllers: context
            .controllers
            .iter()
            .map(ToString::to_string)
            .collect(),
        key: context.key.as_ref().map(|k| k.display().to_string()),
        key_name: context.key_name.as_deref(),
    };
    print_value(output, &shown, |c| {
        format!(
            "file         {}\ncontext      {}\ncontrollers  {}\nkey          {}",
            c.file
                .as_deref()
                .unwrap_or("none; using the addresses of `beamhinge up`"),
            c.context,
            c.controllers.join(", "),
            c.key.as_deref().unwrap_or("none; fine on loopback")
        )
    })
}

#[cfg(test)]
mod tests;
