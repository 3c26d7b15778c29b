//! The faults of a simulated cluster that are in force, and their draws: cut and slow links,
//! controllers that stand still, lost, late and duplicated messages.
//!
//! Nothing here draws a random number unless its fault is in force, so that a scenario
//! without faults is played alike whatever faults exist.

use beamhinge_emulator::{Micros, SECOND};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::BTreeMap;

/// Reports of a machine that are kept for the next leader.
const MAX_KEPT_REPORTS: usize = 3;
/// The shortest time after which TCP sends a lost packet again.
const MIN_RETRANSMIT: Micros = SECOND / 5;
/// A copy comes no sooner than this, and at the latest within [`MIN_COPY_SPAN`] at least.
const MIN_COPY_DELAY: Micros = SECOND / 2;
const MIN_COPY_SPAN: Micros = SECOND;

/// A value that holds until some time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Temporary<T> {
    /// The value.
    pub value: T,
    /// Until when.
    pub until: Micros,
}

impl<T: Copy> Temporary<T> {
    /// The value, while it holds.
    pub fn get(&self, now: Micros) -> Option<T> {
        (now < self.until).then_some(self.value)
    }
}

impl Temporary<f64> {
    /// Draws whether this probability hits, while it holds.
    pub fn draw(&self, now: Micros, rng: &mut StdRng) -> bool {
        self.get(now)
            .is_some_and(|probability| rng.gen_bool(probability))
    }
}

/// A link, or a part of what it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkKind {
    /// To the state service.
    State,
    /// To the cloud.
    Cloud,
    /// To other controllers.
    Peers,
    /// To workers.
    Workers,
    /// The state service refuses everything on the link.
    Refused,
    /// The state service refuses to read jobs.
    Jobs,
    /// The state service refuses to read the configuration.
    Configuration,
}

/// A link that is cut.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Until when.
    pub until: Micros,
    /// What is sent meanwhile is delivered afterwards; else it is lost.
    pub holds: bool,
}

/// Late copies of messages that change something.
#[derive(Clone, Copy, Debug, Default)]
pub struct Duplication {
    /// Part of the messages that are copied.
    pub probability: Temporary<f64>,
    /// The latest that a copy comes.
    pub max_delay: Micros,
}

impl Duplication {
    /// When a copy of what is sent now arrives, if one is made.
    pub fn draw(&self, now: Micros, rng: &mut StdRng) -> Option<Micros> {
        let made = self.probability.draw(now, rng);
        made.then(|| now + rng.gen_range(MIN_COPY_DELAY..self.max_delay.max(MIN_COPY_SPAN)))
    }
}

/// Frames between controllers that are lost and sent again, which holds up those behind
/// them.
#[derive(Default)]
pub struct FrameLoss {
    /// Part of the frames that are lost.
    pub probability: Temporary<f64>,
    /// The longest until a lost frame is sent again.
    pub max_delay: Micros,
    /// Until when each link, from and to, is held up.
    held: BTreeMap<(usize, usize), Micros>,
}

impl FrameLoss {
    /// A lost frame may take at least this long, seconds.
    pub const MIN_MAX_DELAY_S: f64 = 0.3;

    /// When a frame arrives that would do so at `at`: behind a lost one that is being sent
    /// again, since a link keeps the order.
    pub fn arrival(
        &mut self,
        now: Micros,
        link: (usize, usize),
        at: Micros,
        rng: &mut StdRng,
    ) -> Micros {
        let Some(probability) = self.probability.get(now) else {
            return at;
        };
        let lost = rng.gen_bool(probability);
        let again = lost.then(|| at + rng.gen_range(MIN_RETRANSMIT..=self.max_delay));
        let held = self.held.entry(link).or_default();
        *held = (*held).max(again.unwrap_or(0));
        at.max(*held)
    }
}

/// Copies of reports that reach all controllers when the next leader begins.
#[derive(Default)]
pub struct KeptReports {
    /// Part of the reports of which a copy is kept.
    pub probability: Temporary<f64>,
    by_machine: BTreeMap<u64, Vec<Vec<u8>>>,
}

impl KeptReports {
    /// A report goes out: draws whether a copy is kept.
    pub fn offer(&mut self, now: Micros, machine: u64, body: &[u8], rng: &mut StdRng) {
        if !self.probability.draw(now, rng) {
            return;
        }
        let kept = self.by_machine.entry(machine).or_default();
        if kept.len() < MAX_KEPT_REPORTS {
            kept.push(body.to_vec());
        }
    }

    /// The kept reports by machine; none are kept any more.
    pub fn take(&mut self) -> BTreeMap<u64, Vec<Vec<u8>>> {
        std::mem::take(&mut self.by_machine)
    }
}

/// All faults but those of the services and machines themselves.
#[derive(Default)]
pub struct FaultInjection {
    /// Cut links of controllers. Kept when they are over.
    pub link_cuts: BTreeMap<(usize, LinkKind), Cut>,
    /// Zones without any link to the outside. Kept when they are over.
    pub zone_cuts: BTreeMap<String, Cut>,
    /// Until when each controller stands still while its clock runs on.
    pub frozen_until: Vec<Micros>,
    /// Copies of messages between controllers, workers and services.
    pub duplication: Duplication,
    /// How many times as long the state service takes.
    pub state_slowdown: Temporary<f64>,
    /// Part of the commits that are carried out and whose answer is lost.
    pub lost_commit_answers: f64,
    /// Part of the commits that are carried out late, without an answer.
    pub late_commits: f64,
    /// Part of the cloud's answers to changes that are lost.
    pub lost_cloud_answers: f64,
    /// How much longer each message of a controller takes.
    pub link_delay: Temporary<Micros>,
    /// Lost frames between controllers.
    pub frame_loss: FrameLoss,
    /// Reports kept for the next leader.
    pub kept_reports: KeptReports,
    /// Part of the jobs that are cancelled as their last task ends.
    pub cancel_at_end: Temporary<f64>,
    /// Until when users ask all controllers right after they were told something.
    pub probes_until: Micros,
}

impl FaultInjection {
    /// No faults, for so many controllers.
    #[must_use]
    pub fn new(controllers: usize) -> FaultInjection {
        FaultInjection {
            frozen_until: vec![0; controllers],
            ..FaultInjection::default()
        }
    }

    /// Whether that link of a controller is cut.
    #[must_use]
    pub fn is_cut(&self, now: Micros, controller: usize, link: LinkKind) -> bool {
        let cut = self.link_cuts.get(&(controller, link));
        cut.is_some_and(|cut| now < cut.until)
    }

    /// Whether a zone has no link to the outside.
    #[must_use]
    pub fn zone_is_cut(&self, now: Micros, zone: &str) -> bool {
        self.zone_cuts.get(zone).is_some_and(|cut| now < cut.until)
    }

    /// All faults end.
    pub fn heal(&mut self, now: Micros) {
        for cut in self
            .link_cuts
            .values_mut()
            .chain(self.zone_cuts.values_mut())
        {
            cut.until = cut.until.min(now);
        }
        for until in &mut self.frozen_until {
            *until = (*until).min(now);
        }
        self.duplication.probability.until = self.duplication.probability.until.min(now);
        *self = FaultInjection {
            link_cuts: std::mem::take(&mut self.link_cuts),
            zone_cuts: std::mem::take(&mut self.zone_cuts),
            frozen_until: std::mem::take(&mut self.frozen_until),
            duplication: self.duplication,
            ..FaultInjection::default()
        };
    }
}
