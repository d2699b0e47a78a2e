//! The built command line with valid, invalid and missing arguments, files and answers of nodes.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::mpsc::{Receiver, channel},
    thread,
};

use serde_json::{Value, json};

use crate::support::{CliRun, fescueway};

const CAPROCK: [&str; 2] = ["configs/caprock/base.json", "configs/caprock/texas.json"];

fn with_caprock<'a>(before: &[&'a str]) -> Vec<&'a str> {
    [before, &CAPROCK].concat()
}

fn assert_fails(run: &CliRun, status: i32, message: &str) {
    assert_eq!(run.status, status, "{run:?}");
    assert!(
        run.stderr.contains(message),
        "{message:?} is not in {run:?}"
    );
    assert!(run.stdout.is_empty(), "{run:?}");
}

/// Starts an HTTP server on loopback that answers `answers.len()` requests in order, each with its
/// status and body. Returns its address and a receiver of the request lines.
fn node_stub(answers: Vec<(u16, String)>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, requests) = channel();
    thread::spawn(move || {
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().expect("a caller");
            let mut lines = BufReader::new(stream.try_clone().expect("a clone")).lines();
            let first = lines.next().expect("a request").expect("a line");
            while lines
                .next()
                .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
            {}
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}"
            )
            .expect("an answer");
            if sender.send(first).is_err() {
                return;
            }
        }
    });
    (address, requests)
}

#[test]
fn help_and_version_are_printed() {
    let help = fescueway(&["help"]);
    assert_eq!(help.status, 0);
    for command in [
        "check", "render", "diff", "status", "targets", "drain", "undrain", "burn",
    ] {
        assert!(
            help.stdout.contains(&format!("\n  {command} ")),
            "{command}"
        );
        let command_help = fescueway(&["help", command]);
        assert!(
            command_help.status == 0
                && command_help
                    .stdout
                    .contains(&format!("fescueway {command}"))
        );
        assert_eq!(fescueway(&[command, "--help"]).stdout, command_help.stdout);
    }
    assert_eq!(fescueway(&["--help"]).stdout, help.stdout);
    let version = fescueway(&["--version"]);
    assert!(version.status == 0 && version.stdout.starts_with("fescueway 0."));
}

#[test]
fn commands_page_matches_the_help_output() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/COMMANDS.md");
    let page = fs::read_to_string(path).expect("docs/COMMANDS.md");
    for command in [
        "", "check", "render", "diff", "apply", "status", "history", "targets", "drain", "undrain",
        "burn",
    ] {
        let arguments: Vec<_> = ["help", command]
            .into_iter()
            .filter(|name| !name.is_empty())
            .collect();
        let block = format!("```text\n{}```", fescueway(&arguments).stdout);
        assert!(
            page.contains(&block),
            "docs/COMMANDS.md is stale: `help {command}`"
        );
    }
}

#[test]
fn usage_errors_name_the_fault_or_the_nearest_name() {
    assert_fails(&fescueway(&[]), 2, "no command given");
    assert_fails(&fescueway(&["chek"]), 2, "did you mean `check`?");
    assert_fails(&fescueway(&["help", "brun"]), 2, "did you mean `burn`?");
    assert_fails(
        &fescueway(&["check", "--jsno"]),
        2,
        "did you mean `--json`?",
    );
    assert_fails(
        &fescueway(&["check", "--site", "x"]),
        2,
        "takes no `--site`",
    );
    assert_fails(&fescueway(&["check"]), 2, "no files given");
    assert_fails(&fescueway(&["status"]), 2, "--node");
    assert_fails(&fescueway(&with_caprock(&["apply"])), 2, "no store given");
    assert_fails(&fescueway(&["targets", "file"]), 2, "takes no files");
    assert_fails(
        &fescueway(&["targets", "--node", "localhost:1"]),
        2,
        "an IP address",
    );
    assert_fails(
        &fescueway(&["drain", "--timeout", "soon"]),
        2,
        "a whole number",
    );
    assert_fails(&fescueway(&["drain", "--node"]), 2, "--node");
}

#[test]
fn check_accepts_the_shipped_configuration() {
    let run = fescueway(&with_caprock(&["check"]));
    assert_eq!(
        (run.status, &*run.stdout),
        (0, "valid: 4 services over the sites texas\n")
    );
    let run = fescueway(&with_caprock(&["check", "--json"]));
    let report: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(report["services"], 4);
}

