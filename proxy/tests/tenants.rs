//! Tenant limits as clients see them over sockets.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// Serves a request in 40 ms, so that delays of the test machine are not taken for congestion.
fn serve_slowly(_: usize, _: &Message) -> Reply {
    std::thread::sleep(Duration::from_millis(40));
    ok("served")
}

/// Starts four upstreams and a balancer whose usual settings are overridden by these, with its discovery.
fn with_quotas(
    script: impl Fn(usize, &Message) -> Reply + Clone + Send + Sync + 'static,
    settings: &Value,
) -> (Vec<Upstream>, Balancer, Discovery) {
    let upstreams: Vec<Upstream> = (0..4).map(|_| Upstream::start(script.clone())).collect();
    let known: Vec<_> = (0..4)
        .map(|number| endpoint(&format!("s-{number}"), upstreams[number].address, number as u32, "ready"))
        .collect();
    let discovery = Discovery::start();
    let text = configuration(discovery.address, &known, 30.0, 1024);
    let mut text: Value = serde_json::from_str(&text).expect("valid JSON");
    for (name, value) in settings.as_object().expect("an object") {
        text["settings"][name] = value.clone();
    }
    let balancer = Balancer::start(&text.to_string());
    (upstreams, balancer, discovery)
}

/// Guards a tenant's quota: when half of the upstreams are gone and the others are not congested, the tenant
/// is not limited to half of its quota.
#[test]
fn remaining_upstreams_serve_more_than_their_share_of_a_quota() {
    let quotas = json!({"projects": [{"name": "acme", "quotaPerS": 20.0}]});
    let (upstreams, balancer, discovery) = with_quotas(serve_slowly, &quotas);
    let gone_endpoint =
        |number: usize| endpoint(&format!("s-{number}"), upstreams[number].address, 0, "gone");
    let (_, watch) = discovery.watch();
    watch.send_update(8, false, &[gone_endpoint(0), gone_endpoint(1)]);
    // Nothing shows when the update has taken effect; without it the quota would not be reduced either.
    std::thread::sleep(Duration::from_millis(600));
    let mut client = balancer.client();
    for number in 0..15 {
        assert_eq!(client.ask("read", "x").status(), 200, "call {number}");
    }
}

/// Guards a tenant whose clients retry as soon as they are refused: once congestion has reduced its limit,
/// the retry storm must not keep it from using the whole limit, nor the limit from recovering.
#[test]
fn a_retry_storm_does_not_lock_a_tenant_out() {
    let refuse = Arc::new(AtomicBool::new(true));
    let refusing = Arc::clone(&refuse);
    let script = move |number: usize, message: &Message| match refusing.load(Ordering::Relaxed) {
        true => status("503 Service Unavailable\r\nX-Not-Run: 1"),
        false => serve_slowly(number, message),
    };
    let projects = json!([{"name": "acme", "quotaPerS": 4.0}, {"name": "bolt", "quotaPerS": 4.0}]);
    let (_upstreams, balancer, _discovery) = with_quotas(script, &json!({"projects": projects}));
    let mut clients: Vec<_> = (0..9).map(|_| balancer.client()).collect();
    // Sends some 90 calls a second, eight in nine from one tenant; returns whether any of that tenant's was served.
    let mut send_round = || {
        let next = Instant::now() + Duration::from_millis(100);
        for (number, client) in clients.iter_mut().enumerate() {
            client.send_for_tenant(if number == 0 { "bolt" } else { "acme" }, "read", "x");
        }
        let mut served = false;
        for (number, client) in clients.iter_mut().enumerate() {
            served |= client.answer().expect("an answer").status() == 200 && number > 0;
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        served
    };
    for _ in 0..40 {
        assert!(!send_round(), "the upstreams refuse every request");
    }
    refuse.store(false, Ordering::Relaxed);
    assert!((0..100).any(|_| send_round()), "none of 800 calls was served");
}
