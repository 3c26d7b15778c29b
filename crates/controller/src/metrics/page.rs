//! Renders the page of all metrics.

use super::summary::DurationSummary;
use super::Metrics;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Appends a metric family's help text and type.
fn append_family_header(out: &mut String, name: &str, kind: &str, help: &str) {
    let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} {kind}");
}

/// Appends a family of summaries with one label.
fn append_labelled_summaries(
    out: &mut String,
    name: &str,
    help: &str,
    label: &str,
    summaries: &BTreeMap<&'static str, DurationSummary>,
) {
    append_family_header(out, name, "summary", help);
    for (value, summary) in summaries {
        summary.render(out, name, &format!("{label}=\"{value}\""));
    }
}

/// Appends a family with one summary that has no labels.
fn append_summary(out: &mut String, name: &str, help: &str, summary: &DurationSummary) {
    append_family_header(out, name, "summary", help);
    summary.render(out, name, "");
}

/// Appends a family of counters that are labelled by kind.
fn append_counters_by_kind(
    out: &mut String,
    name: &str,
    help: &str,
    counters: impl Iterator<Item = (&'static str, u64)>,
) {
    append_family_header(out, name, "counter", help);
    for (kind, count) in counters {
        let _ = writeln!(out, "{name}{{kind=\"{kind}\"}} {count}");
    }
}

impl Metrics {
    /// Renders the page. `gauges` are current values, `decisions` the number of decisions by kind.
    pub fn render(
        &self,
        gauges: &[(&'static str, f64)],
        decisions: impl Iterator<Item = (&'static str, u64)>,
    ) -> String {
        let mut out = String::new();
        self.render_requests(&mut out);
        self.render_calls(&mut out);
        self.render_leadership(&mut out);
        append_counters_by_kind(
            &mut out,
            "beamhinge_decisions_total",
            "Decisions of this process as holder, by kind.",
            decisions,
        );
        for (name, value) in gauges {
            let _ = writeln!(
                out,
                "# TYPE beamhinge_{name} gauge\nbeamhinge_{name} {value}"
            );
        }
        out
    }

    fn render_requests(&self, out: &mut String) {
        append_labelled_summaries(
            out,
            "beamhinge_answer_seconds",
            "Time from a request to its answer, by route.",
            "route",
            &self.answer_times,
        );
        let name = "beamhinge_answers_total";
        append_family_header(out, name, "counter", "Answers by route and status.");
        for ((route, status), count) in &self.answers {
            let _ = writeln!(
                out,
                "{name}{{route=\"{route}\",status=\"{status}\"}} {count}"
            );
        }
    }

    fn render_calls(&self, out: &mut String) {
        append_labelled_summaries(
            out,
            "beamhinge_call_seconds",
            "Time of calls to the outside, by kind; answered ones.",
            "kind",
            &self.call_times,
        );
        append_counters_by_kind(
            out,
            "beamhinge_calls_lost_total",
            "Calls that were never answered, by kind.",
            self.unanswered_calls
                .iter()
                .map(|(kind, count)| (*kind, *count)),
        );
    }

    fn render_leadership(&self, out: &mut String) {
        append_summary(
            out,
            "beamhinge_takeover_seconds",
            "From taking the lead to the books being read.",
            &self.failover_times,
        );
        append_summary(
            out,
            "beamhinge_oldest_wait_seconds",
            "Age of the oldest job with a waiting task, each second.",
            &self.oldest_waits,
        );
        append_summary(
            out,
            "beamhinge_placement_age_seconds",
            "Age of the job when a task of it is placed.",
            &self.placement_ages,
        );
    }
}
