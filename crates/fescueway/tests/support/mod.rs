//! Runs the built command line, and stands in for a node.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::Command,
    sync::mpsc::{Receiver, channel},
    thread,
};

/// What a run came to.
#[derive(Debug)]
pub(crate) struct CliRun {
    pub(crate) status: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs `fescueway` in the root of the repository.
pub(crate) fn fescueway(arguments: &[&str]) -> CliRun {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_fescueway"))
        .args(arguments)
        .current_dir(root)
        .env("USER", "tester")
        .output()
        .expect("the command line runs");
    CliRun {
        status: output.status.code().expect("an exit status"),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Answers `answers.len()` requests on loopback, each with its status and body, and tells the
/// request lines.
pub(crate) fn node_stub(answers: Vec<(u16, String)>) -> (SocketAddr, Receiver<String>) {
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
