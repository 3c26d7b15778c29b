use super::*;

/// Guards against a frame that the other side refuses, with the link, each
/// second anew.
#[test]
fn the_longest_lists_fit_a_frame() {
    let long = "n-123456789012345678".to_string();
    let machines = vec![long.clone(); Frame::MOST_NAMES];
    let hears = Frame::Hears { label: "x".repeat(200), machines };
    let rows = vec![("job-123456789012345678".to_string(), u32::MAX, u32::MAX); 4_000];
    let ended = Frame::Ended { jobs: vec!["job-123456789012345678".into(); Frame::MOST_NAMES] };
    for frame in [hears, ended, Frame::Progress(rows)] {
        let mut bytes = encode(&frame);
        assert!(bytes.len() <= FRAME_LIMIT, "{}", bytes.len());
        assert_eq!(take(&mut bytes).ok().flatten(), Some(frame));
    }
}

#[test]
fn frames_come_whole_or_not_at_all() {
    let frame = Frame::Progress(vec![("job-1".into(), 2, 3)]);
    let bytes = encode(&frame);
    let mut buf = Vec::new();
    for (i, b) in bytes.iter().enumerate() {
        assert!(matches!(take(&mut buf), Ok(None)), "at {i}");
        buf.push(*b);
    }
    assert_eq!(take(&mut buf).ok().flatten(), Some(frame));
    assert!(take(&mut vec![0xff; 8]).is_err());
}
