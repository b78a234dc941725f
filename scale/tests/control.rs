//! Tests of the simulated control plane on loopback sockets.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use stilelead::discovery::{Endpoint, Update};
use stilelead_scale::control::ControlPlane;
use stilelead_scale::record::Record;
use stilelead_scale::scenario::Scenario;
use stilelead_scale::topology::{BalancerId, RegionId, ServiceId, Topology};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SERVICE: ServiceId = ServiceId(0);
/// With three replicas and two regions: a balancer in region 0, as is its replica.
const IN_REGION_0: BalancerId = BalancerId(0);
/// A balancer in region 1, as is its replica.
const IN_REGION_1: BalancerId = BalancerId(1);
/// A balancer in region 1 whose replica is in region 0.
const ACROSS_REGIONS: BalancerId = BalancerId(3);

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
struct Response {
    status: u16,
    length: usize,
    reader: BufReader<TcpStream>,
    bytes: usize,
}

async fn call(control: &ControlPlane, balancer: BalancerId, query: &str) -> io::Result<Response> {
    let mut stream = TcpStream::connect(control.address(balancer)).await?;
    stream
        .write_all(format!("GET /catalog/members{query} HTTP/1.1\r\nHost: control\r\n\r\n").as_bytes())
        .await?;
    let mut response = Response { status: 0, length: 0, reader: BufReader::new(stream), bytes: 0 };
    let status = response.line().await?;
    response.status = status.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap();
    loop {
        let line = response.line().await?;
        if let Some(length) = line.strip_prefix("Content-Length: ") {
            response.length = length.parse().unwrap();
        }
        if line.is_empty() {
            return Ok(response);
        }
    }
}

impl Response {
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
    async fn watch_line(&mut self) -> io::Result<String> {
        self.line().await?;
        let watch_line = self.line().await?;
        self.line().await?;
        Ok(watch_line)
    }

    /// Reads the next update of a watch; empty lines (heartbeats) are skipped.
    async fn update(&mut self) -> Update {
        loop {
            let watch_line = self.watch_line().await.unwrap();
            if !watch_line.is_empty() {
                return serde_json::from_str(&watch_line).unwrap();
            }
        }
    }

    async fn body(mut self) -> (Update, usize) {
        let mut body = vec![0; self.length];
        self.reader.read_exact(&mut body).await.unwrap();
        (serde_json::from_slice(&body).unwrap(), self.bytes + self.length)
    }
}

async fn watch(control: &ControlPlane, balancer: BalancerId, since: u64) -> Response {
    let response = call(control, balancer, &format!("?follow=1&since={since}")).await.unwrap();
    assert_eq!(response.status, 200);
    response
}

async fn list(control: &ControlPlane, balancer: BalancerId) -> Update {
    call(control, balancer, "").await.unwrap().body().await.0
}

fn names(update: &Update) -> Vec<&str> {
    update.endpoints.iter().map(|entry| entry.name.as_str()).collect()
}

#[tokio::test]
async fn a_call_gets_the_whole_list_and_its_bytes_are_counted() {
    let control = control("calls_per_s = 1e6").await;
    control.set_list(SERVICE, vec![endpoint("a", "ready"), endpoint("b", "draining")]);
    let (update, bytes) = call(&control, IN_REGION_0, "").await.unwrap().body().await;
    assert!(update.snapshot);
    assert_eq!(names(&update), ["a", "b"]);
    let usage = control.usage(IN_REGION_0);
    assert_eq!((usage.bytes, usage.calls, usage.rejected_calls), (bytes as u64, 1, 0));
    assert_eq!(control.usage(IN_REGION_1).calls, 0);
}

#[tokio::test]
async fn a_watch_resumes_from_a_version_or_gets_the_whole_list_if_the_history_is_too_short() {
    let control = control("calls_per_s = 1e6\nhistory = 2").await;
    let first = control.set_list(SERVICE, vec![endpoint("a", "ready"), endpoint("b", "ready")]);
    control.update_entry(SERVICE, endpoint("b", "draining"));
    let latest = control.update_entry(SERVICE, endpoint("c", "ready"));
    let mut resumed = watch(&control, IN_REGION_0, first).await;
    let update = resumed.update().await;
    assert_eq!((update.index, update.snapshot), (latest, false));
    assert_eq!(names(&update), ["b", "c"]);
    control.update_entry(SERVICE, endpoint("a", "gone"));
    let update = resumed.update().await;
    assert_eq!((names(&update), update.snapshot), (vec!["a"], false));
    let update = watch(&control, IN_REGION_0, first).await.update().await;
    assert_eq!((names(&update), update.snapshot), (vec!["b", "c"], true));
}

#[tokio::test]
async fn an_idle_watch_sends_empty_lines_as_heartbeats() {
    let control = control("calls_per_s = 1e6\nheartbeat_s = 0.01").await;
    let version = control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut watch = watch(&control, IN_REGION_0, version).await;
    let update = watch.update().await;
    assert_eq!((update.index, update.snapshot, update.endpoints.len()), (version, false, 0));
    assert_eq!(watch.watch_line().await.unwrap(), "");
    assert_eq!(watch.watch_line().await.unwrap(), "");
}

