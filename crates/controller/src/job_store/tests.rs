use super::*;

fn spec(image: usize) -> JobSpec {
    let body = serde_json::json!({"c": "class", "o": "one", "k": "batch", "u": "standard",
        "n": 4, "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": format!("image-{image}"), "igb": 1.0,
        "oz": false, "ap": false, "sp": true, "ex": 5.0, "ce": 0.0, "cs": 0.0, "at": 0});
    serde_json::from_value(body).expect("a description")
}

/// Guards against a limit that is too low: with 4,096 shared names, each job kept its own copies of
/// the names beyond the limit.
#[test]
fn names_of_a_large_fleet_are_interned_up_to_a_limit() {
    let mut job_store = JobStore::default();
    let images = 8_192;
    (0..images).for_each(|image| drop(job_store.intern_names(spec(image))));
    for image in [0, 4_096, images - 1] {
        let (one, other) = (
            job_store.intern_names(spec(image)),
            job_store.intern_names(spec(image)),
        );
        assert!(
            Rc::ptr_eq(&one.image, &other.image),
            "image {image} is kept twice"
        );
        assert!(Rc::ptr_eq(&one.team, &other.team) && Rc::ptr_eq(&one.class, &other.class));
    }
    (0..MAX_INTERNED_NAMES + 100).for_each(|image| drop(job_store.intern_names(spec(image))));
    assert_eq!(job_store.interned_names.len(), MAX_INTERNED_NAMES);
}
