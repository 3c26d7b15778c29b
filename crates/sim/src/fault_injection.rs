//! The faults in force in a simulated cluster, and their random draws: cut and slow links,
//! frozen controllers, lost, late and duplicated messages.
//!
//! A random number is drawn only while its fault is in force, so that new kinds of faults do
//! not change scenarios that do not use them.

use beamhinge_emulator::{Micros, SECOND};
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::BTreeMap;

/// Most reports of one machine that are kept for the next leader.
const MAX_KEPT_REPORTS: usize = 3;
/// Shortest time after which TCP retransmits a lost packet.
const MIN_RETRANSMIT: Micros = SECOND / 5;
/// Shortest delay of a copy.
const MIN_COPY_DELAY: Micros = SECOND / 2;
/// Smallest upper bound of the delay of a copy.
const MIN_COPY_SPAN: Micros = SECOND;

/// A value that is in force until a certain time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Temporary<T> {
    /// The value.
    pub value: T,
    /// When it ceases to be in force.
    pub until: Micros,
}

impl<T: Copy> Temporary<T> {
    /// The value while it is in force, `None` afterwards.
    pub fn get(&self, now: Micros) -> Option<T> {
        (now < self.until).then_some(self.value)
    }
}

impl Temporary<f64> {
    /// Draws an event of this probability while it is in force; `false` afterwards.
    pub fn draw(&self, now: Micros, rng: &mut StdRng) -> bool {
        self.get(now)
            .is_some_and(|probability| rng.gen_bool(probability))
    }
}

/// A link, or a part of the requests on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkKind {
    /// To the key-value store.
    State,
    /// To the cloud.
    Cloud,
    /// To other controllers.
    Peers,
    /// To workers.
    Workers,
    /// The key-value store refuses everything on the link.
    Refused,
    /// The key-value store refuses to read jobs.
    Jobs,
    /// The key-value store refuses to read the configuration.
    Configuration,
}

/// A link that is cut.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// When the cut ends.
    pub until: Micros,
    /// Whether messages sent during the cut are delivered after it; otherwise they are lost.
    pub holds: bool,
}

/// Late copies of messages that change state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Duplication {
    /// Fraction of the messages that are copied.
    pub probability: Temporary<f64>,
    /// Longest delay of a copy.
    pub max_delay: Micros,
}

impl Duplication {
    /// When a copy of a message that is sent now arrives; `None` if none is made.
    pub fn draw(&self, now: Micros, rng: &mut StdRng) -> Option<Micros> {
        let made = self.probability.draw(now, rng);
        made.then(|| now + rng.gen_range(MIN_COPY_DELAY..self.max_delay.max(MIN_COPY_SPAN)))
    }
}

/// Frames between controllers that are lost and retransmitted, which delays the frames behind
/// them.
#[derive(Default)]
pub struct FrameLoss {
    /// Fraction of the frames that are lost.
    pub probability: Temporary<f64>,
    /// Longest time until a lost frame is retransmitted.
    pub max_delay: Micros,
    /// Until when each link (sender and receiver) is blocked by a retransmission.
    blocked_until: BTreeMap<(usize, usize), Micros>,
}

impl FrameLoss {
    /// Smallest value allowed for [`FrameLoss::max_delay`], seconds.
    pub const MIN_MAX_DELAY_S: f64 = 0.3;

    /// When a frame arrives that would arrive at `at` without loss. A link keeps the order of
    /// its frames, so a frame waits for the retransmission of a lost one before it.
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
        let blocked_until = self.blocked_until.entry(link).or_default();
        *blocked_until = (*blocked_until).max(again.unwrap_or(0));
        at.max(*blocked_until)
    }
}

/// Copies of reports that are delivered to all controllers when the next leader begins.
#[derive(Default)]
pub struct KeptReports {
    /// Fraction of the reports of which a copy is kept.
    pub probability: Temporary<f64>,
    by_machine: BTreeMap<u64, Vec<Vec<u8>>>,
}

impl KeptReports {
    /// Draws whether a copy of a report that is sent is kept.
    pub fn offer(&mut self, now: Micros, machine: u64, body: &[u8], rng: &mut StdRng) {
        if !self.probability.draw(now, rng) {
            return;
        }
        let kept = self.by_machine.entry(machine).or_default();
        if kept.len() < MAX_KEPT_REPORTS {
            kept.push(body.to_vec());
        }
    }

    /// Removes and returns the kept reports, by machine.
    pub fn take(&mut self) -> BTreeMap<u64, Vec<Vec<u8>>> {
        std::mem::take(&mut self.by_machine)
    }
}

/// All injected faults except those of the services and machines themselves.
#[derive(Default)]
pub struct FaultInjection {
    /// Cut links of controllers. Entries remain after the cut has ended.
    pub link_cuts: BTreeMap<(usize, LinkKind), Cut>,
    /// Zones without any link to the outside. Entries remain after the cut has ended.
    pub zone_cuts: BTreeMap<String, Cut>,
    /// Until when each controller is frozen while its clock continues.
    pub frozen_until: Vec<Micros>,
    /// Copies of messages between controllers, workers and services.
    pub duplication: Duplication,
    /// Delay factor of the key-value store.
    pub state_slowdown: Temporary<f64>,
    /// Fraction of the commits that are executed but whose answer is lost.
    pub lost_commit_answers: f64,
    /// Fraction of the commits that are executed late, without an answer.
    pub late_commits: f64,
    /// Fraction of the cloud's answers to changes that are lost.
    pub lost_cloud_answers: f64,
    /// Additional latency of each message of a controller.
    pub link_delay: Temporary<Micros>,
    /// Lost frames between controllers.
    pub frame_loss: FrameLoss,
    /// Reports kept for the next leader.
    pub kept_reports: KeptReports,
    /// Fraction of the jobs that are cancelled as their last task ends.
    pub cancel_at_end: Temporary<f64>,
    /// Until when users query all controllers right after they learn of a change of their job.
    pub probes_until: Micros,
}

impl FaultInjection {
    /// No faults, for this number of controllers.
    #[must_use]
    pub fn new(controllers: usize) -> FaultInjection {
        FaultInjection {
            frozen_until: vec![0; controllers],
            ..FaultInjection::default()
        }
    }

    /// Whether this link of a controller is cut.
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

    /// Ends all faults.
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
