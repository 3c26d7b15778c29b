//! Golden files: encodings that were recorded once and are compared with those of today.
//!
//! A file holds one line `name: hex` (or `name: text`) per value. Where
//! `BEAMHINGE_REGENERATE_GOLDEN=1` is set, the file is written anew and the test fails all
//! the same, so that no run passes by writing what it should compare with.
//!
//! Packages include this file by its path; none of them needs all of it.
#![allow(dead_code)]

use beamhinge_core::wire;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// The lines of one golden file, in the order in which they are added.
pub(crate) struct Golden {
    file: &'static str,
    lines: String,
}

impl Golden {
    /// `file`: its path below the package's folder.
    pub(crate) fn new(file: &'static str) -> Golden {
        Golden {
            file,
            lines: String::new(),
        }
    }

    /// Adds bytes as they are.
    pub(crate) fn bytes(&mut self, name: &str, bytes: &[u8]) {
        let hex = bytes.iter().fold(String::new(), |mut hex, byte| {
            let _ = write!(hex, "{byte:02x}");
            hex
        });
        self.text(name, &hex);
    }

    /// Adds one line of text.
    pub(crate) fn text(&mut self, name: &str, text: &str) {
        assert!(!text.contains('\n'), "{name} is longer than a line");
        let _ = writeln!(self.lines, "{name}: {text}");
    }

    /// Adds a value as the state service holds it; it must come back as it was.
    pub(crate) fn stored<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) {
        let value = wire::to_value(value);
        let bytes = wire::encode(&value);
        let read = wire::decode(&bytes).expect(name);
        let back: T = wire::from_value(&read).expect(name);
        assert_eq!(
            wire::to_value(&back),
            value,
            "{name} does not come back as it was"
        );
        self.bytes(name, &bytes);
    }

    /// Compares with the committed file, or writes it where that is asked for.
    pub(crate) fn check(self) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(self.file);
        if std::env::var("BEAMHINGE_REGENERATE_GOLDEN").is_ok_and(|v| v == "1") {
            std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
            std::fs::write(&path, &self.lines).expect("a file that can be written");
            panic!(
                "{} was rewritten: run again without the variable",
                self.file
            );
        }
        let kept = std::fs::read_to_string(&path).expect(self.file);
        for (kept, now) in kept.lines().zip(self.lines.lines()) {
            assert_eq!(
                kept, now,
                "{} (left) and today's form (right) differ",
                self.file
            );
        }
        assert_eq!(
            kept.lines().count(),
            self.lines.lines().count(),
            "lines of {}",
            self.file
        );
    }
}
