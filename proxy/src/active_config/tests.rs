//! Tests of replacing the configuration in force: positions of names, and the log line about the changes.

use super::*;
use serde_json::{Value, json};

fn base_config() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "1f",
           "limits": {"sockets": 1024},
           "settings": {
               "balancers": 12, "me": 0, "zone": "north", "zones": ["north", "south"], "kinds": ["std"],
               "lanes": [class_entry("read", "idempotent"), class_entry("pay", "at_most_once")],
               "projects": [{"name": "acme", "quotaPerS": 5.0}, {"name": "zenith", "quotaPerS": 7.0}],
               "discovery": "subscribe", "caps": {"tryLimit": 3},
               "rules": {"coldShare": 0.2, "coldS": 10.0, "fallMultiple": 3.0, "overloadForS": 2.0}}})
}

fn class_entry(name: &str, effect: &str) -> Value {
    json!({"name": name, "onTimeS": 1.0, "hardLimitS": 2.0, "effect": effect})
}

fn parse_config(text: &Value) -> Config {
    Config::parse(&text.to_string(), |_| None).expect("a sound configuration")
}

/// Replaces the configuration in force with a changed one; returns the new one and the text about the
/// changes.
fn replace_with(old: &ActiveConfig, change: impl FnOnce(&mut Value)) -> (ActiveConfig, String) {
    let mut text = base_config();
    change(&mut text);
    let (new, changes) = old.replaced_by(parse_config(&text), 100).expect("an accepted replacement");
    (new, changes.to_string())
}

/// Guards against requests in flight being attributed to another class or tenant after a reload.
#[test]
fn known_names_keep_their_positions_and_new_ones_are_appended() {
    let start = ActiveConfig::start(parse_config(&base_config()));
    let (next, line) = replace_with(&start, |text| {
        let settings = &mut text["settings"];
        settings["lanes"] =
            json!([class_entry("order", "at_most_once"), class_entry("read", "at_most_once")]);
        settings["projects"] =
            json!([{"name": "nova", "quotaPerS": 9.0}, {"name": "zenith", "quotaPerS": 8.0}]);
        settings["zones"] = json!(["west", "south"]);
        settings["zone"] = json!("west");
        settings["kinds"] = json!(["big", "std"]);
    });
    assert_eq!(
        line,
        "1 class added, 1 class removed, 1 class changed, 1 tenant added, 1 tenant removed, 1 tenant changed, \
         1 zone added, 1 zone removed, 1 machine type added, zone"
    );
    let by_position = |names: &Positions| {
        let mut names: Vec<_> = names.iter().map(|(name, &position)| (position, name.clone())).collect();
        names.sort();
        names
    };
    let owned = |list: &[(usize, &str)]| -> Vec<_> {
        list.iter().map(|&(position, name)| (position, name.to_owned())).collect()
    };
    assert_eq!(by_position(&next.names.classes), owned(&[(0, "read"), (2, "order")]));
    assert_eq!(by_position(&next.names.tenants), owned(&[(1, "zenith"), (2, "nova")]));
    assert_eq!(by_position(&next.names.zones), owned(&[(1, "south"), (2, "west")]));
    assert_eq!(by_position(&next.names.machine_types), owned(&[(0, "std"), (1, "big")]));
    let settings = next.settings();
    let effects: Vec<_> = settings.classes.iter().map(|class| class.idempotency).collect();
    assert_eq!(effects, [stilelead_decision::interface::Idempotency::NonIdempotent; 3]);
    let quotas: Vec<_> = settings.tenants.iter().map(|tenant| tenant.quota).collect();
    assert_eq!(quotas, [Some(0.0), Some(8.0), Some(9.0)]);
    assert_eq!((settings.zone, settings.zone_count, settings.machine_type_count), (ZoneId(2), 3, 2));
    assert_eq!(settings.validate_replacement_of(&start.settings()), Ok(()));
    // A name that is added again gets its old position.
    let (restored, line) = replace_with(&next, |_| {});
    assert!(line.starts_with("1 class added, 1 class removed, 1 class changed"), "{line}");
    assert_eq!(by_position(&restored.names.classes), owned(&[(0, "read"), (1, "pay")]));
    assert_eq!(restored.settings().tenants[0].quota, Some(5.0));
}

#[test]
fn the_text_names_what_has_changed_and_what_requires_a_restart() {
    let start = ActiveConfig::start(parse_config(&base_config()));
    assert_eq!(replace_with(&start, |_| {}).1, "nothing has changed");
    let (next, line) = replace_with(&start, |text| {
        text["discovery"] = json!("127.0.0.1:2");
        text["listen"] = json!("127.0.0.1:81");
        text["seed"] = json!("2f");
        text["limits"]["sockets"] = json!(2048);
        let settings = &mut text["settings"];
        settings["balancers"] = json!(14);
        settings["caps"]["dialTimeoutS"] = json!(2.0);
        settings["prices"] = json!({"crossZone": 0.5});
        settings["lanes"]
            .as_array_mut()
            .expect("a list")
            .extend([class_entry("a", "idempotent"), class_entry("b", "idempotent")]);
    });
    assert_eq!(
        line,
        "discovery at 127.0.0.1:2, 2 classes added, balancers 12 to 14, limits.sockets 1024 to 2048, caps, prices; \
         requires a restart: listen, seed"
    );
    assert_eq!((next.max_descriptors(), next.connect_timeout()), (2048, Duration::from_secs(2)));
    // A limit below the number of descriptors in use is not applied.
    let (next, line) = replace_with(&start, |text| text["limits"]["sockets"] = json!(100));
    assert_eq!(line, "nothing has changed; requires a restart: limits.sockets");
    assert_eq!(next.max_descriptors(), 1024);
}

#[test]
fn the_longest_deadline_counts_accepted_classes_only() {
    let start = ActiveConfig::start(parse_config(&base_config()));
    let with_longer_deadline = |text: &mut Value| text["settings"]["lanes"][1]["hardLimitS"] = json!(9.0);
    let (next, _) = replace_with(&start, with_longer_deadline);
    assert_eq!(next.longest_deadline(), Duration::from_secs(9));
    let (next, _) =
        replace_with(&next, |text| text["settings"]["lanes"] = json!([class_entry("read", "idempotent")]));
    assert_eq!(next.longest_deadline(), Duration::from_secs(2));
}

/// Guards against memory that grows with every reload because each file has new names.
#[test]
fn more_names_than_the_limit_are_rejected() {
    let mut active_config = ActiveConfig::start(parse_config(&base_config()));
    for round in 0.. {
        let mut text = base_config();
        let names = (0..1000).map(|number| json!({"name": format!("t-{round}-{number}")}));
        text["settings"]["projects"] = names.collect();
        match active_config.replaced_by(parse_config(&text), 0) {
            Ok((next, _)) => active_config = next,
            Err(error) => {
                assert_eq!(
                    error.to_string(),
                    "too many different tenants since the start; a restart is required"
                );
                assert_eq!(active_config.settings().tenants.len(), 4002);
                return;
            }
        }
    }
}
