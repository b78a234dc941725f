//! Runs the adapter as a process and checks what it writes for given input.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::{Command, Stdio};

/// What a run of the adapter has written and whether it has succeeded.
struct AdapterRun {
    stdout: String,
    stderr: String,
    success: bool,
}

/// Runs the adapter as a process with the given standard input.
fn run_adapter(input: &[u8]) -> AdapterRun {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stilelead-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter stops reading at a malformed line, so writing may fail.
    let mut stdin = child.stdin.take().expect("piped");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let result = child.wait_with_output().expect("the adapter exits");
    writer.join().expect("the input is written");
    AdapterRun {
        stdout: String::from_utf8(result.stdout).expect("text"),
        stderr: String::from_utf8(result.stderr).expect("text"),
        success: result.status.success(),
    }
}

/// The settings of a replica, with a key that the adapter does not know.
fn settings_json(replica_index: u32) -> String {
    format!(
        r#"{{"balancers":3,"me":{replica_index},"tier":0,"zone":"north","zones":["north","south"],"future":{{"a":[1]}},
        "lanes":[{{"name":"read","onTimeS":1,"hardLimitS":3,"effect":"idempotent","lateWorth":0,"stream":true}},
        {{"name":"pay","onTimeS":1,"hardLimitS":3,"effect":"deduplicated","dedupScope":"cell","windowS":5}},
        {{"name":"order","onTimeS":1,"hardLimitS":3,"effect":"at_most_once"}}],
        "projects":[{{"name":"acme","portion":0.5,"quotaPerS":50}},{{"name":"zeta","portion":0.5,"quotaPerS":50}}],
        "overShareWorth":0.1,"discovery":"subscribe","loadInfo":{{"via":"inline","fields":["active","cpu"]}},
        "caps":{{"tryLimit":3,"cancel":true,"retryAfter":true,"maxRetryAfterS":2}},
        "rules":{{"answerSlackS":0.02,"askWithinS":10,"coldS":20,"coldShare":0.2,"drainGraceS":1,
        "fallMultiple":3,"overloadForS":2}},"prices":{{"crossZone":0.02}}}}"#
    )
    .replace('\n', "")
}

/// A list of two ready upstreams in different zones.
const MEMBER_LIST: &str =
    "INVENTORY\t0\t2\nM\t71\tnorth\tstd\t1\tReady\t1\t-\nM\t72\tsouth\tstd\t2\tReady\t1\t-\n";
/// A request of a non-idempotent class.
const REQUEST: &str = "ASK\treq-1\torder\tacme\t-\t2.5\t-\t0\n";

/// The first batch: starts an instance with a list of two upstreams.
fn first_batch() -> String {
    let settings_json = settings_json(0);
    format!(
        "TURN\t100\t1\nTO\t4\nSTART\t9\t{settings_json}\n{MEMBER_LIST}PEERS_KNOWN\tstale_copy\t1\t0\nYOUR_TURN\n"
    )
}

/// Guards against treating input without any events as an error.
#[test]
fn empty_input_and_an_empty_batch_are_accepted() {
    let result = run_adapter(b"");
    assert!(result.success && result.stdout.is_empty() && result.stderr.is_empty());
    assert_eq!(run_adapter(b"TURN\t8.41225\t17\nYOUR_TURN\n").stdout, "READY\t17\n");
}

/// Guards against wrong output for a request that is served, and against output that belongs to another
/// batch.
#[test]
fn a_request_is_sent_and_answered() {
    let input = first_batch()
        + "TURN\t100.1\t2\nTO\t4\n"
        + REQUEST
        + "YOUR_TURN\nTURN\t100.2\t3\nTO\t4\nATTEMPT_END\treq-1\t0\t71\tGOOD\t0.1\t1\t3,0.5\nYOUR_TURN\n";
    let result = run_adapter(input.as_bytes());
    assert!(result.success, "{}", result.stderr);
    let lines: Vec<&str> = result.stdout.lines().collect();
    assert_eq!(lines[..4], ["INSTANCE\t4", "AFTER\t0.200000\tsweep", "OBSERVE\t1", "READY\t1"]);
    assert_eq!(lines[4], "INSTANCE\t4");
    assert!(lines[5].starts_with("CALL_OUT\treq-1\t7"), "{}", lines[5]);
    assert_eq!(lines[6..], ["READY\t2", "READY\t3"]);
}

