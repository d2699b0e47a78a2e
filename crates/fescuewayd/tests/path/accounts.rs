//! Client accounts with the product's own header fields, through real nodes.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use fescueway_config::{AccountDirectory, AccountKey, AccountPlan, SitePlan};
use fescueway_core::AccountName;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::common::{announce_slots, plan, request, send, start_node};

const KEY: &str = "fescueway-api-key";
const ACCOUNT: &str = "fescueway-account";

/// The header fields of the requests that a backend server received, with their paths.
type ReceivedFields = Arc<Mutex<Vec<(String, HeaderMap)>>>;

/// A site whose accounts `mill` and `quarry` have the keys `key-of-mill` and `key-of-quarry`.
pub fn account_plan(deadline: Duration) -> Arc<SitePlan> {
    let accounts = ["mill", "quarry"].map(|name| AccountPlan {
        name: AccountName::from(name),
        keys: vec![AccountKey::new(&format!("key-of-{name}"))],
        priority: None,
        allotment: None,
    });
    let accounts = AccountDirectory::try_new(accounts).expect("distinct keys");
    Arc::new(SitePlan {
        accounts: Some(Arc::new(accounts)),
        ..(*plan("windows", deadline)).clone()
    })
}

/// Starts a backend server that makes a call through `entry` for each request on `/outer`, with the
/// token of that request and without a key.
async fn start_backend(entry: SocketAddr, received: ReceivedFields) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let received = Arc::clone(&received);
            let service = service_fn(move |request| answer(entry, Arc::clone(&received), request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            tokio::spawn(serving);
        }
    });
    address
}

async fn answer(
    entry: SocketAddr,
    received: ReceivedFields,
    incoming: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = incoming.uri().path().to_owned();
    let fields = incoming.headers().clone();
    let mut response = Response::new(Full::default());
    if path == "/outer" {
        let token = fields["fescueway-call"].to_str().expect("text").to_owned();
        let call = request("GET", "/inner", &[("fescueway-call", &token)], "");
        *response.status_mut() = send(entry, call).await.status();
    }
    if path != "/load" {
        received.lock().expect("no panic").push((path, fields));
    }
    Ok(response)
}

/// Guards against keys that the entry strips before it reads them, and against calls that fail for want of
/// a key.
#[tokio::test]
async fn keys_are_checked_and_replaced_by_the_name_of_the_account() {
    let node = start_node(&account_plan(Duration::from_secs(5)), &[]).await;
    let entry = node.addresses().callers;
    let received = ReceivedFields::default();
    let backend = start_backend(entry, Arc::clone(&received)).await;
    announce_slots(&node, "windows", backend, 100);
    let mill = (KEY, "key-of-mill");
    let outer = request("GET", "/outer", &[mill, (ACCOUNT, "quarry")], "");
    assert_eq!(send(entry, outer).await.status(), 200);
    let rejected: [&[(&str, &str)]; 3] = [&[], &[(KEY, "key-of-mil")], &[mill, mill]];
    for fields in rejected {
        let answer = send(entry, request("POST", "/rejected", fields, "text")).await;
        assert_eq!(answer.status(), 401);
        assert_eq!(answer.headers()["fescueway-outcome"], "not-run");
        assert_eq!(answer.headers()["www-authenticate"], "ApiKey");
    }
    for account in ["mill", "quarry", "mill"] {
        let key = format!("key-of-{account}");
        let fields = [(KEY, &*key), (ACCOUNT, "nobody")];
        send(entry, request("POST", "/order", &fields, "text")).await;
    }
    let received = received.lock().expect("no panic");
    let accounts: Vec<_> = received
        .iter()
        .map(|(path, fields)| {
            let account = fields.get(ACCOUNT).and_then(|name| name.to_str().ok());
            (path.as_str(), account.map(str::to_owned))
        })
        .collect();
    let name = |name: &str| Some(name.to_owned());
    assert_eq!(
        accounts,
        [
            ("/inner", None),
            ("/outer", name("mill")),
            ("/order", name("mill")),
            ("/order", name("quarry")),
            ("/order", name("mill")),
        ]
    );
    assert!(received.iter().all(|(_, fields)| !fields.contains_key(KEY)));
}