#[test]
fn check_reports_file_line_and_field() {
    let file = std::env::temp_dir().join(format!("fescueway-{}.json", std::process::id()));
    let text = "{\n \"services\": {\n  \"a\": { \"path_prefixes\": [\"/\"], \"hots\": [] } } }";
    fs::write(&file, text).expect("a file");
    let path = file.to_str().expect("UTF-8");
    let plain = fescueway(&["check", path]);
    let json = fescueway(&["check", "--json", path]);
    fs::remove_file(&file).expect("the file");
    let expected = format!("{path}:3: field services.a.hots: found unknown field `hots`");
    assert_fails(&plain, 2, &expected);
    assert!(plain.stderr.contains("did you mean `hosts`?"), "{plain:?}");
    assert_eq!(json.status, 2);
    let report: Value = serde_json::from_str(&json.stdout).expect("JSON");
    assert_eq!(report["errors"][0]["line"], 3);
    assert_eq!(report["errors"][0]["suggestion"], "hosts");
    assert_fails(&fescueway(&["check", path]), 2, "can't read");
}

#[test]
fn render_fills_in_defaults_and_rejects_an_unknown_site() {
    let run = fescueway(&with_caprock(&["render", "--site", "texas"]));
    assert_eq!(run.status, 0, "{run:?}");
    let site: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(
        site["services"]["grinding-history"]["retry"]["max_offers"],
        3
    );
    let windows = &site["services"]["grinding-windows"]["routes"]["read-windows"];
    assert_eq!(windows["priority"], "high");
    assert_fails(
        &fescueway(&with_caprock(&["render", "--site", "texsa"])),
        2,
        "did you mean `texas`?",
    );
    assert_fails(&fescueway(&with_caprock(&["render"])), 2, "--site");
}

#[test]
fn diff_shows_the_fields_that_change() {
    let same = [
        &["diff", "--from", CAPROCK[0], "--from", CAPROCK[1]][..],
        &CAPROCK,
    ]
    .concat();
    let run = fescueway(&same);
    assert_eq!((run.status, &*run.stdout), (0, "nothing changes\n"));
    let pwll = ["configs/pwll/base.json", "configs/pwll/wales.json"];
    let run = fescueway(&[&same[..5], &pwll].concat());
    assert!(
        run.stdout.contains("cap-bands") && run.stdout.contains("rail-profiles"),
        "{run:?}"
    );
    assert_fails(
        &fescueway(&with_caprock(&["diff"])),
        2,
        "specify either --store or --from, but not both",
    );
}

fn node_status(in_force: u64, in_flight: u32) -> String {
    let status = json!({
        "node": "00000000000000aa", "domain": "south", "site": "wales", "revision": 7,
        "in_force": in_force, "is_draining": true, "in_flight": in_flight, "targets": 4,
        "store": "reachable", "peers": 3, "uptime_ms": 65_000,
    });
    status.to_string()
}

#[test]
fn status_shows_nodes_that_lag_or_do_not_answer() {
    let (node, _requests) = node_stub(vec![(200, node_status(7, 0)), (200, node_status(6, 0))]);
    let node = node.to_string();
    let run = fescueway(&["status", "--node", &node]);
    assert!(
        run.status == 0 && run.stdout.contains("00000000000000aa"),
        "{run:?}"
    );
    assert!(
        run.stdout.contains("1m5s") && run.stdout.contains("draining"),
        "{run:?}"
    );
    assert_eq!(fescueway(&["status", "--node", &node]).status, 1);
    // Nothing listens on port 1 of loopback.
    let run = fescueway(&["status", "--json", "--node", "127.0.0.1:1"]);
    assert_eq!(run.status, 1);
    assert!(run.stdout.contains("can't connect"), "{run:?}");
}

/// Nodes of earlier versions report neither, as in the test above.
#[test]
fn status_shows_cold_targets_and_evacuated_domains() {
    let status = |domain: &str, evacuated: &[&str]| {
        let status = json!({
            "node": "00000000000000aa", "domain": domain, "site": "wales", "revision": 7,
            "in_force": 7, "targets": 4, "store": "reachable", "peers": 3, "uptime_ms": 65_000,
            "cold_targets": [{"service": "bands", "left_ms": 2_250}], "evacuated": evacuated,
        });
        (200, status.to_string())
    };
    let answers = vec![status("south", &[]), status("south", &["north", "south"])];
    let (node, _requests) = node_stub(answers);
    let node = node.to_string();
    let run = fescueway(&["status", "--node", &node]);
    assert!(run.stdout.contains(" cold "), "{run:?}");
    assert!(
        run.stdout
            .contains("the target of bands is cold for 2250 ms more"),
        "{run:?}"
    );
    assert!(!run.stdout.contains("evacuated"), "{run:?}");
    let run = fescueway(&["status", "--node", &node]);
    assert!(run.stdout.contains(" evacuated "), "{run:?}");
    assert!(
        run.stdout.contains("evacuated domains north, south"),
        "{run:?}"
    );
}

