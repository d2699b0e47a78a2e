//! An HTTP/1.1 request has exactly one Host header (RFC 9112, section 3.2).

use fescueway_testkit::{BackendPlan, BackendStub};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{WAIT_TIMEOUT, announce, plan, start_node};

#[tokio::test]
async fn a_request_with_no_or_two_host_headers_is_malformed() {
    let node = start_node(&plan("windows", WAIT_TIMEOUT), &[]).await;
    let backend = BackendStub::start(BackendPlan::default())
        .await
        .expect("a free port");
    announce(&node, "windows", backend.address());
    let cases = [
        ("HTTP/1.1", "host: test\r\n", "200"),
        ("HTTP/1.1", "", "400"),
        ("HTTP/1.1", "host: test\r\nhost: test\r\n", "400"),
        ("HTTP/1.0", "", "200"),
        ("HTTP/1.0", "host: a\r\nhost: b\r\n", "400"),
    ];
    for (version, headers, status) in cases {
        let mut socket = TcpStream::connect(node.addresses().callers)
            .await
            .expect("the node listens");
        let head = format!("GET /windows {version}\r\n{headers}connection: close\r\n\r\n");
        socket
            .write_all(head.as_bytes())
            .await
            .expect("an open socket");
        let mut response = String::new();
        socket
            .read_to_string(&mut response)
            .await
            .expect("a response");
        let actual_status = response.split(' ').nth(1);
        assert_eq!(actual_status, Some(status), "{head:?}: {response}");
    }
    assert_eq!(backend.tally().runs, 2);
}
