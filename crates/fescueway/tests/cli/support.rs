//! Helpers that run the built command line and send HTTP requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::Command,
};

/// Exit status and output of a run.
#[derive(Debug)]
pub(crate) struct CliRun {
    pub(crate) status: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs `fescueway` in the root of the repository and waits for its end.
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
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Sends a GET on its own connection and reads the whole response.
pub(crate) fn get(address: SocketAddr, host: &str, path: &str) -> String {
    send(address, &format!("GET {path} HTTP/1.1\r\nhost: {host}"), "")
}

/// Sends a POST on its own connection and reads the whole response.
pub(crate) fn post(address: SocketAddr, path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: node\r\ncontent-length: {length}");
    send(address, &head, body)
}

/// Sends a request on its own connection and reads the whole response.
fn send(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a listener");
    write!(stream, "{head}\r\nconnection: close\r\n\r\n{body}").expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    String::from_utf8_lossy(&answer).into_owned()
}
