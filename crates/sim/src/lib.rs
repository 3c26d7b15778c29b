//! A whole cluster in simulated time: the controllers as they are, on stand-ins
//! that can be told to fail; scenarios as small text files; and days that are
//! drawn, judged, and made smaller when one fails.

pub mod cluster;
pub mod days;
pub mod fingerprint;
pub mod limits_in_force;
pub mod meetings;
pub mod rules;
pub mod scenario;
pub mod stopped;
pub mod troubles;
pub mod waiting;
