//! Subcommands (verbs) that call a cluster: the request of each and the output of its response.

mod directives;
mod listing;
mod submission;
mod watch;

use crate::arguments::{Output, Verb};
use crate::{show, Failure};
use beamhinge_client::Client;
use std::io::{self, Write};

/// Runs one subcommand. Those that call no cluster are handled by the caller.
pub(crate) fn run(client: &mut Client, verb: Verb, output: Output) -> Result<(), Failure> {
    match verb {
        Verb::Submit(options) => submission::submit(client, &options, output),
        Verb::Cancel { jobs } => submission::cancel(client, &jobs, output),
        Verb::Jobs(options) => listing::jobs(client, &options, output),
        Verb::Job { job } => show::print_value(output, &client.job(&job)?, show::job),
        Verb::Explain { job } => {
            show::print_value(output, &client.explain(&job)?, listing::explanation)
        }
        Verb::Machines {
            shape: machine_type,
            zone,
        } => listing::machines(client, machine_type, zone, output),
        Verb::Teams => show::print_value(output, &client.teams()?, |t| show::teams(t)),
        Verb::Nodes => show::print_value(output, &client.nodes()?, |n| show::nodes(n)),
        Verb::Splits => show::print_value(output, &client.splits()?, listing::splits),
        Verb::Drain(options) => directives::drain(client, options, output),
        Verb::Undrain { kind, name } => directives::undrain(client, kind, &name, output),
        Verb::Freeze { kind, name, note } => directives::freeze(client, kind, &name, note, output),
        Verb::Thaw { kind, name } => directives::thaw(client, kind, &name, output),
        Verb::Directives => directives::list(client, output),
        Verb::Quotas => show::print_value(output, &client.configuration()?, show::quotas),
        Verb::SetQuotas(options) => directives::set_quotas(client, options, output),
        Verb::Events { follow } => watch::events(client, follow, output),
        Verb::Top { every_s } => watch::top(client, every_s, output),
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

#[cfg(test)]
mod tests;
