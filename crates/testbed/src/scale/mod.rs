//! The scale experiment: controller processes under load, on loopback and in real time.
//!
//! Thousands of workers simulate their tasks with timers, and a few run them as processes. The
//! workers, the emulated key-value store, the emulated cloud and the users each run in separate
//! processes.

mod checker;
mod children;
mod config_changes;
mod faults;
mod figures;
mod fit;
mod flows;
mod histograms;
mod layout;
mod measure;
mod messages;
mod plots;
mod relay;
pub(crate) mod role;
mod run;
mod size;
mod sweep;
mod usage;
mod workload;

use crate::context::{self, TestContext};
use crate::TestbedError;
use clap::Args;
use faults::Fault;
use figures::{BudgetLine, Figures};
use run::{RunPlan, RunResult};
use serde_json::{json, Value};
use signal_hook::consts::{SIGINT, SIGTERM};
use size::{Size, OPERATORS_TABLE};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use sweep::{Axis, Series};

/// Longest load that `--minutes` accepts.
const MAX_MINUTES: f64 = 60.0;
const REAL_WORKERS: usize = 4;

#[derive(Args)]
pub(crate) struct Options {
    /// TOML file with the size of the run, instead of the operators' table
    #[arg(long, value_name = "FILE")]
    table: Option<PathBuf>,
    /// Number of workers; this and the following options default to the values of the table
    #[arg(long)]
    workers: Option<usize>,
    #[arg(long)]
    controllers: Option<usize>,
    #[arg(long)]
    teams: Option<usize>,
    #[arg(long)]
    regions: Option<usize>,
    #[arg(long)]
    zones: Option<usize>,
    /// Task starts per second
    #[arg(long)]
    starts_per_s: Option<f64>,
    /// Tasks running at the same time
    #[arg(long)]
    running: Option<usize>,
    /// Configuration changes per day; 0 omits that line of the budget
    #[arg(long)]
    config_changes: Option<u32>,
    /// Seconds between a worker's reports
    #[arg(long)]
    report_s: Option<f64>,
    /// Duration of the load, minutes
    #[arg(long, default_value_t = 3.0)]
    minutes: f64,
    /// How many of the workers run their tasks as processes
    #[arg(long, default_value_t = REAL_WORKERS)]
    real: usize,
    /// Fault to inject and its time after the start of the load; may be repeated
    #[arg(long = "fault", value_name = "KIND@SECONDS")]
    faults: Vec<Fault>,
    /// Also inject random faults at the operators' rates times this factor
    #[arg(long, value_name = "TIMES", default_value_t = 0.0)]
    speed_up: f64,
    /// Vary this dimension over several sizes and fit a line to each figure
    #[arg(long, value_enum)]
    sweep: Option<Axis>,
    /// Write JSON and plots (SVG) to this folder
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

/// Reduces a size to a run of some seconds with 100 workers, for a first try and for CI.
fn reduce_to_quick_run(size: &mut Size) {
    size.workers = 100;
    size.controllers = 3;
    size.teams = 12;
    size.zones = 3;
    size.starts_per_s = 100.0;
    size.running = 800;
    size.report_s = 0.5;
    size.platform.lease_s = 8.0;
    size.platform.cancel_s = 20.0;
}
const QUICK_MINUTES: f64 = 0.35;

impl Options {
    fn size(&self, is_quick: bool) -> Result<Size, TestbedError> {
        let to_error = |e: size::SizeError| TestbedError::Other(e.to_string());
        let mut size = match &self.table {
            Some(path) => Size::load(path).map_err(to_error)?,
            None => Size::parse("the operators' table", OPERATORS_TABLE).map_err(to_error)?,
        };
        if is_quick {
            reduce_to_quick_run(&mut size);
        }
        let set = |field: &mut usize, value: Option<usize>| *field = value.unwrap_or(*field);
        set(&mut size.workers, self.workers);
        set(&mut size.controllers, self.controllers);
        set(&mut size.teams, self.teams);
        set(&mut size.regions, self.regions);
        set(&mut size.zones, self.zones);
        set(&mut size.running, self.running);
        size.starts_per_s = self.starts_per_s.unwrap_or(size.starts_per_s);
        size.report_s = self.report_s.unwrap_or(size.report_s);
        size.config_changes = self.config_changes.unwrap_or(size.config_changes);
        size.validate().map_err(to_error)?;
        Ok(size)
    }

    fn seconds(&self, is_quick: bool) -> Result<f64, TestbedError> {
        let minutes = if is_quick {
            QUICK_MINUTES
        } else {
            self.minutes
        };
        if !(minutes > 0.0 && minutes <= MAX_MINUTES) {
            let error = format!("--minutes {minutes}: must be above 0 and at most {MAX_MINUTES}");
            return Err(TestbedError::Other(error));
        }
        Ok(minutes * 60.0)
    }

