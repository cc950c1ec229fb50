use super::*;

/// A line that grew with the servers met would fill a log, and be longer than `aggregate` reads.
#[test]
fn a_line_is_bounded_whatever_servers_there_are_and_reads_back_as_it_was() {
    let mut tally = Tally::new("n1", "pool", Rc::new(Cell::new(false)));
    let line = tally.line_at(Timestamp::from_micros(7_500_000));
    for i in 0..3_000 {
        // The servers of a fleet of this size are counted one by one.
        if i == 1_024 {
            assert_eq!((line.servers.len(), line.notified.len()), (1_024, 1_024));
            assert!(!line.servers.contains_key(OTHER_SERVERS));
        }
        let server = ServerId::from(format!("s-{i}").as_str());
        line.record_attempt(&server, AttemptStatus::ConnectError);
        line.record_attempt(&server, AttemptStatus::Canceled);
        line.record_notification(&server, EndpointState::Removed, None);
    }
    assert_eq!((line.second, line.servers.len(), line.notified.len()), (7, MAX_SERVERS + 1, MAX_SERVERS));
    assert_eq!(line.servers[OTHER_SERVERS].connect_errors, 3_000 - MAX_SERVERS as u32);
    assert_eq!(line.servers.values().map(AttemptCounts::total).sum::<u64>(), 3_000);
    let json = serde_json::to_string(line).expect("text");
    assert_eq!(serde_json::from_str::<TallyLine>(&json).expect("a line"), *line);
}

#[test]
fn a_second_begins_with_nothing_of_the_one_before() {
    let mut tally = Tally::new("n1", "pool", Rc::new(Cell::new(false)));
    tally.line_at(Timestamp::from_micros(7_999_999)).served += 1;
    assert_eq!(tally.line_at(Timestamp::from_micros(7_999_999)).served, 1);
    let next = tally.line_at(Timestamp::from_micros(8_000_000)).clone();
    assert_eq!(next, TallyLine { second: 8, node: "n1".into(), pool: "pool".into(), ..TallyLine::default() });
}
