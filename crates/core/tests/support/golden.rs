//! Golden files: recorded encodings that the tests compare with the current ones.
//!
//! A file contains one line `name: hex` (or `name: text`) per value. If
//! `BEAMHINGE_REGENERATE_GOLDEN=1` is set, the file is rewritten and the test still fails, so that
//! no run passes against a file that it has written itself.
//!
//! Several crates include this file by its path, and none of them uses all of it.
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
    /// Starts an empty golden file; `file` is its path relative to the crate's directory.
    pub(crate) fn new(file: &'static str) -> Golden {
        Golden {
            file,
            lines: String::new(),
        }
    }

    /// Adds a line with the bytes in hexadecimal.
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

    /// Adds a value in the encoding of the key-value store; decoding must yield the same value.
    pub(crate) fn stored<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) {
        let value = wire::to_value(value);
        let bytes = wire::encode(&value);
        let decoded = wire::decode(&bytes).expect(name);
        let restored: T = wire::from_value(&decoded).expect(name);
        assert_eq!(
            wire::to_value(&restored),
            value,
            "{name} changes when it is encoded and decoded"
        );
        self.bytes(name, &bytes);
    }

    /// Compares the lines with the committed file, or rewrites the file if regeneration is
    /// requested.
    pub(crate) fn check(self) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(self.file);
        if std::env::var("BEAMHINGE_REGENERATE_GOLDEN").is_ok_and(|v| v == "1") {
            std::fs::create_dir_all(path.parent().expect("the file has a directory"))
                .expect("the directory can be created");
            std::fs::write(&path, &self.lines).expect("the file can be written");
            panic!(
                "{} was rewritten: run again without the variable",
                self.file
            );
        }
        let recorded = std::fs::read_to_string(&path).expect(self.file);
        for (recorded, current) in recorded.lines().zip(self.lines.lines()) {
            assert_eq!(
                recorded, current,
                "{} (left) and the current encoding (right) differ",
                self.file
            );
        }
        assert_eq!(
            recorded.lines().count(),
            self.lines.lines().count(),
            "lines of {}",
            self.file
        );
    }
}
