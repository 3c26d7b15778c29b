use super::*;
use proptest::prelude::*;

#[derive(Default)]
struct Jobs {
    tasks: u32,
    jobs: BTreeMap<JobId, JobProgress>,
}

impl Jobs {
    fn job(&mut self, n: u32) -> &mut JobProgress {
        self.jobs
            .entry(job(n))
            .or_insert_with(|| JobProgress::new(MAX_CHUNK_SIZE))
    }
}

impl OpenJobs for Jobs {
    fn progress(&mut self, job: JobId) -> Option<(u32, &mut JobProgress)> {
        Some((self.tasks, self.jobs.get_mut(&job)?))
    }
}

fn job(n: u32) -> JobId {
    JobId::parse(&format!("job-{n:06}")).expect("job")
}

#[test]
fn progress_of_large_job_is_split_over_pages_within_the_value_limit() {
    let mut local = Jobs {
        tasks: 100_000,
        ..Jobs::default()
    };
    let mut pages = ProgressPages::new(8 * 1024);
    for i in (0..100_000).step_by(2) {
        local.job(1).mark_done(i);
        pages.mark_dirty(job(1), i, 100_000);
    }
    let mut remote = Jobs {
        tasks: 100_000,
        ..Jobs::default()
    };
    remote.job(1).mark_done(1);
    let mut remote_pages = ProgressPages::new(8 * 1024);
    let dirty_pages: Vec<usize> = pages.dirty_pages().collect();
    assert_eq!(
        dirty_pages.len(),
        4,
        "three chunks of 2,048 digits fit one page"
    );
    for page in dirty_pages {
        let mut write = ProgressWrite::default();
        let value = pages
            .begin_write(page, &mut write, &mut local)
            .expect("value");
        assert!(wire::json_len(&value) <= 8 * 1024);
        remote_pages
            .load(&progress_page_key(page), Revision(5), &value, &mut remote)
            .expect("valid page");
        pages.on_written(write, Revision(5), &mut local);
    }
    let (local_progress, remote_progress) = (local.job(1), remote.job(1));
    assert_eq!(
        (local_progress.done_count(), remote_progress.done_count()),
        (50_000, 50_001)
    );
    assert!(local_progress.is_durable(8_192 * 2));
    assert!(
        remote_progress.is_durable(8_192 * 2) && !remote_progress.is_durable(1),
        "a task that is known only locally is not durable"
    );
}

#[test]
fn small_value_limit_gives_small_chunks_and_larger_stored_chunks_are_truncated() {
    let limit = 460;
    let size = chunk_size(limit);
    assert!((64..2_048).contains(&size), "{size}");
    assert_eq!(chunk_size(32 * 1024), MAX_CHUNK_SIZE);
    let mut progress = JobProgress::new(size);
    (0..10 * size).for_each(|i| progress.mark_done(i));
    assert!(max_chunk_entry_bytes(size, 0, 100_000) <= limit - PAGE_OVERHEAD_BYTES);
    let mut merged = JobProgress::new(size);
    let long_digits: String = "ff".repeat((size / 8 * 3) as usize);
    merged.merge_chunk(0, &long_digits).expect("digits");
    assert_eq!(merged.done_count(), size);
    merged.merge_chunk(1, &long_digits).expect("digits");
    assert_eq!(merged.done_count(), 2 * size);
}

#[test]
fn small_jobs_share_a_page_which_is_empty_once_they_are_forgotten() {
    let mut all = Jobs {
        tasks: 60,
        ..Jobs::default()
    };
    let mut pages = ProgressPages::new(8 * 1024);
    for n in 0..100 {
        all.job(n).mark_done(n % 60);
        pages.mark_dirty(job(n), n % 60, 60);
    }
    assert_eq!(pages.dirty_pages().count(), 1);
    let mut write = ProgressWrite::default();
    let value = pages.begin_write(0, &mut write, &mut all).expect("value");
    assert!(wire::json_len(&value) <= 8 * 1024);
    // A task that ends while the write is in flight does not count as durable.
    all.job(3).mark_done(59);
    pages.mark_dirty(job(3), 59, 60);
    pages.on_written(write, Revision(9), &mut all);
    assert!(all.job(4).is_durable(4) && !all.job(3).is_durable(59));
    assert_eq!(pages.dirty_pages().collect::<Vec<_>>(), [0]);
    (0..100).for_each(|n| pages.forget(job(n)));
    assert_eq!(pages.dirty_pages().count(), 0);
    assert_eq!(pages.empty_pages().collect::<Vec<_>>(), [0]);
}

