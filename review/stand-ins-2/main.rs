//! The stand-ins of the review's cases, and the cases themselves: `stand-ins CASE RECORD`. Exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run.

mod balancer;
mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod client;
mod discovery;
mod http;
mod nodo;
mod record;
mod site;
mod traffic;

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Ends the program because the case cannot run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    exit(2)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else { cannot_run("usage: stand-ins CASE RECORD") };
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        cannot_run("it takes too long");
    });
    // Without the disruption the case does everything else in the same way.
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(path));
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let broken = match case.as_str() {
        "6" => case_6::run(&record, trouble),
        "7" => case_7::run(&record, trouble),
        "8" => case_8::run(&record, trouble),
        "9" => case_9::run(&record, trouble),
        "10" => case_10::run(&record, trouble),
        _ => cannot_run("no such case"),
    };
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(broken));
}
