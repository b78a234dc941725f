//! Tests of the memory that the list of upstreams holds.

use super::*;
use crate::config::Config;
use crate::config::tests::CONFIGURATION;

fn endpoint(number: usize, status: &str) -> Endpoint {
    let text = format!(r#"{{"name": "s-{number}", "address": "127.0.0.1:9", "status": "{status}"}}"#);
    serde_json::from_str(&text).expect("an endpoint")
}

/// Guards against memory that grows while upstreams are replaced all the time: the name of an upstream is
/// dropped when discovery reports it gone or a full list lacks it, and gets the same id when it is listed
/// again.
#[test]
fn names_of_removed_upstreams_are_dropped() {
    let config = Config::parse(CONFIGURATION, |_| None).expect("a sound configuration");
    let mut directory = Directory::new(Clock::start());
    let apply = |directory: &mut Directory, index, snapshot, endpoints| {
        directory.apply(
            &Update { index, snapshot, endpoints },
            UpdateSource::Watch,
            &config.parsed_settings.names,
        );
    };
    apply(&mut directory, 1, true, vec![endpoint(0, "ready")]);
    let first_id = directory.ids["s-0"];
    for number in 1..1000 {
        let gone = endpoint(number - 1, "gone");
        apply(&mut directory, number as u64, number % 2 == 0, vec![endpoint(number, "ready"), gone]);
        assert_eq!((directory.ids.len(), directory.entries.len()), (1, 1));
    }
    apply(&mut directory, 1001, false, vec![endpoint(0, "ready")]);
    assert_eq!((directory.ids.len(), directory.ids["s-0"]), (2, first_id));
}

/// Guards memory against a list that is longer than there is room for: further upstreams are skipped, those
/// that are listed still change, and a whole list of other upstreams replaces it in full.
#[test]
fn upstreams_beyond_the_limit_are_skipped() {
    let config = Config::parse(CONFIGURATION, |_| None).expect("a sound configuration");
    let mut directory = Directory::new(Clock::start());
    directory.set_max_entries(10);
    let mut apply = |snapshot, endpoints| {
        let update = Update { index: 1, snapshot, endpoints };
        directory.apply(&update, UpdateSource::Watch, &config.parsed_settings.names);
        directory.counts()
    };
    let ready = |numbers: std::ops::Range<usize>| numbers.map(|number| endpoint(number, "ready")).collect();
    assert_eq!(apply(true, ready(0..20)), (10, 0));
    assert_eq!(apply(false, ready(20..30)), (10, 0));
    assert_eq!(apply(false, vec![endpoint(3, "draining"), endpoint(40, "draining")]), (9, 1));
    assert_eq!(apply(true, ready(50..60)), (10, 0));
    assert_eq!(apply(false, vec![endpoint(50, "gone"), endpoint(60, "ready")]), (10, 0));
    let long_name = Endpoint { name: "n".repeat(MAX_NAME_BYTES + 1), ..endpoint(0, "ready") };
    assert_eq!(apply(true, vec![long_name]), (0, 0));
}
