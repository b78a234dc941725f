//! Tests of the sampler on the test's own process.

use std::fs::File;
use std::process;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use super::Sampler;

/// Longer than anything takes that works.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn processor_time_that_is_used_is_seen() {
    let mut sampler = Sampler::new(process::id());
    let start = Instant::now();
    // Other tests run meanwhile, so that only a lower limit holds: some time was used.
    while start.elapsed() < TEST_TIMEOUT {
        let usage = sampler.sample().expect("this process runs");
        if usage.core_percent > 1.0 {
            return;
        }
        let spin = Instant::now();
        while spin.elapsed() < Duration::from_millis(50) {
            std::hint::black_box(spin);
        }
    }
    panic!("no processor time was seen");
}

#[test]
fn memory_that_is_held_is_seen() {
    const MEGABYTES: usize = 64;
    let mut sampler = Sampler::new(process::id());
    let held = vec![1_u8; MEGABYTES << 20];
    let usage = sampler.sample().expect("this process runs");
    assert!(usage.memory_mb >= MEGABYTES as f64, "{usage:?}");
    assert!(std::hint::black_box(held).len() == MEGABYTES << 20);
}

#[test]
fn open_descriptors_are_counted() {
    const FILES: usize = 200;
    let mut sampler = Sampler::new(process::id());
    let files: Vec<File> = (0..FILES).map(|_| File::open("/dev/null").expect("opens")).collect();
    let usage = sampler.sample().expect("this process runs");
    assert!(usage.descriptors > files.len() as u64, "{usage:?}");
}

#[test]
fn wakeups_of_all_threads_are_counted() {
    const TURNS: u32 = 500;
    let (ask, asked) = mpsc::channel::<()>();
    let (answer, answered) = mpsc::channel::<()>();
    let (end, ended) = mpsc::channel::<()>();
    let mut sampler = Sampler::new(process::id());
    let start = Instant::now();
    let thread = thread::spawn(move || {
        for () in asked {
            answer.send(()).expect("the test waits");
        }
        let _ = ended.recv();
    });
    for _ in 0..TURNS {
        ask.send(()).expect("the thread waits");
        // A pause makes sure that the other thread has gone to sleep.
        thread::sleep(Duration::from_micros(200));
        answered.recv().expect("the thread answers");
    }
    let usage = sampler.sample().expect("this process runs");
    let wakeups = usage.wakeups_per_s * start.elapsed().as_secs_f64();
    assert!(wakeups >= f64::from(TURNS) / 2.0, "{usage:?}");
    drop((ask, end));
    thread.join().expect("ends");
}

#[test]
fn a_process_that_is_gone_has_no_usage() {
    let mut child = process::Command::new("/bin/true").spawn().expect("runs");
    let mut sampler = Sampler::new(child.id());
    child.wait().expect("ends");
    assert_eq!(sampler.sample(), None);
}
