//! `fescueway trace` on log lines of several nodes.

use std::{fs, path::PathBuf};

use crate::support::fescueway;

/// Log lines of two nodes as a collector stores them: each has the name of its VM as a prefix. One
/// line is of another program, one is of another request, and the last is truncated.
const LINES: &str = r#"
vm-3 {"time":"2026-10-14T09:14:30.828Z","level":"INFO","event":1112,"message":"request offered again","fields":{"id":"a1f0","node":"a754","target":"434e","last_target":"a6f3","cause":"queue-full","took_us":"3670","offers_left":"1","runs_left":"2","time_left_us":"2993266","suppressed":"0"}}
vm-3 {"time":"2026-10-14T09:14:30.832Z","level":"INFO","event":1103,"message":"request refused","fields":{"id":"a1f0","node":"a754","route":"look","service":"bands","status":"503","reason":"deadline-too-short","stopped_by":"budget-spent","offers":"2","latency_us":"7655","suppressed":"3"}}
vm-3 {"time":"2026-10-14T09:14:30.830Z","level":"INFO","event":1100,"message":"request answered","fields":{"id":"b2","node":"a754","route":"look","service":"bands","target":"434e","status":"200","offers":"1","hedges":"0","latency_us":"7655","objective_us":"40000","suppressed":"0"}}
vm-7 {"time":"2026-10-14T09:14:30.826Z","level":"INFO","event":1121,"message":"offer refused by this host","fields":{"id":"a1f0","node":"a6f3","entry":"a754","service":"bands","reason":"queue-full","suppressed":"0"}}
vm-7 started something {else
vm-7 {"time":"2026-10-14T09:14:30.000Z","level":"INFO","event":1130,"message":"target ejected","fields":{"node":"a754","target":"a6f3","service":"bands","cause":"failed answers","suppressed":"0"}}
vm-7 {"time":"2026-10-14T09:14:20.000Z","level":"INFO","event":2002,"message":"node down","fields":{"node":"a6f3","cause":"silent"}}
vm-7 {"time":"2026-10-14T09:14:30.830Z","level":"INFO","event":1121,"message":"offer refus
"#;

fn log_file(name: &str) -> String {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, LINES).expect("a folder for temporary files");
    file.display().to_string()
}

#[test]
fn events_of_several_nodes_are_printed_in_order_of_time() {
    let file = log_file("trace-timeline.log");
    let run = fescueway(&["trace", "a1f0", &file]);
    assert_eq!(run.status, 0, "{run:?}");
    let lines: Vec<_> = run.stdout.lines().collect();
    let expected = [
        "    -826 ms ~ E1130 target ejected node=a754 target=a6f3 service=bands cause=\"failed answers\"",
        "      +0 ms   E1121 offer refused by this host node=a6f3 entry=a754 service=bands reason=queue-full",
        "      +2 ms   E1112 request offered again node=a754 target=434e last_target=a6f3 cause=queue-full",
        "      +6 ms   E1103 request refused node=a754 route=look service=bands status=503",
    ];
    assert_eq!(lines.len(), expected.len(), "{}", run.stdout);
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.contains(expected), "{expected:?} is not in {line:?}");
    }
    assert!(lines[3].ends_with("stopped_by=budget-spent offers=2 latency_us=7655 suppressed=3"));
}

#[test]
fn json_output_marks_context_events() {
    let file = log_file("trace-json.log");
    let run = fescueway(&["trace", "--json", "a1f0", &file]);
    let timeline: serde_json::Value = serde_json::from_str(&run.stdout).expect("JSON");
    let context_flags: Vec<_> = timeline
        .as_array()
        .expect("a list")
        .iter()
        .map(|line| line["is_context"].as_bool())
        .collect();
    assert_eq!(
        context_flags,
        [Some(true), Some(false), Some(false), Some(false)]
    );
}

#[test]
fn unknown_id_and_missing_file_have_different_exit_statuses() {
    let file = log_file("trace-unknown.log");
    let unknown = fescueway(&["trace", "zz", &file]);
    assert_eq!(unknown.status, 1);
    assert!(
        unknown
            .stderr
            .contains("no event of request zz in 6 events"),
        "{unknown:?}"
    );
    let missing = fescueway(&["trace", "a1f0", "/nonexistent/log"]);
    assert_eq!(missing.status, 2);
    assert!(missing.stderr.contains("can't read"), "{missing:?}");
    assert_eq!(fescueway(&["trace", "a1f0"]).status, 2);
    assert_eq!(fescueway(&["trace"]).status, 2);
}
