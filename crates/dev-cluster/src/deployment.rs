//! What a deployment on loopback is made of, and the platform's settings file of each of
//! its controllers.

use std::fmt::Write;
use std::net::SocketAddrV4;

/// One controller: where it is and where it listens.
#[derive(Clone, Debug)]
pub struct NodePlace {
    pub label: String,
    pub zone: String,
    pub users: SocketAddrV4,
    pub peers: SocketAddrV4,
    pub operators: SocketAddrV4,
}

/// A team and what it may use, CPUs; 0: none.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// The published limits of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformLimits {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub ram_mb: f64,
    pub connections: u32,
}

/// Addresses at which one controller finds the others and what it needs.
#[derive(Clone, Debug)]
pub struct Links {
    pub state: SocketAddrV4,
    pub cloud: SocketAddrV4,
    /// By the other controller's place in the deployment's list; its own is not used.
    pub peers: Vec<SocketAddrV4>,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub nodes: Vec<NodePlace>,
    pub zones: Vec<String>,
    pub teams: Vec<TeamPlan>,
    pub limits: PlatformLimits,
}

impl Deployment {
    /// The platform's settings (TOML) of one controller.
    pub fn settings(&self, node: usize, links: &Links) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_settings(&mut text, node, links);
        text
    }

    fn write_settings(&self, text: &mut String, node: usize, links: &Links) -> std::fmt::Result {
        let own = &self.nodes[node];
        writeln!(text, "# Written by the program that starts this cluster.")?;
        writeln!(text, "label = \"{}\"\narea = \"{}\"", own.label, own.zone)?;
        writeln!(
            text,
            "public_addr = \"{}\"\npeer_bind = \"{}\"",
            own.users, own.peers
        )?;
        for (place, other) in self.nodes.iter().enumerate().filter(|(p, _)| *p != node) {
            writeln!(text, "[[members]]\nlabel = \"{}\"", other.label)?;
            writeln!(
                text,
                "area = \"{}\"\naddr = \"{}\"",
                other.zone, links.peers[place]
            )?;
        }
        writeln!(
            text,
            "[external]\ncloud = \"{}\"\nstate = \"{}\"",
            links.cloud, links.state
        )?;
        let zones: Vec<String> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        writeln!(
            text,
            "[params]\nzones = [{}]\nskew_ms = 10.0",
            zones.join(", ")
        )?;
        for team in &self.teams {
            writeln!(text, "[[params.teams]]\nname = \"{}\"", team.name)?;
            writeln!(
                text,
                "cpus = {:.1}\ncpus_max = {:.1}",
                team.cpus, team.cpus_max
            )?;
        }
        let l = &self.limits;
        writeln!(text, "[params.workers]\nreport_s = {:?}", l.report_s)?;
        writeln!(
            text,
            "lease_s = {:?}\ncancel_s = {:?}",
            l.lease_s, l.cancel_s
        )?;
        writeln!(text, "[params.state]\nrps = {:?}", l.state_rps)?;
        writeln!(
            text,
            "write_rps = {:?}\nvalue_kb = {:?}",
            l.state_write_rps, l.value_kb
        )?;
        writeln!(text, "txn_ops = {}", l.txn_ops)?;
        writeln!(text, "[params.cloud]\nrps = {:?}", l.cloud_rps)?;
        writeln!(text, "list_lag_s = {:?}", l.list_lag_s)?;
        writeln!(
            text,
            "[params.machine_limits]\ncpu_share = 1.0\nram_mb = {:?}",
            l.ram_mb
        )?;
        writeln!(text, "max_connections = {}", l.connections)
    }
}
