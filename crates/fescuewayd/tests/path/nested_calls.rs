//! A call that a backend server makes inherits the deadline and the depth of the call it serves.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::common::{announce_slots, header, plan, request, send, start_node};

/// Starts a backend server that makes nested calls through `entry`. Its responses report the time
/// left of the call it serves and of the nested call.
async fn start_calling_backend(entry: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let service = service_fn(move |request| serve_call(entry, request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            tokio::spawn(serving);
        }
    });
    address
}

/// Answers the innermost request. For any other, makes a nested call with the token of the call.
async fn serve_call(
    entry: SocketAddr,
    incoming: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let header_text = |name: &str| {
        let value = incoming.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let time_left = header_text("fescueway-time-left-ms");
    let mut response = Response::new(Full::default());
    let depth = incoming.uri().path().matches("/deeper").count();
    if depth > 0 {
        let path = "/deeper".repeat(depth - 1) + "/end";
        let token = header_text("fescueway-call");
        let inner = send(
            entry,
            request("GET", &path, &[("fescueway-call", &token)], ""),
        )
        .await;
        *response.status_mut() = inner.status();
        let inner_time = header(&inner, "x-time-left").to_owned();
        response
            .headers_mut()
            .insert("x-inner", inner_time.parse().expect("a value"));
    }
    response
        .headers_mut()
        .insert("x-time-left", time_left.parse().expect("a value"));
    Ok(response)
}

#[tokio::test]
async fn nested_calls_inherit_the_deadline_and_the_depth() {
    let node = start_node(&plan("windows", Duration::from_secs(30)), &[]).await;
    let entry = node.addresses().callers;
    announce_slots(&node, "windows", start_calling_backend(entry).await, 100);

    let short_time_left = [("fescueway-time-left-ms", "2000")];
    let response = send(entry, request("GET", "/deeper/end", &short_time_left, "")).await;
    assert_eq!(response.status(), 200);
    let inner: u64 = header(&response, "x-inner").parse().expect("a number");
    assert!((1..=2_000).contains(&inner), "{inner} ms");

    let depth_eight = format!("{}/end", "/deeper".repeat(8));
    assert_eq!(
        send(entry, request("GET", &depth_eight, &[], ""))
            .await
            .status(),
        200
    );
    let depth_nine = format!("{}/end", "/deeper".repeat(9));
    assert_eq!(
        send(entry, request("GET", &depth_nine, &[], ""))
            .await
            .status(),
        508
    );
}