#[test]
fn legacy_form_is_read_and_unknown_forms_are_rejected() {
    let mut jobs = Jobs {
        tasks: 4,
        ..Jobs::default()
    };
    jobs.job(7);
    let mut pages = ProgressPages::new(8 * 1024);
    let old = wire::to_value(&serde_json::json!({"v": 1, "b": "05"}));
    pages
        .load("d/job-000007/0", Revision(3), &old, &mut jobs)
        .expect("valid page");
    let progress = jobs.job(7);
    assert!(progress.is_done(0) && !progress.is_done(1) && progress.is_done(2));
    let open = |_: JobId| false;
    assert_eq!(
        pages.obsolete_keys(&open).count(),
        1,
        "removed once the job is done or cancelled"
    );
    for (key, value) in [
        ("d/s0000", serde_json::json!({"v": 9, "s": {}})),
        ("d/job-000007/0", serde_json::json!({"v": 3, "b": ""})),
        ("d/else", serde_json::json!({"v": 2})),
    ] {
        let value = wire::to_value(&value);
        assert!(
            pages.load(key, Revision(1), &value, &mut jobs).is_err(),
            "{key}"
        );
    }
}

#[test]
fn progress_pages_keep_their_stored_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/shelves.hex");
    golden.text("keys", &[0, 17, 12_345].map(progress_page_key).join(" "));
    let sizes = [64, 512, 1_024, 8 * 1024].map(|limit| chunk_size(limit).to_string());
    golden.text("tasks of a chunk by limit", &sizes.join(" "));
    let mut local = Jobs {
        tasks: 20_000,
        ..Jobs::default()
    };
    let mut pages = ProgressPages::new(8 * 1024);
    for (n, index) in [(1, 0), (1, 9), (1, 8_193), (2, 4), (2, 7)] {
        local.job(n).mark_done(index);
        pages.mark_dirty(job(n), index, local.tasks);
    }
    let dirty_pages: Vec<usize> = pages.dirty_pages().collect();
    for page in dirty_pages {
        let mut write = ProgressWrite::default();
        let value = pages
            .begin_write(page, &mut write, &mut local)
            .expect("something to write");
        let record: ProgressPageRecord = wire::from_value(&value).expect("valid page");
        assert_eq!(wire::to_value(&record), value);
        golden.stored(&progress_page_key(page), &record);
    }
    golden.check();
}

/// Reads progress pages and keys of the legacy format from their stored bytes.
#[test]
fn stored_progress_of_both_forms_is_read() {
    let mut local = Jobs {
        tasks: 16,
        ..Jobs::default()
    };
    local.job(1);
    let mut pages = ProgressPages::new(8 * 1024);
    for (key, stored) in [
        (
            "d/s0003",
            serde_json::json!({"v": 2, "s": {"job-000001/0": "0102"}}),
        ),
        ("d/job-000001/0", serde_json::json!({"v": 1, "b": "80"})),
    ] {
        let value: Value = wire::decode(&wire::encode(&stored)).expect("CBOR");
        pages.load(key, Revision(5), &value, &mut local).expect(key);
    }
    let done: Vec<u32> = (0..16)
        .filter(|index| local.job(1).is_done(*index))
        .collect();
    assert_eq!(done, [0, 7, 9]);
    assert_eq!(pages.revision(3), Revision(5));
    assert_eq!(pages.obsolete_keys(&|_| false).count(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// After stored chunks are merged, each task that is done on either side counts as done once.
    #[test]
    fn merged_progress_is_the_union_of_both_sides(
        local in prop::collection::btree_set(0..300u32, 0..80),
        stored in prop::collection::btree_set(0..300u32, 0..80),
    ) {
        let progress = |done: &std::collections::BTreeSet<u32>| {
            let mut progress = JobProgress::new(64);
            done.iter().for_each(|index| progress.mark_done(*index));
            progress
        };
        let (mut merged, source) = (progress(&local), progress(&stored));
        for chunk in source.dirty_chunks() {
            let digits = source.encode_chunk(chunk).expect("a chunk");
            merged.merge_chunk(chunk, &digits).expect("digits");
        }
        let union: Vec<u32> = local.union(&stored).copied().collect();
        let done: Vec<u32> = (0..300).filter(|index| merged.is_done(*index)).collect();
        prop_assert_eq!(merged.done_count() as usize, union.len());
        prop_assert_eq!(done, union);
    }
}
