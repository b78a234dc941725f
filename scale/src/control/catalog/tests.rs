//! Tests of the versions and the change history of a member list.

use super::*;

fn endpoint(name: &str, status: &str) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone".to_owned(),
        kind: "kind".to_owned(),
        group: 0,
        status: status.to_owned(),
        weight: 1.0,
        since_ms: 0,
    }
}

fn read(line: &Line) -> Update {
    assert!(!line.text.contains(&b'\n'));
    serde_json::from_slice(&line.text).unwrap()
}

/// The entries of a list update as texts of the form `name status`, for comparison.
fn entries_with_status(update: &Update) -> Vec<String> {
    update.endpoints.iter().map(|entry| format!("{} {}", entry.name, entry.status)).collect()
}

#[test]
fn a_watcher_gets_each_entry_that_changed_after_its_version_once() {
    let mut catalog = Catalog::new(10);
    let now = Instant::now();
    let since = catalog.set_list(vec![endpoint("a", "ready"), endpoint("b", "ready")], now);
    catalog.update_entry(endpoint("b", "draining"), now);
    catalog.update_entry(endpoint("c", "ready"), now);
    catalog.update_entry(endpoint("b", "gone"), now);
    let update = read(&catalog.changes_line(since));
    assert_eq!((update.index, update.snapshot), (since + 3, false));
    assert_eq!(entries_with_status(&update), ["b gone", "c ready"]);
    assert_eq!(entries_with_status(&read(&catalog.changes_line(since + 2))), ["b gone"]);
    assert_eq!(entries_with_status(&catalog.list()), ["a ready", "c ready"]);
}

#[test]
fn an_up_to_date_watcher_gets_no_changes() {
    let mut catalog = Catalog::new(10);
    let version = catalog.set_list(vec![endpoint("a", "ready")], Instant::now());
    let update = read(&catalog.changes_line(version));
    assert_eq!((update.index, update.snapshot, update.endpoints.len()), (version, false, 0));
}

#[test]
fn versions_of_zero_in_the_future_or_older_than_the_history_get_the_whole_list() {
    let mut catalog = Catalog::new(2);
    let now = Instant::now();
    for name in ["a", "b", "c", "d"] {
        catalog.update_entry(endpoint(name, "ready"), now);
    }
    assert!(!read(&catalog.changes_line(2)).snapshot);
    for since in [0, 1, 5] {
        let update = read(&catalog.changes_line(since));
        assert!(update.snapshot, "since {since}");
        assert_eq!(entries_with_status(&update), ["a ready", "b ready", "c ready", "d ready"]);
    }
    assert_eq!(catalog.published_at(2), None);
    assert_eq!(catalog.published_at(3), Some(now));
    assert_eq!(catalog.published_at(5), None);
}

#[test]
fn setting_a_list_publishes_only_the_differences() {
    let mut catalog = Catalog::new(10);
    let now = Instant::now();
    let first_version = catalog.set_list(vec![endpoint("a", "ready"), endpoint("b", "ready")], now);
    assert_eq!(catalog.set_list(vec![endpoint("b", "ready"), endpoint("a", "ready")], now), first_version);
    assert_eq!(catalog.update_entry(endpoint("z", "gone"), now), first_version);
    let second_version = catalog.set_list(vec![endpoint("b", "ready"), endpoint("c", "draining")], now);
    assert_eq!(second_version, first_version + 1);
    assert_eq!(entries_with_status(&read(&catalog.changes_line(first_version))), ["a gone", "c draining"]);
}

#[test]
fn cached_lines_are_rebuilt_after_a_list_change() {
    let mut catalog = Catalog::new(10);
    let now = Instant::now();
    let first_version = catalog.update_entry(endpoint("a", "ready"), now);
    catalog.update_entry(endpoint("b", "ready"), now);
    assert_eq!(entries_with_status(&read(&catalog.changes_line(first_version))), ["b ready"]);
    assert_eq!(entries_with_status(&read(&catalog.full_list_line())), ["a ready", "b ready"]);
    catalog.update_entry(endpoint("c", "ready"), now);
    assert_eq!(entries_with_status(&read(&catalog.changes_line(first_version))), ["b ready", "c ready"]);
    assert_eq!(entries_with_status(&read(&catalog.changes_line(first_version + 1))), ["c ready"]);
    assert_eq!(entries_with_status(&read(&catalog.full_list_line())), ["a ready", "b ready", "c ready"]);
}