#[tokio::test]
async fn a_stopped_replica_resets_and_refuses_connections_and_restarts_on_the_same_port() {
    let control = control("calls_per_s = 1e6\nreplicas = 2").await;
    let first = control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut watched = watch(&control, IN_REGION_0, 0).await;
    watched.update().await;
    let address = control.address(IN_REGION_0);
    for _ in 0..3 {
        control.stop_replica(0);
        let refused = TcpStream::connect(address).await.unwrap_err();
        assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
        assert_eq!(names(&list(&control, IN_REGION_1).await), ["a"]);
        control.start_replica(0).await;
        assert_eq!(names(&list(&control, IN_REGION_0).await), ["a"]);
    }
    let broken = loop {
        match watched.watch_line().await {
            Ok(watch_line) => assert_eq!(watch_line, ""),
            Err(error) => break error,
        }
    };
    assert_eq!(broken.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(control.address(IN_REGION_0), address);
    control.update_entry(SERVICE, endpoint("b", "ready"));
    assert_eq!(names(&watch(&control, IN_REGION_0, first).await.update().await), ["b"]);
}

#[tokio::test]
async fn a_watch_across_a_cut_is_silent_and_then_sends_the_missed_changes() {
    let control = control("calls_per_s = 1e6\nheartbeat_s = 0.01").await;
    control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut across_regions = watch(&control, ACROSS_REGIONS, 0).await;
    let mut in_region_0 = watch(&control, IN_REGION_0, 0).await;
    across_regions.update().await;
    in_region_0.update().await;
    control.cut_region(RegionId(1));
    control.update_entry(SERVICE, endpoint("b", "ready"));
    assert_eq!(names(&in_region_0.update().await), ["b"]);
    // Bytes written before the cut may still be in flight.
    let before = control.usage(ACROSS_REGIONS).bytes;
    control.update_entry(SERVICE, endpoint("c", "ready"));
    assert_eq!(names(&in_region_0.update().await), ["c"]);
    assert_eq!(in_region_0.watch_line().await.unwrap(), "");
    assert_eq!(in_region_0.watch_line().await.unwrap(), "");
    assert_eq!(control.usage(ACROSS_REGIONS).bytes, before);
    control.rejoin_region(RegionId(1));
    assert_eq!(names(&across_regions.update().await), ["b", "c"]);
}

#[tokio::test]
async fn a_replica_in_a_cut_off_region_gets_no_changes_until_the_cut_ends() {
    let control = control("calls_per_s = 1e6").await;
    let old = control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    control.cut_region(RegionId(1));
    let new = control.update_entry(SERVICE, endpoint("b", "ready"));
    assert_eq!(list(&control, IN_REGION_1).await.index, old);
    assert_eq!(list(&control, IN_REGION_0).await.index, new);
    let mut watch = watch(&control, IN_REGION_1, old).await;
    assert_eq!(watch.update().await.endpoints.len(), 0);
    control.rejoin_region(RegionId(1));
    assert_eq!(names(&watch.update().await), ["b"]);
    assert_eq!(list(&control, IN_REGION_1).await.index, new);
}

#[tokio::test]
async fn a_connection_opened_across_a_cut_is_reset_when_the_cut_ends() {
    let control = control("calls_per_s = 1e6").await;
    control.cut_region(RegionId(1));
    let mut stream = TcpStream::connect(control.address(ACROSS_REGIONS)).await.unwrap();
    // The listeners take turns on one thread, so the connection above has been accepted once the replica of
    // the region has answered this call.
    list(&control, IN_REGION_1).await;
    control.rejoin_region(RegionId(1));
    let error = stream.read(&mut [0]).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(control.usage(ACROSS_REGIONS).bytes, 0);
}

#[tokio::test]
async fn a_call_beyond_the_queue_gets_503_at_once() {
    let control = control("calls_per_s = 0.0001\nqueue = 1\nreplicas = 1").await;
    let mut waiting = Vec::new();
    for calls in 1..=2 {
        let mut stream = TcpStream::connect(control.address(IN_REGION_0)).await.unwrap();
        stream.write_all(b"GET /catalog/members HTTP/1.1\r\n\r\n").await.unwrap();
        waiting.push(stream);
        while control.usage(IN_REGION_0).calls < calls {
            tokio::task::yield_now().await;
        }
    }
    // Without the rejection, the response would take hours.
    let refused = timeout(Duration::from_secs(60), call(&control, IN_REGION_1, "")).await.unwrap().unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(
        (control.usage(IN_REGION_1).rejected_calls, control.usage(IN_REGION_0).rejected_calls),
        (1, 0)
    );
}

#[tokio::test]
async fn all_watches_are_reset_at_once_and_new_ones_work() {
    let control = control("calls_per_s = 1e6\nheartbeat_s = 1000.0").await;
    control.set_list(SERVICE, vec![endpoint("a", "ready")]);
    let mut watches = [watch(&control, IN_REGION_0, 0).await, watch(&control, IN_REGION_1, 0).await];
    for watch in &mut watches {
        watch.update().await;
    }
    control.break_watches();
    for watch in &mut watches {
        assert_eq!(watch.watch_line().await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
    assert_eq!(names(&watch(&control, IN_REGION_0, 0).await.update().await), ["a"]);
}