/// Guards against retrying a non-idempotent request that may have been executed, or reporting it as safe to
/// retry.
#[test]
fn an_error_of_a_non_idempotent_request_fails_it() {
    let input = first_batch()
        + "TURN\t101\t2\nTO\t4\n"
        + REQUEST
        + "YOUR_TURN\nTURN\t101\t3\nTO\t4\nATTEMPT_END\treq-1\t0\t71\tBAD\t0.1\t0\t-\nYOUR_TURN\n";
    assert!(run_adapter(input.as_bytes()).stdout.ends_with("INSTANCE\t4\nABORT\treq-1\nREADY\t3\n"));
}

/// Guards against failing a request that was never executed instead of rerouting it or saying that a retry is
/// safe.
#[test]
fn a_refused_attempt_is_rerouted_and_then_the_request_is_refused() {
    let mut input = first_batch() + "TURN\t101\t2\nTO\t4\n" + REQUEST;
    for (n, upstream) in [(0, 71), (1, 72)] {
        input += &format!("ATTEMPT_END\treq-1\t{n}\t{upstream}\tFULL\t0.001\t0\t-\n");
    }
    let stdout = run_adapter((input + "YOUR_TURN\n").as_bytes()).stdout;
    assert_eq!(stdout.matches("CALL_OUT").count(), 2);
    assert!(stdout.contains("DENY\treq-1\t1.000000\n"), "{stdout}");
}

/// Guards against rejecting valid input: restarts within a batch, reused list numbers, ids of requests that
/// have ended, and every kind of event and list update.
#[test]
fn unusual_but_valid_batches_are_accepted() {
    let settings_json = settings_json(1);
    let input = first_batch()
        + &format!(
            "TURN\t102\t2\nTO\t4\n{REQUEST}INVENTORY\t0\t1\nM\t72\tsouth\tstd\t2\tTerminating\t1\t-\n\
             PEERS_KNOWN\tpatch\t2\t0\nINVENTORY\t0\t0\nPEERS_KNOWN\tpatch\t3\t0\n\
             PEERS_KNOWN\tbroken\t3\t0\nREMINDER\tsweep\nHEALTH\tGOOD\t0.1\t71\t1,0.2\n\
             NOTE_FROM\t2\t6869\nNOTE_FROM\t2\t-\nTIMED_OUT_CLIENT\treq-1\nTIMED_OUT_CLIENT\treq-1\n\
             ATTEMPT_END\treq-1\t0\t71\tCXL\t0.1\t1\t-\nATTEMPT_END\treq-1\t0\t71\tCXL\t0.1\t1\t-\n\
             ATTEMPT_END\tnever-seen\t0\t71\tLATE\t0.1\t1\t-\nDESTROY\nASK\treq-2\tread\t0\t7\t1\t0.1\t1\n\
             START\t10\t{settings_json}\n{MEMBER_LIST}PEERS_KNOWN\twhole\t4\t0\nASK\treq-3\tread\t-\t7\t1\t0.1\t3\n\
             FIRST\treq-3\t0\t71\t0.1\nDESTROY\nREMINDER\tsweep\nYOUR_TURN\n"
        );
    let result = run_adapter(input.as_bytes());
    assert!(result.success, "{}", result.stderr);
    assert!(result.stdout.contains("CALL_OUT\treq-3"), "{}", result.stdout);
    assert!(
        !result.stdout.contains("req-2"),
        "req-2 came after its instance was destroyed: {}",
        result.stdout
    );
    assert!(result.stdout.contains("WITHDRAW\treq-1\t0"), "{}", result.stdout);
}

/// Guards against sends to an upstream after the event that reports its drain, within the same batch.
#[test]
fn a_drain_applies_to_the_requests_after_it_in_the_same_batch() {
    let mut input =
        first_batch() + "TURN\t102\t2\nTO\t4\nINVENTORY\t3\t1\nM\t71\tnorth\tstd\t1\tTerminating\t1\t-\n";
    input += "PEERS_KNOWN\tpatch\t2\t3\n";
    for id in 0..20 {
        input += &format!("ASK\tr{id}\tread\tzeta\t-\t2\t-\t0\n");
    }
    let stdout = run_adapter((input + "YOUR_TURN\n").as_bytes()).stdout;
    assert!(stdout.contains("\t72\t") && !stdout.contains("\t71\t"), "{stdout}");
}

