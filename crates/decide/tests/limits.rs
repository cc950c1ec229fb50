//! The decision module stays small enough to be read at one sitting.

#[test]
fn the_decision_module_keeps_its_limits() {
    let text = include_str!("../src/balance.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1199, "{lines} lines that are not blank; 1199 at most");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 columns", i + 1);
    }
    let head: Vec<&str> = text.lines().take(3).collect();
    assert!(head.join(" ").contains("src/api.rs"), "the first lines name the interface file");
}
