//! Faults of old, to be put back by tests: a check that cannot find them is none.
//!
//! Compiled only with the feature `faults`, which the simulator sets; no setting
//! and no option of the daemon reaches it.

/// Which faults are there again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// A transaction takes more conditions than may be, and when it is refused
    /// the same is built again.
    pub unbounded: bool,
    /// A machine that is silent is dead as long as most are heard.
    pub hasty: bool,
    /// Room is made all over the fleet, in CPUs, and kept for nobody.
    pub scattered: bool,
}
