use super::*;

fn spec(image: usize) -> JobSpec {
    let body = serde_json::json!({"c": "class", "o": "one", "k": "batch", "u": "standard",
        "n": 4, "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": format!("image-{image}"), "igb": 1.0,
        "oz": false, "ap": false, "sp": true, "ex": 5.0, "ce": 0.0, "cs": 0.0, "at": 0});
    serde_json::from_value(body).expect("a description")
}

/// Beyond 4,096 names each job kept its own copies.
#[test]
fn a_large_fleets_names_are_shared_and_their_memory_is_bounded() {
    let mut job_store = JobStore::default();
    let images = 8_192;
    (0..images).for_each(|image| drop(job_store.share(spec(image))));
    for image in [0, 4_096, images - 1] {
        let (one, other) = (job_store.share(spec(image)), job_store.share(spec(image)));
        assert!(
            Rc::ptr_eq(&one.image, &other.image),
            "image {image} is kept twice"
        );
        assert!(Rc::ptr_eq(&one.team, &other.team) && Rc::ptr_eq(&one.class, &other.class));
    }
    (0..MAX_SHARED_NAMES + 100).for_each(|image| drop(job_store.share(spec(image))));
    assert_eq!(job_store.shared.len(), MAX_SHARED_NAMES);
}