/// Guards against state shared between instances: their actions must not depend on which process hosts them.
#[test]
fn one_process_and_three_give_the_same_actions() {
    let input_for = |is_assigned: &dyn Fn(u32) -> bool| {
        let mut input = String::from("TURN\t50\t1\n");
        for instance in (0..6).filter(|&instance| is_assigned(instance)) {
            input += &format!(
                "TO\t{instance}\nSTART\t{}\t{}\n{MEMBER_LIST}PEERS_KNOWN\twhole\t1\t0\n",
                77 + instance,
                settings_json(instance)
            );
        }
        input += "YOUR_TURN\n";
        for batch in 0..40u32 {
            input += &format!("TURN\t{}\t{}\n", 51.0 + f64::from(batch) * 0.05, batch + 2);
            for instance in (0..6).filter(|&instance| is_assigned(instance)) {
                input += &format!("TO\t{instance}\n");
                for n in 0..3 {
                    let class = ["read", "pay", "order"][n];
                    let tenant = ["acme", "zeta"][(batch % 2) as usize];
                    input += &format!("ASK\tq{instance}-{batch}-{n}\t{class}\t{tenant}\t-\t1\t-\t0\n");
                }
                let outcome = ["GOOD", "BAD", "FULL", "LATE"][(batch % 4) as usize];
                for n in 0..3 {
                    let end = u8::from(outcome == "GOOD");
                    input +=
                        &format!("ATTEMPT_END\tq{instance}-{batch}-{n}\t0\t71\t{outcome}\t0.04\t{end}\t-\n");
                }
                input += "REMINDER\tsweep\n";
            }
            input += "YOUR_TURN\n";
        }
        input
    };
    let group_by_instance = |outputs: &[String]| {
        let mut actions_by_instance: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for output in outputs {
            let mut instance = String::new();
            for line in output.lines() {
                match line.strip_prefix("INSTANCE\t") {
                    Some(number) => instance = number.to_owned(),
                    None if line.starts_with("READY") => instance.clear(),
                    None => actions_by_instance.entry(instance.clone()).or_default().push(line.to_owned()),
                }
            }
        }
        actions_by_instance
    };
    let run_instances = |is_assigned: &dyn Fn(u32) -> bool| {
        let result = run_adapter(input_for(is_assigned).as_bytes());
        assert!(result.success, "{}", result.stderr);
        result.stdout
    };
    let one_process = group_by_instance(&[run_instances(&|_| true)]);
    let three_processes: Vec<String> =
        (0..3).map(|remainder| run_instances(&move |instance| instance % 3 == remainder)).collect();
    assert_eq!(one_process.len(), 6);
    assert!(
        one_process.values().all(|actions| actions.len() > 100),
        "each instance has written more than 100 actions"
    );
    assert_eq!(one_process, group_by_instance(&three_processes));
}

