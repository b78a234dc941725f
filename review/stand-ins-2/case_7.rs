//! Clients that stop in the middle of a request hold the memory for long heads; requests with a long head are
//! then closed with no answer.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::client::{End, KeepingClient, consulta, fresh_id};
use crate::record::Record;
use crate::site::{LATE_GRACE, SLACK, Site};

/// Clients that stop in the middle of a request: under a third of the descriptors.
const STOPPING_CLIENTS: usize = 200;
/// How much of a request such a client sends before it stops.
const STOPS_AFTER_BYTES: usize = 2500;
/// Clients that send whole requests, one at a time, on a connection that they keep.
const CLIENTS: usize = 4;
/// The length of the query of a long request.
const LONG_QUERY_BYTES: usize = 3000;
const DEADLINE: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_secs(12);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(Duration::from_millis(20), "subscribe", record);
    (site.setup.memory_mb, site.setup.sockets) = (32, 1024);
    let balancer = Balancer::start(&site.setup, record);
    let address = balancer.address;
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line(&format!("{STOPPING_CLIENTS} clients begin a request and stop"));
        for number in 0..STOPPING_CLIENTS {
            thread::spawn(move || stop_in_the_middle(address, number));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let ends_at = Instant::now() + RUN_TIME;
    let lost = Arc::new(Mutex::new(0));
    let tally: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, lost, tally) = (Arc::clone(record), Arc::clone(&lost), Arc::clone(&tally));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60 * number as u64));
                let mut client = KeepingClient::new(address);
                while Instant::now() < ends_at {
                    ask(&mut client, "short", 0, &record, &lost, &tally);
                    ask(&mut client, "long", LONG_QUERY_BYTES, &record, &lost, &tally);
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    for (end, count) in tally.lock().unwrap().iter() {
        record.say(&format!("{count:4} requests: {end}"));
    }
    let lost = *lost.lock().unwrap();
    record.say(&format!("{lost} requests were lost"));
    lost > 0
}

/// Sends a part of a head and stays; connects anew once the balancer has ended the connection.
fn stop_in_the_middle(address: SocketAddr, number: usize) {
    let mut head =
        format!("GET /consulta?k={number:x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: stops-{number}\r\nX-Extras: ")
            .into_bytes();
    head.resize(STOPS_AFTER_BYTES, b'e');
    loop {
        if let Ok(mut connection) = TcpStream::connect(address)
            && connection.write_all(&head).is_ok()
        {
            while connection.read(&mut [0; 256]).is_ok_and(|bytes| bytes > 0) {}
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a request as the protocol page asks of a client: if the balancer ends the connection with no answer,
/// the client sends it once more on a new one. It is lost if that has no whole answer in time either.
fn ask(
    client: &mut KeepingClient,
    length: &str,
    query_bytes: usize,
    record: &Record,
    lost: &Mutex<u32>,
    tally: &Mutex<BTreeMap<String, u32>>,
) {
    let id = fresh_id(length);
    let request = consulta(&id, DEADLINE.as_secs_f64(), &format!("?k=1&q={}", "q".repeat(query_bytes)));
    let mut ends = Vec::new();
    loop {
        let kept = client.is_connected();
        let sent_at = Instant::now();
        let end = client.ask(&request, DEADLINE + LATE_GRACE + SLACK);
        record.line(&format!(
            "{id}, {} bytes on a {} connection: {end:?} after {} ms",
            request.len(),
            if kept { "kept" } else { "new" },
            sent_at.elapsed().as_millis()
        ));
        let closed = end == End::Closed;
        ends.push(end);
        if !closed || ends.len() == 2 {
            break;
        }
    }
    *tally.lock().unwrap().entry(format!("{length}, {ends:?}")).or_default() += 1;
    if !matches!(ends.last(), Some(End::Answer(_))) {
        *lost.lock().unwrap() += 1;
    }
}
