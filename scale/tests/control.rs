//! The simulated control plane on loopback.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use stilelead::discovery::{Endpoint, Update};
use stilelead_scale::control::ControlPlane;
use stilelead_scale::record::Record;
use stilelead_scale::scenario::Scenario;
use stilelead_scale::topology::{CopyId, RegionId, ServiceId, Topology};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SERVICE: ServiceId = ServiceId(0);
/// With three replicas and two regions: a balancer in region 0, as is its replica.
const HOME: CopyId = CopyId(0);
/// A balancer in region 1, as is its replica.
const OTHER: CopyId = CopyId(1);
/// A balancer in region 1 whose replica is in region 0.
const ACROSS: CopyId = CopyId(3);

async fn control(settings: &str) -> Arc<ControlPlane> {
    let text = format!(
        "name = 'control'\nduration_s = 1.0\n[fleet]\nservices = 1\nhollow = 4\nreal = 0\nregions = 2\nzones = 2\n\
         [load]\nreal_calls_per_s = 0.0\n[control]\n{settings}"
    );
    let scenario: Scenario = toml::from_str(&text).unwrap();
    let topology = Topology::of(&scenario.fleet);
    ControlPlane::start(&scenario, &topology, Arc::new(Record::default())).await.unwrap()
}

fn endpoint(name: &str, status: &str) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone".to_owned(),
        kind: String::new(),
        group: 0,
        status: status.to_owned(),
        weight: 1.0,
        since_ms: 0,
    }
}

/// A response whose head has been read.
struct Answer {
    status: u16,
    length: usize,
    reader: BufReader<TcpStream>,
    bytes: usize,
}

async fn call(control: &ControlPlane, copy: CopyId, query: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(control.address(copy)).await?;
    stream
        .write_all(format!("GET /catalog/members{query} HTTP/1.1\r\nHost: control\r\n\r\n").as_bytes())
        .await?;
    let mut answer = Answer { status: 0, length: 0, reader: BufReader::new(stream), bytes: 0 };
    let status = answer.line().await?;
    answer.status = status.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap();
    loop {
        let line = answer.line().await?;
        if let Some(length) = line.strip_prefix("Content-Length: ") {
            answer.length = length.parse().unwrap();
        }
        if line.is_empty() {
            return Ok(answer);
        }
    }
}

impl Answer {
    /// Reads a line of the head or of a chunk, without its line end.
    async fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.bytes += count;
                Ok(line.trim_end().to_owned())
            }
        }
    }

    /// Reads the next line of a watch; each line is a chunk of its own.
    async fn word(&mut self) -> io::Result<String> {
        self.line().await?;
        let word = self.line().await?;
        self.line().await?;
        Ok(word)
    }

    /// Reads the next update of a watch; empty lines (heartbeats) are skipped.
    async fn update(&mut self) -> Update {
        loop {
            let word = self.word().await.unwrap();
            if !word.is_empty() {
                return serde_json::from_str(&word).unwrap();
            }
        }
    }

    async fn body(mut self) -> (Update, usize) {
        let mut body = vec![0; self.length];
        self.reader.read_exact(&mut body).await.unwrap();
        (serde_json::from_slice(&body).unwrap(), self.bytes + self.length)
    }
}

async fn watch(control: &ControlPlane, copy: CopyId, since: u64) -> Answer {
    let answer = call(control, copy, &format!("?follow=1&since={since}")).await.unwrap();
    assert_eq!(answer.status, 200);
    answer
}

async fn list(control: &ControlPlane, copy: CopyId) -> Update {
    call(control, copy, "").await.unwrap().body().await.0
}

fn names(update: &Update) -> Vec<&str> {
    update.endpoints.iter().map(|entry| entry.name.as_str()).collect()
}

#[tokio::test]
async fn a_list_is_answered_whole_and_its_bytes_are_counted() {
    let control = control("calls_per_s = 1e6").await;
    control.set_list(SERVICE, vec![endpoint("a", "ready"), endpoint("b", "draining")]);
    let (update, bytes) = call(&control, HOME, "").await.unwrap().body().await;
    assert!(update.snapshot);
    assert_eq!(names(&update), ["a", "b"]);
    let usage = control.usage(HOME);
    assert_eq!((usage.bytes, usage.calls, usage.rejected_calls), (bytes as u64, 1, 0));
    assert_eq!(control.usage(OTHER).calls, 0);
}

#[tokio::test]
async fn a_watch_resumes_from_a_version_and_beyond_the_history_from_the_whole_list() {
    let control = control("calls_per_s = 1e6\nhistory = 2").await;
    let first = control.set_list(SERVICE, vec![endpoint("a", "ready"), endpoint("b", "ready")]);
    control.update_entry(SERVICE, endpoint("b", "draining"));
    let latest = control.update_entry(SERVICE, endpoint("c", "ready"));
    let mut resumed = watch(&control, HOME, first).await;
    let update = resumed.update().await;
    assert_eq!((update.index, update.snapshot), (latest, false));
    assert_eq!(names(&update), ["b", "c"]);
    control.update_entry(SERVICE, endpoint("a", "gone"));
    let update = resumed.update().await;
    assert_eq!((names(&update), update.snapshot), (vec!["a"], false));
    let update = watch(&control, HOME, first).await.update().await;
    assert_eq!((names(&update), update.snapshot), (vec!["b", "c"], true));
}

