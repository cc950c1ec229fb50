//! Fields that hold one text or a list of texts, each of them once.

use checked_toml::Document;

/// The maximum size of a set in these tests.
const MOST: usize = 4;

/// Reads `set = …`.
fn read(value: &str) -> Result<Vec<u16>, Vec<String>> {
    let text = format!("# A comment\n[table]\nset = {value}\n");
    let read = Document::read("file.toml", &text, |top| {
        top.table("table", |table| table.parse_set::<u16>("set", "a port", MOST))
    });
    match read {
        Ok(set) => Ok(set.flatten().expect("a set where there is no fault")),
        Err(faults) => Err(faults.iter().map(ToString::to_string).collect()),
    }
}

#[test]
fn one_text_and_a_list_of_one_are_the_same_set() {
    assert_eq!(read("\"7\""), Ok(vec![7]));
    assert_eq!(read("[\"7\"]"), Ok(vec![7]));
}

#[test]
fn a_list_keeps_its_order_up_to_the_largest_size() {
    assert_eq!(read("[\"9\", \"7\", \"8\", \"1\"]"), Ok(vec![9, 7, 8, 1]));
}

#[test]
fn a_missing_set_is_no_fault() {
    let read = Document::read("file.toml", "", |top| top.parse_set::<u16>("set", "a port", MOST));
    assert_eq!(read, Ok(None));
}

#[test]
fn each_fault_names_its_entry_its_line_and_what_was_expected() {
    let cases = [
        ("[]", "file.toml:3: table.set: expected a port, or a list of 1 to 4, found a list of 0"),
        (
            "[\"1\", \"2\", \"3\", \"4\", \"5\"]",
            "file.toml:3: table.set: expected a port, or a list of 1 to 4, found a list of 5",
        ),
        ("\"x\"", "file.toml:3: table.set: expected a port, or a list of 1 to 4, found \"x\""),
        ("7", "file.toml:3: table.set: expected a port, or a list of 1 to 4, found 7"),
        ("{ a = 1 }", "file.toml:3: table.set: expected a port, or a list of 1 to 4, found a table"),
        ("[\"7\",\n\"x\"]", "file.toml:4: table.set[1]: expected a port, found \"x\""),
        ("[\"7\",\n8]", "file.toml:4: table.set[1]: expected a port, found 8"),
        ("[\"7\",\n\n[\"8\"]]", "file.toml:5: table.set[1]: expected a port, found an array"),
        (
            "[\"7\",\n\"8\",\n\"7\"]",
            "file.toml:5: table.set[2]: expected each once, found \"7\" again, which stands at table.set[0]",
        ),
        // Not the text is compared, but what it is read as.
        (
            "[\"7\",\n\"007\"]",
            "file.toml:4: table.set[1]: expected each once, found \"007\" again, which stands at table.set[0]",
        ),
    ];
    for (value, expected) in cases {
        assert_eq!(read(value), Err(vec![expected.to_owned()]), "{value}");
    }
}

#[test]
fn all_faults_of_a_list_are_found_at_once() {
    let faults = read("[\"7\",\n\"x\",\n\"7\",\n7]").expect_err("three faults");
    let places: Vec<_> = faults.iter().filter_map(|fault| fault.split(": expected").next()).collect();
    assert_eq!(
        places,
        ["file.toml:4: table.set[1]", "file.toml:5: table.set[2]", "file.toml:6: table.set[3]"]
    );
}

#[test]
fn the_faults_of_a_set_do_not_hide_other_faults() {
    let text = "set = [\"x\"]\nodd = 1\n";
    let read = Document::read("file.toml", text, |top| top.parse_set::<u16>("set", "a port", MOST));
    let faults = read.expect_err("two faults");
    let fields: Vec<_> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, ["set[0]", "odd"]);
}
