//! Fuzzes the reader of scenario scripts: any text is read, or each of its faults names one of its lines.
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
