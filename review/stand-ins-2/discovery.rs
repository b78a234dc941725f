//! Discovery: one versioned list, watches on it, and the troubles that the pages name for it.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_answer};
use crate::record::Record;

/// How calls are met.
#[derive(Clone, Copy, PartialEq)]
pub enum Calls {
    /// Answered after this time in the queue.
    Answered(Duration),
    /// They have waited too long after this time, and end in 503.
    Failed(Duration),
}

struct State {
    version: u64,
    /// The entry of each nodo by its name.
    entries: Vec<(String, String)>,
    /// The version and the entry of each change.
    changes: Vec<(u64, String)>,
    calls: Calls,
    /// Open watches, so that they can be ended.
    watches: Vec<TcpStream>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(entries: &[(&str, String)], record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let discovery = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                version: 41,
                entries: entries.iter().map(|(name, entry)| ((*name).to_owned(), entry.clone())).collect(),
                changes: Vec::new(),
                calls: Calls::Answered(Duration::ZERO),
                watches: Vec::new(),
            }),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&discovery);
        thread::spawn(move || accepting.listen(listener));
        discovery
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let discovery = Arc::clone(&self);
            thread::spawn(move || discovery.serve(stream));
        }
    }

    /// The whole list in discovery's form.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        whole_list(&state)
    }

    /// Changes the entry of a nodo; open watches tell it at once.
    pub fn change(&self, name: &str, entry: String) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        // What is gone appears among changes only.
        state.entries.retain(|(known, _)| known != name);
        if !entry.contains(r#""status":"gone""#) {
            state.entries.push((name.to_owned(), entry.clone()));
        }
        state.changes.push((version, entry.clone()));
        self.record.line(&format!("discovery has version {version}: {entry}"));
    }

    pub fn set_calls(&self, calls: Calls) {
        self.state.lock().unwrap().calls = calls;
    }

    /// Ends all open watches with a close.
    pub fn end_watches(&self) {
        for watch in self.state.lock().unwrap().watches.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut input) {
            let target = request.target().to_owned();
            self.record.line_at(request.last_byte_at, &format!("discovery is asked for {target}"));
            let calls = self.state.lock().unwrap().calls;
            match calls {
                Calls::Answered(wait) => thread::sleep(wait),
                Calls::Failed(wait) => {
                    thread::sleep(wait);
                    self.record.line("discovery answers 503");
                    let _ = write_answer(&mut output, "503 Service Unavailable", "", b"");
                    continue;
                }
            }
            let since = target.split("since=").nth(1).and_then(|since| since.parse().ok()).unwrap_or(0);
            if target.contains("follow=1") {
                let _ = self.watch(output, since);
                return;
            }
            let _ = write_answer(&mut output, "200 OK", "", self.list().as_bytes());
        }
    }

    /// Tells changes until the connection ends.
    fn watch(&self, mut output: TcpStream, since: u64) -> std::io::Result<()> {
        output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.state.lock().unwrap().watches.push(output.try_clone()?);
        let mut told = since;
        self.record.line(&format!("discovery opens a watch since {since}"));
        let mut last_line_at: Option<Instant> = None;
        if since == 0 {
            let (version, list) = {
                let state = self.state.lock().unwrap();
                (state.version, whole_list(&state))
            };
            write_line(&mut output, &list)?;
            (told, last_line_at) = (version, Some(Instant::now()));
        }
        loop {
            let (line, version) = {
                let state = self.state.lock().unwrap();
                let new: Vec<&str> =
                    state.changes.iter().filter(|(version, _)| *version > told).map(|(_, entry)| entry.as_str()).collect();
                let version = state.version;
                let line = (!new.is_empty()).then(|| {
                    format!(r#"{{"index":{version},"snapshot":false,"endpoints":[{}]}}"#, new.join(","))
                });
                (line, version)
            };
            if let Some(line) = line {
                write_line(&mut output, &line)?;
                (told, last_line_at) = (version, Some(Instant::now()));
                self.record.line(&format!("discovery tells version {version}"));
            } else if last_line_at.is_none_or(|at| at.elapsed() >= Duration::from_secs(2)) {
                write_line(&mut output, "")?;
                last_line_at = Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn whole_list(state: &State) -> String {
    let entries: Vec<&str> = state.entries.iter().map(|(_, entry)| entry.as_str()).collect();
    format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, state.version, entries.join(","))
}

/// Writes a line as a chunk.
fn write_line(output: &mut TcpStream, line: &str) -> std::io::Result<()> {
    output.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}
