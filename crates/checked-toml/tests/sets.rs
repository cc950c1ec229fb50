//! Tests of fields that hold one string or an array of distinct strings.

use checked_toml::Document;

/// Maximum number of items of a set in these tests.
const MAX_ITEMS: usize = 4;

/// Reads a file with the field `set = <value>` on line 3. Returns the set, or the texts of the faults.
fn read_set(value: &str) -> Result<Vec<u16>, Vec<String>> {
    let text = format!("# A comment\n[table]\nset = {value}\n");
    let result = Document::read("file.toml", &text, |top| {
        top.table("table", |table| table.parse_set::<u16>("set", "a port", MAX_ITEMS))
    });
    match result {
        Ok(set) => Ok(set.flatten().expect("a set where there is no fault")),
        Err(faults) => Err(faults.iter().map(ToString::to_string).collect()),
    }
}

#[test]
fn single_string_equals_array_of_one() {
    assert_eq!(read_set("\"7\""), Ok(vec![7]));
    assert_eq!(read_set("[\"7\"]"), Ok(vec![7]));
}

#[test]
fn array_of_maximum_size_keeps_its_order() {
    assert_eq!(read_set("[\"9\", \"7\", \"8\", \"1\"]"), Ok(vec![9, 7, 8, 1]));
}

#[test]
fn missing_set_is_not_a_fault() {
    let result = Document::read("file.toml", "", |top| top.parse_set::<u16>("set", "a port", MAX_ITEMS));
    assert_eq!(result, Ok(None));
}

#[test]
fn faults_name_item_line_and_expected_value() {
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
        // The parsed values are compared, not the strings.
        (
            "[\"7\",\n\"007\"]",
            "file.toml:4: table.set[1]: expected each once, found \"007\" again, which stands at table.set[0]",
        ),
    ];
    for (value, expected) in cases {
        assert_eq!(read_set(value), Err(vec![expected.to_owned()]), "{value}");
    }
}

#[test]
fn all_faults_of_an_array_are_reported() {
    let faults = read_set("[\"7\",\n\"x\",\n\"7\",\n7]").expect_err("three faults");
    let places: Vec<_> = faults.iter().filter_map(|fault| fault.split(": expected").next()).collect();
    assert_eq!(
        places,
        ["file.toml:4: table.set[1]", "file.toml:5: table.set[2]", "file.toml:6: table.set[3]"]
    );
}

#[test]
fn faults_of_a_set_do_not_hide_other_faults() {
    let text = "set = [\"x\"]\nodd = 1\n";
    let result = Document::read("file.toml", text, |top| top.parse_set::<u16>("set", "a port", MAX_ITEMS));
    let faults = result.expect_err("two faults");
    let fields: Vec<_> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, ["set[0]", "odd"]);
}
