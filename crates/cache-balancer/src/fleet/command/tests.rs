use super::*;

#[test]
fn unknown_commands_are_quoted_with_the_valid_commands() {
    for line in ["", "drain", "drain -1", "start x", "stop 3", "rol"] {
        let error = line.parse::<Command>().unwrap_err().to_string();
        assert_eq!(error, format!("expected one of {VALID_COMMANDS}, found \"{line}\""));
    }
    assert_eq!(" drain  7 ".parse::<Command>().unwrap(), Command::Supervise(Event::Drain(7)));
}
