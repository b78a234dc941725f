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
