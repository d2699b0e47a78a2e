//! A call that a backend server makes inherits from the call that it serves.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::common::{announce_slots, header, node, plan, request, send};

/// A backend server that calls `entry` for each request, and tells the time left that its own
/// call and the inner one were given.
async fn start_calling_backend(entry: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let service = service_fn(move |request| call_on(entry, request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            tokio::spawn(serving);
        }
    });
    address
}

/// Answers the innermost request; passes any other on with the call's token.
async fn call_on(
    entry: SocketAddr,
    incoming: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let field = |name: &str| {
        let value = incoming.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let time_left = field("fescueway-time-left-ms");
    let mut answer = Response::new(Full::default());
    let levels = incoming.uri().path().matches("/deeper").count();
    if levels > 0 {
        let path = "/deeper".repeat(levels - 1) + "/end";
        let token = field("fescueway-call");
        let inner = send(
            entry,
            request("GET", &path, &[("fescueway-call", &token)], ""),
        )
        .await;
        *answer.status_mut() = inner.status();
        let inner_time = header(&inner, "x-time-left").to_owned();
        answer
            .headers_mut()
            .insert("x-inner", inner_time.parse().expect("a value"));
    }
    answer
        .headers_mut()
        .insert("x-time-left", time_left.parse().expect("a value"));
    Ok(answer)
}

#[tokio::test]
async fn deadline_and_depth_pass_along() {
    let node = node(&plan("windows", Duration::from_secs(30)), &[]).await;
    let entry = node.addresses().callers;
    announce_slots(&node, "windows", start_calling_backend(entry).await, 100);

    let hurried = [("fescueway-time-left-ms", "2000")];
    let response = send(entry, request("GET", "/deeper/end", &hurried, "")).await;
    assert_eq!(response.status(), 200);
    let inner: u64 = header(&response, "x-inner").parse().expect("a number");
    assert!((1..=2_000).contains(&inner), "{inner} ms");

    let eight = format!("{}/end", "/deeper".repeat(8));
    assert_eq!(
        send(entry, request("GET", &eight, &[], "")).await.status(),
        200
    );
    let nine = format!("{}/end", "/deeper".repeat(9));
    assert_eq!(
        send(entry, request("GET", &nine, &[], "")).await.status(),
        508
    );
}
