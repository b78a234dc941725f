//! A watch: an answer that is kept open and tells what changes.

use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant as TokioInstant, sleep_until};

use super::catalog::Line;
use super::http;
use super::replica::{Closing, Desk, left, reached, say};
use super::signals::Signals;
use crate::topology::Carrier;

/// Tells what changes after a version until the connection ends; it never returns otherwise.
///
/// No line is made before the one ahead of it was taken, so a slow reader costs no memory.
pub(super) async fn follow(
    desk: &Desk,
    signals: &mut watch::Receiver<Signals>,
    stream: &mut TcpStream,
    since: u64,
) -> Result<(), Closing> {
    let mut news = desk.views.news(desk.service);
    let breaks = signals.borrow().breaks;
    say(desk, stream, http::chunked_head()).await?;
    let mut told = tell(desk, stream, since, after(desk, since)).await?;
    let mut heartbeat_at = TokioInstant::now() + desk.heartbeat;
    loop {
        let silent = tokio::select! {
            _ = news.changed() => false,
            _ = signals.changed() => false,
            () = sleep_until(heartbeat_at) => true,
            () = left(stream) => return Err(Closing::Ended),
        };
        reached(desk, signals, stream).await?;
        if signals.borrow().breaks != breaks {
            return Err(Closing::Reset);
        }
        let line = after(desk, told);
        if line.version != told {
            told = tell(desk, stream, told, line).await?;
        } else if silent {
            say(desk, stream, &http::chunk(b"")).await?;
        } else {
            continue;
        }
        heartbeat_at = TokioInstant::now() + desk.heartbeat;
    }
}

fn after(desk: &Desk, since: u64) -> Line {
    desk.views.known(desk.link.replica_region, desk.service, |catalog| catalog.after(since))
}

/// Writes a line and returns the version that the copy has then.
async fn tell(desk: &Desk, stream: &mut TcpStream, since: u64, line: Line) -> Result<u64, Closing> {
    say(desk, stream, &http::chunk(&line.text)).await?;
    let before = desk.told.fetch_max(line.version, Ordering::Relaxed);
    if desk.carrier == Carrier::Real && since > 0 {
        count_told(desk, since.max(before), line.version);
    }
    Ok(line.version)
}

/// A change is told to a real balancer once it has been written to it, be it to a process before this one. Hollow
/// copies count what arrives.
fn count_told(desk: &Desk, since: u64, version: u64) {
    let now = Instant::now();
    let made: Vec<Instant> = desk.views.look(desk.service, |catalog| {
        (since + 1..=version).filter_map(|version| catalog.made_at(version)).collect()
    });
    let mut measured = desk.record.measured();
    for made_at in made {
        measured.list_delivery_us.add(now.saturating_duration_since(made_at));
    }
}
