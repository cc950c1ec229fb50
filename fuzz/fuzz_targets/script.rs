//! Fuzzes the parser of scenario scripts. Every text must be parsed, or give errors that each name one of its lines.
#![no_main]

use libfuzzer_sys::fuzz_target;
use testbed::Script;

fuzz_target!(|text: &str| {
    if let Err(errors) = Script::parse("fuzzed.toml", text) {
        assert!(!errors.is_empty());
        let lines = text.lines().count() + 1;
        assert!(errors.iter().all(|error| (1..=lines).contains(&error.line)), "{errors:?}");
    }
});