#[test]
fn drain_waits_until_no_request_runs() {
    let answers = vec![
        (200, String::new()),
        (200, node_status(7, 2)),
        (200, node_status(7, 0)),
        (200, String::new()),
        (200, node_status(7, 2)),
        (503, String::from("no backend server is announced")),
    ];
    let (node, requests) = node_stub(answers);
    let node = node.to_string();
    let run = fescueway(&["drain", "--wait", "--node", &node]);
    assert!(
        run.status == 0 && run.stdout.contains("is drained"),
        "{run:?}"
    );
    assert_eq!(requests.recv().as_deref(), Ok("POST /drain HTTP/1.1"));
    let run = fescueway(&["drain", "--wait", "--timeout", "0", "--node", &node]);
    assert_fails(&run, 1, "2 requests still run");
    let run = fescueway(&["undrain", "--node", &node]);
    assert_fails(&run, 1, "no backend server is announced");
    assert_fails(&fescueway(&["drain"]), 2, "--node");
}

#[test]
fn targets_are_listed_with_their_load() {
    let target = |node: u64, notice: Value| {
        json!({
            "node": node, "service": "cap-bands", "peer_address": "127.0.0.1:7001",
            "site": "wales", "domain": "south", "slots": 12, "connections": 200, "state": "draining",
            "load": { "in_flight": 5, "queued": 1, "limit": 9, "service_time_us": 0, "wait_us": 0,
                      "age_us": 0, "failed_permille": 0, "is_draining": true, "notice": notice },
        })
    };
    let notice = json!({
        "server": { "name_digest": 7, "born_ms": 0 },
        "rate_limit": { "milli_per_s": 28_200 }, "is_leaving": true,
    });
    let list = json!({ "targets": [target(171, notice), target(170, Value::Null)] });
    let (node, _requests) = node_stub(vec![(200, list.to_string()), (200, String::from("{"))]);
    let run = fescueway(&["targets", "--node", &node.to_string()]);
    let cells = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
    let rows: Vec<_> = run.stdout.lines().skip(1).map(cells).collect();
    let expected = [
        "cap-bands 00000000000000ab wales south 127.0.0.1:7001 leaving 12 9 5 1 28.2",
        "cap-bands 00000000000000aa wales south 127.0.0.1:7001 draining 12 9 5 1 -",
    ];
    assert_eq!(rows, expected, "{run:?}");
    let run = fescueway(&["targets", "--node", &node.to_string()]);
    assert_fails(&run, 1, "can't parse the response");
}

#[test]
fn burn_sums_over_nodes_and_writes_the_plot() {
    let part = json!({ "services": [{
        "site": "wales", "service": "cap-bands", "availability": 0.999,
        "windows": { "5m": { "good": 98, "bad": 2 }, "1h": { "good": 980, "bad": 20 } },
        "hours": [{ "good": 980, "bad": 20 }],
    }] });
    let (one, _requests) = node_stub(vec![(200, part.to_string()); 2]);
    let (two, _requests) = node_stub(vec![(200, part.to_string()); 2]);
    let (one, two) = (one.to_string(), two.to_string());
    let file = std::env::temp_dir().join(format!("fescueway-{}.svg", std::process::id()));
    let path = file.to_str().expect("UTF-8");
    let run = fescueway(&["burn", "--node", &one, "--node", &two, "--svg", path]);
    let svg = fs::read_to_string(&file).expect("a picture");
    fs::remove_file(&file).expect("the picture");
    assert!(svg.contains("wales cap-bands"));
    assert!(
        run.stdout.contains("20.00") && run.stdout.contains("page"),
        "{run:?}"
    );
    let run = fescueway(&["burn", "--json", "--node", &one, "--node", &two]);
    let report: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(report["services"][0]["windows"]["1h"]["bad"], 40);
}
