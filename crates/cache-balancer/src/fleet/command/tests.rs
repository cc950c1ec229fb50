use super::*;

#[test]
fn an_unknown_command_is_quoted_with_what_was_expected() {
    for line in ["", "drain", "drain -1", "start x", "stop 3", "rol"] {
        let error = line.parse::<Command>().unwrap_err().to_string();
        assert_eq!(error, format!("expected one of {COMMANDS}, found \"{line}\""));
    }
    assert_eq!(" drain  7 ".parse::<Command>().unwrap(), Command::Supervise(Event::Drain(7)));
}
