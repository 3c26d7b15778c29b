//! Keys that a scan of a replicated prefix has returned, so that keys that no longer exist in the
//! key-value store are removed from the replica when the scan is complete.

use crate::calls::ReplicaCall;
use crate::replica::Freshness;
use beamhinge_core::types::Revision;
use std::collections::BTreeSet;

/// Keys that the scan in progress has returned so far.
pub(crate) struct ScanCoverage<K> {
    seen: BTreeSet<K>,
}

impl<K> Default for ScanCoverage<K> {
    fn default() -> ScanCoverage<K> {
        ScanCoverage {
            seen: BTreeSet::new(),
        }
    }
}

impl<K: Ord> ScanCoverage<K> {
    /// Records a key of a reply if the reply is a page of a scan.
    pub(crate) fn record(&mut self, call: ReplicaCall, key: impl FnOnce() -> K) {
        if call == ReplicaCall::Scan {
            self.seen.insert(key());
        }
    }

    /// Must be called after the changes of each reply. Returns the scan if the reply completed
    /// it at `scan_revision`, else `None`. The keys of a failed scan are discarded, since
    /// the next scan begins with the first key.
    pub(crate) fn finish(
        &mut self,
        call: ReplicaCall,
        scan_revision: Option<u64>,
        freshness: Freshness,
    ) -> Option<CompletedScan<K>> {
        if let Some(revision) = scan_revision {
            return Some(CompletedScan {
                seen: std::mem::take(&mut self.seen),
                revision: Revision(revision),
            });
        }
        if call == ReplicaCall::Scan && freshness == Freshness::Failed {
            self.seen.clear();
        }
        None
    }
}

/// A complete scan, which returned every key as of one revision.
pub(crate) struct CompletedScan<K> {
    seen: BTreeSet<K>,
    revision: Revision,
}

impl<K: Ord> CompletedScan<K> {
    /// Whether a key of the replica still exists: the scan returned it, or it was written later.
    pub(crate) fn confirms(&self, key: &K, revision: Revision) -> bool {
        revision > self.revision || self.seen.contains(key)
    }
}
