//! Describes a deployment on loopback and generates the platform's settings file of each of its
//! controllers.

use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddrV4;

/// The zone and addresses of one controller.
#[derive(Clone, Debug)]
pub struct ControllerAddresses {
    /// Its label, a single letter.
    pub label: String,
    /// Its zone.
    pub zone: String,
    /// Address on which it serves users and workers.
    pub users: SocketAddrV4,
    /// Address on which it serves its peers.
    pub peers: SocketAddrV4,
    /// Address on which it serves operators.
    pub operators: SocketAddrV4,
}

/// A team and its quota.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Limit of CPUs; 0 means no limit.
    pub cpus_max: f64,
}

/// The published limits of the platform. The tables of scale runs contain the same fields.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformLimits {
    /// Duration of a worker's lease, seconds.
    pub lease_s: f64,
    /// Time within which a cancelled task must have stopped, seconds.
    pub cancel_s: f64,
    /// Maximum requests per second to the state service.
    pub state_rps: f64,
    /// Maximum writes per second to the state service.
    pub state_write_rps: f64,
    /// Maximum size of a value in the state service, KB.
    pub value_kb: f64,
    /// Maximum number of writes in a transaction.
    pub txn_ops: u32,
    /// Maximum requests per second to the cloud.
    pub cloud_rps: f64,
    /// Mean age of the cloud's list of instances, seconds.
    pub list_lag_s: f64,
    /// Memory limit of a controller, MB.
    pub ram_mb: f64,
}

/// Addresses that one controller connects to.
#[derive(Clone, Debug)]
pub struct Links {
    /// Address of the state service.
    pub state: SocketAddrV4,
    /// Address of the cloud.
    pub cloud: SocketAddrV4,
    /// Addresses of the peers, by index in [`Deployment::nodes`]; the controller's own entry is
    /// not used.
    pub peers: Vec<SocketAddrV4>,
}

/// All controllers and the parameters of the platform in their settings.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The controllers.
    pub nodes: Vec<ControllerAddresses>,
    /// All zones.
    pub zones: Vec<String>,
    /// All teams.
    pub teams: Vec<TeamPlan>,
    /// The platform's limits.
    pub limits: PlatformLimits,
    /// Time between a worker's reports, seconds.
    pub report_s: f64,
    /// Maximum number of open connections of a controller.
    pub max_connections: u32,
}

impl Deployment {
    /// Generates the platform's settings (TOML) of one controller.
    #[must_use]
    pub fn settings(&self, controller: usize, links: &Links) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = self.write_identity(&mut text, controller, links);
        let _ = self.write_parameters(&mut text);
        text
    }

    /// Writes the controller's identity, its own addresses and the addresses it connects to.
    fn write_identity(
        &self,
        text: &mut String,
        controller: usize,
        links: &Links,
    ) -> std::fmt::Result {
        let this = &self.nodes[controller];
        writeln!(text, "# Written by the program that starts this cluster.")?;
        writeln!(text, "label = \"{}\"\narea = \"{}\"", this.label, this.zone)?;
        writeln!(text, "public_addr = \"{}\"", this.users)?;
        writeln!(text, "peer_bind = \"{}\"", this.peers)?;
        for (index, other) in self
            .nodes
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != controller)
        {
            writeln!(text, "[[members]]\nlabel = \"{}\"", other.label)?;
            writeln!(text, "area = \"{}\"", other.zone)?;
            writeln!(text, "addr = \"{}\"", links.peers[index])?;
        }
        writeln!(text, "[external]\ncloud = \"{}\"", links.cloud)?;
        writeln!(text, "state = \"{}\"", links.state)
    }

    /// Writes the platform's parameters, which are the same for all controllers.
    fn write_parameters(&self, text: &mut String) -> std::fmt::Result {
        let zones: Vec<String> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        writeln!(text, "[params]\nzones = [{}]", zones.join(", "))?;
        writeln!(text, "skew_ms = 10.0")?;
        for team in &self.teams {
            writeln!(text, "[[params.teams]]\nname = \"{}\"", team.name)?;
            writeln!(text, "cpus = {:.1}", team.cpus)?;
            writeln!(text, "cpus_max = {:.1}", team.cpus_max)?;
        }
        let limits = &self.limits;
        writeln!(text, "[params.workers]\nreport_s = {:?}", self.report_s)?;
        writeln!(text, "lease_s = {:?}", limits.lease_s)?;
        writeln!(text, "cancel_s = {:?}", limits.cancel_s)?;
        writeln!(text, "[params.state]\nrps = {:?}", limits.state_rps)?;
        writeln!(text, "write_rps = {:?}", limits.state_write_rps)?;
        writeln!(text, "value_kb = {:?}", limits.value_kb)?;
        writeln!(text, "txn_ops = {}", limits.txn_ops)?;
        writeln!(text, "[params.cloud]\nrps = {:?}", limits.cloud_rps)?;
        writeln!(text, "list_lag_s = {:?}", limits.list_lag_s)?;
        writeln!(text, "[params.machine_limits]\ncpu_share = 1.0")?;
        writeln!(text, "ram_mb = {:?}", limits.ram_mb)?;
        writeln!(text, "max_connections = {}", self.max_connections)
    }
}
