//! Fuzzes the parser of scenario scripts. Every text must be parsed, or give errors that each name one of its lines.
#![no_main]

use libfuzzer_sys::fuzz_target;
use testbed::Script;

fuzz_target!(|text: &str| {
    if let Err(faults) = Script::parse("fuzzed.toml", text) {
        assert!(!faults.is_empty());
        let lines = text.lines().count() + 1;
        assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line)), "{faults:?}");
    }
});
