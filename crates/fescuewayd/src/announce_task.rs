//! Tells the peers in the settings what the backend servers of this node announced.

use std::{net::SocketAddr, time::Duration};

use fescueway_core::TargetRecord;
use fescueway_proxy::ProxyState;
use fescueway_wire::{ControlKind, PREFIX_BYTES, decode_payload, encode_frame};
use tokio::time::timeout;

/// How often the targets are told again, for peers that started later.
const REPEAT: Duration = Duration::from_secs(2);

/// How long a peer may take to answer.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Starts to tell the peers, and to listen to them.
pub fn run_announcements(state: &ProxyState, seed_peers: &[SocketAddr]) {
    let listener = state.clone();
    let controls = state.controls();
    controls.register(ControlKind::Announce, move |_peer, body| {
        let state = listener.clone();
        async move { take_targets(&state, &body) }
    });
    for peer in seed_peers {
        if *peer != state.options().peer_address {
            state.tasks().spawn(tell_peer(state.clone(), *peer));
        }
    }
}

/// Takes in the targets of a peer.
fn take_targets(state: &ProxyState, body: &[u8]) -> Result<Vec<u8>, String> {
    let payload = body.get(PREFIX_BYTES..).unwrap_or_default();
    let records: Vec<TargetRecord> = decode_payload(payload).map_err(|error| error.to_string())?;
    for record in &records {
        state.set_target(record);
    }
    Ok(Vec::new())
}

/// Tells one peer, again and again.
async fn tell_peer(state: ProxyState, peer: SocketAddr) {
    let mut announced = state.announced();
    loop {
        let records = announced.borrow_and_update().clone();
        if let Ok(body) = encode_frame(&records)
            && !records.is_empty()
        {
            let call = state
                .peers()
                .call(peer, ControlKind::Announce, body, CALL_TIME);
            // A peer that is not there yet hears it the next time.
            let _ = call.await;
        }
        if let Ok(Err(_gone)) = timeout(REPEAT, announced.changed()).await {
            return;
        }
    }
}