#[tokio::test]
async fn a_watch_with_nothing_to_tell_has_empty_lines() {
    let control = control("calls_per_s = 1e6\nheartbeat_s = 0.01").await;
    let version = control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut watch = watch(&control, HOME, version).await;
    let update = watch.update().await;
    assert_eq!((update.index, update.snapshot, update.endpoints.len()), (version, false, 0));
    assert_eq!(watch.word().await.unwrap(), "");
    assert_eq!(watch.word().await.unwrap(), "");
}

#[tokio::test]
async fn a_stopped_replica_resets_and_refuses_and_comes_back_on_the_same_port() {
    let control = control("calls_per_s = 1e6\nreplicas = 2").await;
    let first = control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut watched = watch(&control, HOME, 0).await;
    watched.update().await;
    let address = control.address(HOME);
    for _ in 0..3 {
        control.stop_replica(0);
        let refused = TcpStream::connect(address).await.unwrap_err();
        assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
        assert_eq!(names(&list(&control, OTHER).await), ["a"]);
        control.start_replica(0).await;
        assert_eq!(names(&list(&control, HOME).await), ["a"]);
    }
    let broken = loop {
        match watched.word().await {
            Ok(word) => assert_eq!(word, ""),
            Err(error) => break error,
        }
    };
    assert_eq!(broken.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(control.address(HOME), address);
    control.update_entry(SERVICE, endpoint("b", "ready"));
    assert_eq!(names(&watch(&control, HOME, first).await.update().await), ["b"]);
}

#[tokio::test]
async fn across_a_cut_a_watch_is_silent_and_then_tells_what_it_missed() {
    let control = control("calls_per_s = 1e6\nheartbeat_s = 0.01").await;
    control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut across = watch(&control, ACROSS, 0).await;
    let mut home = watch(&control, HOME, 0).await;
    across.update().await;
    home.update().await;
    control.cut_region(RegionId(1));
    control.update_entry(SERVICE, endpoint("b", "ready"));
    assert_eq!(names(&home.update().await), ["b"]);
    // Bytes written before the cut may still be in flight.
    let before = control.usage(ACROSS).bytes;
    control.update_entry(SERVICE, endpoint("c", "ready"));
    assert_eq!(names(&home.update().await), ["c"]);
    assert_eq!(home.word().await.unwrap(), "");
    assert_eq!(home.word().await.unwrap(), "");
    assert_eq!(control.usage(ACROSS).bytes, before);
    control.rejoin_region(RegionId(1));
    assert_eq!(names(&across.update().await), ["b", "c"]);
}

#[tokio::test]
async fn a_replica_in_a_cut_region_learns_no_changes_until_it_rejoins() {
    let control = control("calls_per_s = 1e6").await;
    let old = control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    control.cut_region(RegionId(1));
    let new = control.update_entry(SERVICE, endpoint("b", "ready"));
    assert_eq!(list(&control, OTHER).await.index, old);
    assert_eq!(list(&control, HOME).await.index, new);
    let mut watch = watch(&control, OTHER, old).await;
    assert_eq!(watch.update().await.endpoints.len(), 0);
    control.rejoin_region(RegionId(1));
    assert_eq!(names(&watch.update().await), ["b"]);
    assert_eq!(list(&control, OTHER).await.index, new);
}

#[tokio::test]
async fn a_connection_that_came_over_a_cut_is_reset_when_the_cut_ends() {
    let control = control("calls_per_s = 1e6").await;
    control.cut_region(RegionId(1));
    let mut stream = TcpStream::connect(control.address(ACROSS)).await.unwrap();
    // The listeners take turns on one thread, so the connection above has been accepted once the replica of
    // the region has answered this call.
    list(&control, OTHER).await;
    control.rejoin_region(RegionId(1));
    let error = stream.read(&mut [0]).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(control.usage(ACROSS).bytes, 0);
}

#[tokio::test]
async fn a_call_beyond_the_queue_gets_503_at_once() {
    let control = control("calls_per_s = 0.0001\nqueue = 1\nreplicas = 1").await;
    let mut waiting = Vec::new();
    for taken in 1..=2 {
        let mut stream = TcpStream::connect(control.address(HOME)).await.unwrap();
        stream.write_all(b"GET /catalog/members HTTP/1.1\r\n\r\n").await.unwrap();
        waiting.push(stream);
        while control.usage(HOME).calls < taken {
            tokio::task::yield_now().await;
        }
    }
    // Without the rejection, the answer would take hours.
    let refused = timeout(Duration::from_secs(60), call(&control, OTHER, "")).await.unwrap().unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!((control.usage(OTHER).rejected_calls, control.usage(HOME).rejected_calls), (1, 0));
}

#[tokio::test]
async fn all_watches_break_at_once_and_new_ones_stand() {
    let control = control("calls_per_s = 1e6\nheartbeat_s = 1000.0").await;
    control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut watches = [watch(&control, HOME, 0).await, watch(&control, OTHER, 0).await];
    for watch in &mut watches {
        watch.update().await;
    }
    control.break_watches();
    for watch in &mut watches {
        assert_eq!(watch.word().await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
    assert_eq!(names(&watch(&control, HOME, 0).await.update().await), ["a"]);
}
