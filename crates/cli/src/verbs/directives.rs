//! Subcommands with which operators change drains, freezes and quotas.

use crate::arguments::{DrainKind, DrainOptions, FreezeKind, Output, SetQuotasOptions};
use crate::{show, Failure};
use beamhinge_admin_api::directives::{Afterwards, DirectiveChange, Target};
use beamhinge_client::Client;
use beamhinge_configuration::{ConfigurationChange, Version};

pub(super) fn drain(
    client: &mut Client,
    options: DrainOptions,
    output: Output,
) -> Result<(), Failure> {
    let drain = DirectiveChange {
        target: drain_target(options.kind, &options.name)?,
        set: true,
        within_s: options.within_s,
        afterwards: if options.keep {
            Afterwards::Keep
        } else {
            Afterwards::Return
        },
        note: options.note,
    };
    change(client, &drain, output)
}

pub(super) fn undrain(
    client: &mut Client,
    kind: DrainKind,
    name: &str,
    output: Output,
) -> Result<(), Failure> {
    change(client, &lift(drain_target(kind, name)?), output)
}

pub(super) fn freeze(
    client: &mut Client,
    kind: FreezeKind,
    name: &str,
    note: String,
    output: Output,
) -> Result<(), Failure> {
    let freeze = DirectiveChange {
        set: true,
        note,
        ..lift(freeze_target(kind, name)?)
    };
    change(client, &freeze, output)
}

pub(super) fn thaw(
    client: &mut Client,
    kind: FreezeKind,
    name: &str,
    output: Output,
) -> Result<(), Failure> {
    change(client, &lift(freeze_target(kind, name)?), output)
}

pub(super) fn set_quotas(
    client: &mut Client,
    options: SetQuotasOptions,
    output: Output,
) -> Result<(), Failure> {
    let result = client.configure(&quota_change(options)?)?;
    show::print_value(output, &result, |result| {
        let warning = result
            .warning
            .as_ref()
            .map(|w| format!("; {w}"))
            .unwrap_or_default();
        format!("version {} is made{warning}", result.version)
    })
}

/// Lists the directives in force.
pub(super) fn list(client: &mut Client, output: Output) -> Result<(), Failure> {
    show::print_value(output, &client.directives()?, |directives| {
        let now_ms = beamhinge_client::wall_ms();
        let rows = directives.directives.iter().map(|d| {
            let verb = if d.target.is_drain() {
                "drain"
            } else {
                "freeze"
            };
            let since_s = now_ms.saturating_sub(d.since_ms) as f64 / 1e3;
            let within = d.within_s.map_or("-".into(), |w| format!("{w:.0}s"));
            let after = match d.afterwards {
                Afterwards::Keep => "keep",
                Afterwards::Return if d.target.is_drain() => "return",
                Afterwards::Return => "-",
            };
            vec![
                verb.to_string(),
                d.target.to_string(),
                show::age(Some(since_s)),
                within,
                after.into(),
                d.by.clone(),
                d.note.clone(),
            ]
        });
        let headers = ["what", "target", "#for", "#within", "then", "by", "note"];
        show::table(&headers, rows.collect())
    })
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
            "'{name}' is not a valid {kind} name: use only letters, digits, - _ . :"
        ))
    })
}

/// Change that withdraws a directive.
fn lift(target: Target) -> DirectiveChange {
    let afterwards = Afterwards::Return;
    DirectiveChange {
        target,
        set: false,
        within_s: None,
        afterwards,
        note: String::new(),
    }
}

fn change(client: &mut Client, change: &DirectiveChange, output: Output) -> Result<(), Failure> {
    let result = client.change(change)?;
    show::print_value(output, &result, |response| {
        let verb = match (response.target.is_drain(), response.set) {
            (true, true) => "drained",
            (true, false) => "back in service",
            (false, true) => "frozen",
            (false, false) => "thawed",
        };
        let already = if response.changed { "" } else { " already" };
        format!("{} is{already} {verb}", response.target)
    })
}