    fn plan(&self, context: &TestContext, size: Size, seconds: f64) -> RunPlan {
        let mut faults = self.faults.clone();
        faults.extend(faults::draw(
            &size,
            seconds,
            self.speed_up.max(0.0),
            context.seed,
        ));
        let real_workers = self.real;
        RunPlan {
            size,
            seconds,
            real_workers,
            faults,
            base_port: context::find_free_port_block(),
        }
    }
}

pub(crate) fn run(
    context: &TestContext,
    is_quick: bool,
    options: &Options,
) -> Result<Value, TestbedError> {
    let size = options.size(is_quick)?;
    let seconds = options.seconds(is_quick)?;
    if let Some(folder) = &options.out {
        std::fs::create_dir_all(folder)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    match options.sweep {
        Some(axis) => run_sweep(context, options, axis, &size, seconds, &stop),
        None => {
            let result =
                run::execute(context, options.plan(context, size.clone(), seconds), &stop)?;
            let lines = figures::compare_with_budget(&size, &result.figures);
            print_budget(&lines);
            if let Some(folder) = &options.out {
                write_run(folder, &result, &lines)?;
            }
            Ok(summary(context.seed, &size, &result.figures, &lines))
        }
    }
}

fn print_budget(lines: &[BudgetLine]) {
    let width = lines.iter().map(|l| l.name.len()).max().unwrap_or(0);
    for l in lines {
        let verdict = if l.holds { "holds" } else { "DOES NOT HOLD" };
        eprintln!(
            "{:width$}  {verdict:13}  {} | {}",
            l.name, l.budget, l.measured
        );
    }
}

fn summary(seed: u64, size: &Size, figures: &Figures, lines: &[BudgetLine]) -> Value {
    let failing: Vec<&str> = lines
        .iter()
        .filter(|l| !l.holds)
        .map(|l| l.name.as_str())
        .collect();
    json!({
        "ok": failing.is_empty(), "experiment": "scale", "seed": seed,
        "does_not_hold": failing, "size": size, "figures": figures,
    })
}

fn write_run(folder: &Path, result: &RunResult, lines: &[BudgetLine]) -> Result<(), TestbedError> {
    let text = json!({"budget": lines, "figures": result.figures});
    std::fs::write(folder.join("scale.json"), format!("{text:#}\n"))?;
    let plots = [
        (
            "starts.svg",
            "Task starts per second",
            "starts",
            &result.starts,
            false,
        ),
        (
            "urgent.svg",
            "Urgent jobs: time from acceptance to first start",
            "seconds",
            &result.urgent,
            true,
        ),
    ];
    for (file, title, unit, points, dots) in plots {
        let plot = plots::TimePlot {
            title,
            unit,
            points,
            dots,
            marks: &result.fault_marks,
        };
        plots::plot_over_time(&folder.join(file), &plot)?;
    }
    Ok(())
}

fn run_sweep(
    context: &TestContext,
    options: &Options,
    axis: Axis,
    full: &Size,
    seconds: f64,
    stop: &Arc<AtomicBool>,
) -> Result<Value, TestbedError> {
    let mut points = Vec::new();
    let mut has_violations = false;
    for (x, size) in axis.sizes(full) {
        eprintln!("{}: {x}", axis.name());
        let result = run::execute(context, options.plan(context, size, seconds), stop)?;
        has_violations |= !result.figures.broken.is_empty();
        points.push((x, result.figures));
    }
    let series = sweep::fit_series(&points);
    for s in &series {
        if let Some(fit) = s.fit {
            eprintln!(
                "{:28} {:+.3e} {} per unit of {}, intercept {:.3e}; residual {:.1e}",
                s.name,
                fit.slope,
                s.unit,
                axis.name(),
                fit.intercept,
                fit.residual
            );
        }
    }
    if let Some(folder) = &options.out {
        write_sweep(folder, axis, &series, &points)?;
    }
    Ok(json!({
        "ok": !has_violations, "experiment": "scale", "seed": context.seed, "sweep": axis.name(),
        "series": series,
    }))
}

fn write_sweep(
    folder: &Path,
    axis: Axis,
    series: &[Series],
    points: &[(f64, Figures)],
) -> Result<(), TestbedError> {
    let figures: Vec<Value> = points
        .iter()
        .map(|(x, f)| json!({"x": x, "figures": f}))
        .collect();
    let text = json!({"sweep": axis.name(), "series": series, "points": figures});
    std::fs::write(folder.join("sweep.json"), format!("{text:#}\n"))?;
    for s in series {
        let file = format!("{}.svg", s.name.replace(' ', "-"));
        let names = (axis.name(), s.unit);
        plots::plot_fit(&folder.join(file), &s.name, names, &s.points, s.fit)?;
    }
    Ok(())
}
