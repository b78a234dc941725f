//! What the list in hand keeps.

use super::*;
use crate::config::Config;
use crate::config::tests::CONFIGURATION;

fn endpoint(number: usize, status: &str) -> Endpoint {
    let text = format!(r#"{{"name": "s-{number}", "address": "127.0.0.1:9", "status": "{status}"}}"#);
    serde_json::from_str(&text).expect("an endpoint")
}

/// Guards memory on a day on which upstreams are replaced all the time: a name is forgotten with its
/// upstream, whether that is told gone or missing from a whole list, and finds its number when it is back.
#[test]
fn the_names_of_gone_upstreams_are_forgotten() {
    let config = Config::parse(CONFIGURATION, |_| None).expect("a sound configuration");
    let mut directory = Directory::new(Clock::start());
    let learn = |directory: &mut Directory, index, snapshot, endpoints| {
        directory.take(&Update { index, snapshot, endpoints }, Origin::Watch, &config.loaded.names);
    };
    learn(&mut directory, 1, true, vec![endpoint(0, "ready")]);
    let first = directory.ids["s-0"];
    for number in 1..1000 {
        let gone = endpoint(number - 1, "gone");
        learn(&mut directory, number as u64, number % 2 == 0, vec![endpoint(number, "ready"), gone]);
        assert_eq!((directory.ids.len(), directory.listed.len()), (1, 1));
    }
    learn(&mut directory, 1001, false, vec![endpoint(0, "ready")]);
    assert_eq!((directory.ids.len(), directory.ids["s-0"]), (2, first));
}
