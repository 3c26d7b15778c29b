use super::{choose_context, parse, Overrides};
use std::path::Path;

const FILE: &str = "[client]\ncurrent = plant\n\n[context plant]\ncontrollers = 127.0.0.1:1, 127.0.0.1:2\nkey = /k\n\n[context lab]\ncontrollers = 127.0.0.1:3\n";

#[test]
fn contexts_are_parsed_and_errors_name_the_entry() {
    let (contexts, current) = parse(Path::new("f"), FILE).expect("valid");
    assert_eq!((contexts.len(), current.as_deref()), (2, Some("plant")));
    assert_eq!(contexts[0].controllers.len(), 2);
    for (text, expected) in [
        ("[context a]\ncontrollers = here\n", "here"),
        ("[context a]\n", "names no controllers"),
        ("[context a]\ncontrolers = 127.0.0.1:1\n", "controlers"),
        ("[contexts]\nx = 1\n", "contexts"),
    ] {
        let error = parse(Path::new("f"), text).expect_err(text).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn flags_override_the_file_and_the_file_the_defaults() {
    let dir = std::env::temp_dir().join(format!("beamhinge-config-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create directory");
    let file = dir.join("config.ini");
    std::fs::write(&file, FILE).expect("write file");
    let choose_with = |context: Option<&str>, controllers: Option<&str>| {
        choose_context(&Overrides {
            file: Some(file.clone()),
            context: context.map(str::to_string),
            controllers: controllers.map(str::to_string),
            ..Overrides::default()
        })
    };
    assert_eq!(
        choose_with(None, None).expect("current context").name,
        "plant"
    );
    assert_eq!(
        choose_with(Some("lab"), None)
            .expect("named context")
            .controllers[0]
            .port(),
        3
    );
    assert_eq!(
        choose_with(None, Some("127.0.0.1:9"))
            .expect("overridden controllers")
            .controllers[0]
            .port(),
        9
    );
    let error = choose_with(Some("mars"), None)
        .expect_err("unknown context")
        .to_string();
    assert!(error.contains("plant, lab"), "{error}");
    std::fs::remove_dir_all(&dir).expect("remove directory");
}
