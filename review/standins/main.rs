//! The cases of the review. Each starts the balancer as a process of its own, and the platform around it (discovery,
//! nodos, clients) as threads of this program.

mod balancer;
mod cases;
mod discovery;
mod http;
mod nodo;
mod record;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// What a run is given.
pub struct Run {
    pub record: Record,
    /// A folder for files that do not outlive the run.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    pub seed: u64,
}

/// What a run has shown.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(temporary)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY-FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = std::env::var("SEED").ok().and_then(|value| value.parse().ok()).unwrap_or(1);
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let run = Run { record: record.clone(), folder: temporary.into(), trouble, seed };
    record.line(&format!("case {case}, seed {seed}, disruption {}", if trouble { "on" } else { "off" }));
    let result = match case.as_str() {
        "second-answers" => cases::second_answers::run(&run),
        "pipeline" => cases::pipeline::run(&run),
        "memory" => cases::memory::run(&run),
        _ => Err(format!("no such case: {case}")),
    };
    let (text, status) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was BROKEN".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(status);
}
