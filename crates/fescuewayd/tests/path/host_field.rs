//! A request names its host once (RFC 9112, section 3.2).

use fescueway_testkit::{BackendPlan, BackendStub};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{SOON, announce, node, plan};

#[tokio::test]
async fn a_request_without_a_host_or_with_two_is_malformed() {
    let node = node(&plan("windows", SOON), &[]).await;
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a port");
    announce(&node, "windows", backend.address());
    let cases = [
        ("HTTP/1.1", "host: test\r\n", "200"),
        ("HTTP/1.1", "", "400"),
        ("HTTP/1.1", "host: test\r\nhost: test\r\n", "400"),
        ("HTTP/1.0", "", "200"),
        ("HTTP/1.0", "host: a\r\nhost: b\r\n", "400"),
    ];
    for (version, fields, status) in cases {
        let mut socket = TcpStream::connect(node.addresses().callers)
            .await
            .expect("it listens");
        let head = format!("GET /windows {version}\r\n{fields}connection: close\r\n\r\n");
        socket.write_all(head.as_bytes()).await.expect("it reads");
        let mut answer = String::new();
        socket.read_to_string(&mut answer).await.expect("an answer");
        let got = answer.split(' ').nth(1);
        assert_eq!(got, Some(status), "{head:?}: {answer}");
    }
    assert_eq!(backend.tally().runs, 2);
}
