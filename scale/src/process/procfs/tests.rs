//! Tests of the sampler on the test's own process.

use std::fs::File;
use std::process;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use super::Sampler;

/// Longer than any step of a passing test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn processor_time_is_measured() {
    let mut sampler = Sampler::new(process::id());
    let start = Instant::now();
    // Other tests run at the same time, so only a lower limit can be checked: some time was used.
    while start.elapsed() < TEST_TIMEOUT {
        let usage = sampler.sample().expect("this process runs");
        if usage.core_percent > 1.0 {
            return;
        }
        let spin_start = Instant::now();
        while spin_start.elapsed() < Duration::from_millis(50) {
            std::hint::black_box(spin_start);
        }
    }
    panic!("no processor time was measured");
}

#[test]
fn resident_memory_is_measured() {
    const ALLOCATED_MB: usize = 64;
    let mut sampler = Sampler::new(process::id());
    let buffer = vec![1_u8; ALLOCATED_MB << 20];
    let usage = sampler.sample().expect("this process runs");
    assert!(usage.memory_mb >= ALLOCATED_MB as f64, "{usage:?}");
    assert!(std::hint::black_box(buffer).len() == ALLOCATED_MB << 20);
}

#[test]
fn open_descriptors_are_counted() {
    const OPEN_FILES: usize = 200;
    let mut sampler = Sampler::new(process::id());
    let files: Vec<File> = (0..OPEN_FILES).map(|_| File::open("/dev/null").expect("opens")).collect();
    let usage = sampler.sample().expect("this process runs");
    assert!(usage.descriptors > files.len() as u64, "{usage:?}");
}

#[test]
fn wakeups_of_all_threads_are_counted() {
    const ROUND_TRIPS: u32 = 500;
    let (request_sender, requests) = mpsc::channel::<()>();
    let (answer_sender, answers) = mpsc::channel::<()>();
    let (end_sender, end_signal) = mpsc::channel::<()>();
    let mut sampler = Sampler::new(process::id());
    let start = Instant::now();
    let thread = thread::spawn(move || {
        for () in requests {
            answer_sender.send(()).expect("the test waits");
        }
        let _ = end_signal.recv();
    });
    for _ in 0..ROUND_TRIPS {
        request_sender.send(()).expect("the thread waits");
        // The pause makes sure that the other thread has gone to sleep.
        thread::sleep(Duration::from_micros(200));
        answers.recv().expect("the thread answers");
    }
    let usage = sampler.sample().expect("this process runs");
    let wakeups = usage.wakeups_per_s * start.elapsed().as_secs_f64();
    assert!(wakeups >= f64::from(ROUND_TRIPS) / 2.0, "{usage:?}");
    drop((request_sender, end_sender));
    thread.join().expect("ends");
}

#[test]
fn an_ended_process_has_no_usage() {
    let mut child = process::Command::new("/bin/true").spawn().expect("runs");
    let mut sampler = Sampler::new(child.id());
    child.wait().expect("ends");
    assert_eq!(sampler.sample(), None);
}