/// Guards against accepting malformed input, or rejecting it without saying which line and value are at
/// fault.
#[test]
fn malformed_input_is_reported_with_its_line_number() {
    let prefix = first_batch();
    let prefix_lines = prefix.lines().count();
    let in_second_batch = |line: &str| {
        (format!("{prefix}TURN\t101\t2\nTO\t4\n{line}\nYOUR_TURN\n").into_bytes(), prefix_lines + 3)
    };
    let cases: Vec<((Vec<u8>, usize), &str)> = vec![
        ((b"YOUR_TURN\n".to_vec(), 1), "outside a batch"),
        ((b"TURN\t1\t1\n".to_vec(), 1), "the input ends within a batch"),
        ((b"TURN\tsoon\t1\n".to_vec(), 1), "clock is malformed: \"soon\""),
        ((b"TURN\t-1\t1\n".to_vec(), 1), "clock is malformed"),
        ((b"TURN\t1\t\xff\n".to_vec(), 1), "not UTF-8"),
        ((b"TURN\t1\n".to_vec(), 1), "batch is missing"),
        ((b"TURN\t2\t1\nYOUR_TURN\nTURN\t1\t2\n".to_vec(), 3), "the clock goes back"),
        ((b"TURN\t1\t1\nREMINDER\tsweep\n".to_vec(), 2), "no TO line"),
        ((b"TURN\t1\t1\nTO\t3\nREMINDER\tsweep\n".to_vec(), 3), "instance 3 has not started"),
        ((b"TURN\t1\t1\nTO\t3\nSTART\t1\t{\n".to_vec(), 3), "setup:"),
        ((b"TURN\t1\t1\nTO\t3\nSTART\tx\t{}\n".to_vec(), 3), "nonce64 is malformed"),
        (in_second_batch("HELLO"), "unknown message \"HELLO\""),
        (in_second_batch("ASK\ta\tread"), "owner is missing"),
        (in_second_batch("ASK\ta\tfly\tacme\t-\t1\t-\t0"), "cls is malformed: \"fly\""),
        (in_second_batch("ASK\ta\tread\tnobody\t-\t1\t-\t0"), "owner is malformed"),
        (in_second_batch("ASK\ta\tread\tacme\t-\tNaN\t-\t0"), "ttlS is malformed"),
        (in_second_batch("ASK\ta\tread\tacme\t-\t1\t-\t0\t9"), "more values"),
        (in_second_batch("ATTEMPT_END\ta\t0\t71\tFINE\t0.1\t1\t-"), "outcome is malformed"),
        (in_second_batch("ATTEMPT_END\ta\t0\t71\tGOOD\t0.1\tyes\t-"), "terminal is malformed"),
        (in_second_batch("ATTEMPT_END\ta\t0\t71\tGOOD\t0.1\t1\t1,2,3"), "stats is malformed"),
        (in_second_batch("PEERS_KNOWN\tpatch\t2\t9"), "list 9 has not been sent"),
        (in_second_batch("PEERS_KNOWN\tsome\t2\t0"), "scope is malformed"),
        (in_second_batch("NOTE_FROM\t1\txyz"), "content is malformed"),
        (in_second_batch("M\t1\tnorth\tstd\t1\tReady\t1\t-"), "an entry outside a list"),
        (in_second_batch("INVENTORY\t0\tmany"), "membersList is malformed"),
        ((in_second_batch("INVENTORY\t0\t2").0, prefix_lines + 4), "list 0 lacks 2 of its entries"),
    ];
    for ((input, line), message) in cases {
        let result = run_adapter(&input);
        assert!(!result.success, "{message}: the input was accepted");
        assert_eq!(result.stderr.lines().count(), 1, "{}", result.stderr);
        assert!(result.stderr.contains(&format!("line {line}: ")), "{message}: {}", result.stderr);
        assert!(result.stderr.contains(message), "{message}: {}", result.stderr);
    }
}

/// Guards against starting an instance with invalid settings, or rejecting them without naming the value.
#[test]
fn invalid_settings_are_reported_by_name() {
    for (original, replacement, message) in [
        ("\"balancers\":3", "\"balancers\":0", "the number of replicas is 0"),
        ("\"zone\":\"north\"", "\"zone\":\"west\"", "invalid value for zone: \"west\""),
        ("\"onTimeS\":1", "\"onTimeS\":9", "class 0"),
        ("\"onTimeS\":1", "\"onTimeS\":-1", "invalid value for onTimeS"),
        ("\"cell\"", "\"street\"", "invalid value for dedupScope"),
        ("\"coldShare\":0.2", "\"coldShare\":0", "slow start minimum fraction is out of range"),
    ] {
        let result = run_adapter(first_batch().replace(original, replacement).as_bytes());
        assert!(!result.success && result.stderr.contains("line 3: setup: "), "{}", result.stderr);
        assert!(result.stderr.contains(message), "{message}: {}", result.stderr);
    }
}

/// Guards against panics on damaged input, which is drawn from a fixed seed: it must be accepted or reported
/// with a line number.
#[test]
fn damaged_input_is_accepted_or_reported_without_a_panic() {
    let valid_input =
        format!("{}TURN\t101\t2\nTO\t4\n{REQUEST}REMINDER\tsweep\nYOUR_TURN\n", first_batch()).into_bytes();
    let mut state = 7_u64;
    let mut random_below = |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below
    };
    for _ in 0..150 {
        let mut input = valid_input.clone();
        for _ in 0..=random_below(3) {
            let position = random_below(input.len());
            match random_below(4) {
                0 => input[position] = b"\t\n-09.eN\xff"[random_below(9)],
                1 => drop(input.remove(position)),
                2 => input.insert(position, b'9'),
                _ => input.truncate(position.max(1)),
            }
        }
        let result = run_adapter(&input);
        assert!(!result.stderr.contains("panicked"), "{}", result.stderr);
        assert!(result.success || result.stderr.contains("line "), "{}", result.stderr);
    }
}
