//! Tasks that send and receive messages, register this instance in the store, and serve requests of
//! peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use prost::Message;

use super::message::PeerMessage;
use super::peers::{EVIDENCE_PATH, POLICY_PATH, Peers, TARGETS_PATH};
use super::updates::{CACHE_UPDATES_PATH, UPDATES_PATH};
use crate::core::fleet::MIN_SEND_INTERVAL;
use crate::ops::canary::{RolloutsMessage, RoundMessages};
use crate::ops::quarantine::Quarantine;
use crate::ops::services::ConfigService;
use crate::ops::store::InstanceRecord;
use crate::util::http::{Body, Handler, empty, full, serve_listener};
use crate::util::net::{Datagram, Listener};

/// Larger than any UDP datagram.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Delay before the next receive after a failed one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time between reads of the instance list. A new instance sends messages to all instances that it
/// finds in the list, so the periodic read only finds instances whose messages were lost.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before the next call to the store after a failed one.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

pub(super) async fn receive(peers: Rc<Peers>, socket: Rc<Datagram>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match PeerMessage::decode(&buffer[..length]) {
                Ok(message) => peers.on_message(message, from),
                Err(error) => {
                    slog::warn!(peers.context.log(), "cannot decode a message from a peer";
                        "from" => from.to_string(), "error" => %error);
                }
            },
            Err(error) => {
                slog::warn!(peers.context.log(), "cannot receive messages from peers";
                    "error" => %error);
                peers.context.timers().sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

pub(super) async fn send(peers: Rc<Peers>, socket: Rc<Datagram>) {
    let mut round = 0;
    loop {
        let addresses = peers.addresses_due(round);
        let mut report_addresses = peers.short_report_addresses(&addresses, round);
        let rollouts = RolloutParts::new(peers.canary().round_messages(round));
        let rollout_addresses: BTreeSet<_> = rollouts.addresses(&addresses);
        report_addresses.retain(|address| !rollout_addresses.contains(address));
        round += 1;
        let part_for = |address| {
            let mut part = peers.confirmation(address).encode_to_vec();
            rollouts.append(address, &mut part);
            part
        };
        send_to_all(&peers, &socket, addresses, Peers::message, part_for);
        // Shares count from the message that is confirmed.
        send_to_all(
            &peers,
            &socket,
            rollout_addresses,
            Peers::short_report,
            part_for,
        );
        let nothing = |_| Vec::new();
        send_to_all(
            &peers,
            &socket,
            report_addresses,
            Peers::short_report,
            nothing,
        );
        peers.refresh_contacts();
        peers.buckets.log_usage(peers.context.log(), peers.now());
        peers.context.timers().sleep(MIN_SEND_INTERVAL).await;
    }
}

/// The encoded part on roll-outs of the messages of one round.
struct RolloutParts {
    messages: RoundMessages,
    brief: Vec<u8>,
    report: Vec<u8>,
    question: Vec<u8>,
}

impl RolloutParts {
    fn new(mut messages: RoundMessages) -> Self {
        let encode = |rollouts: Option<RolloutsMessage>| {
            let message = PeerMessage {
                rollouts,
                ..PeerMessage::default()
            };
            message.encode_to_vec()
        };
        let question = RolloutsMessage {
            wants_share: true,
            ..RolloutsMessage::default()
        };
        Self {
            brief: encode(messages.brief.take()),
            report: encode(messages.report.take()),
            question: encode(Some(question)),
            messages,
        }
    }

    /// Returns the addresses that get a message on roll-outs only, beside those that get a full one.
    fn addresses(&self, full: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        let addresses = self.messages.addresses.difference(full);
        addresses.copied().collect()
    }

    fn append(&self, address: SocketAddr, bytes: &mut Vec<u8>) {
        bytes.extend(match self.messages.reported_to.contains(&address) {
            true => &self.report,
            false => &self.brief,
        });
        if self.messages.asked == Some(address) {
            bytes.extend(&self.question);
        }
    }
}

/// Sends a message that consists of a part for all peers and a part for each one. Encoded parts are joined by
/// concatenation, which merges their fields.
fn send_to_all(
    peers: &Peers,
    socket: &Datagram,
    addresses: impl IntoIterator<Item = SocketAddr>,
    message: impl Fn(&Peers) -> PeerMessage,
    part_for: impl Fn(SocketAddr) -> Vec<u8>,
) {
    let mut addresses = addresses.into_iter().peekable();
    if addresses.peek().is_none() {
        return;
    }
    let mut bytes = message(peers).encode_to_vec();
    let common_bytes = bytes.len();
    for address in addresses {
        bytes.truncate(common_bytes);
        bytes.extend(part_for(address));
        if let Err(error) = socket.send_to(&bytes, address) {
            slog::debug!(peers.context.log(), "cannot send a message to a peer";
                "address" => address.to_string(), "error" => %error);
        }
    }
}

/// Writes the record of this instance to the store, then reads the list of instances periodically
/// and removes expired records.
pub(super) async fn maintain_registration(peers: Rc<Peers>, local_record: InstanceRecord) {
    let timers = *peers.context.timers();
    let store = Rc::clone(peers.fleet.store());
    let eras = Rc::clone(peers.fleet.eras());
    let mut restores = register(&peers, &local_record).await;
    loop {
        if eras.restores() != restores {
            // The copy may lack the record. Its former revision has no place in the order of instances.
            peers.record_registration(0);
            restores = register(&peers, &local_record).await;
        }
        match store.list_instances().await {
            Ok(listed) => {
                peers.fleet.log_entry_faults(&listed.faults);
                let expired = peers.apply_instance_list(listed.entries);
                if peers.rank() == 0 {
                    for name in expired {
                        if let Err(error) = store.remove_instance(&name).await {
                            slog::warn!(peers.context.log(),
                                "cannot remove an expired instance record";
                                "peer" => &*name, "error" => %error);
                        }
                    }
                }
                let next_read = Box::pin(timers.sleep(INSTANCE_LIST_INTERVAL));
                let restored = eras.restored();
                if eras.restores() == restores {
                    select(next_read, Box::pin(restored)).await;
                }
            }
            Err(error) => {
                slog::warn!(peers.context.log(), "cannot read the list of instances from the store";
                    "error" => %error);
                timers.sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the record of this instance to the store. Returns the number of restores before the write that
/// was accepted.
async fn register(peers: &Peers, local_record: &InstanceRecord) -> u64 {
    let timers = *peers.context.timers();
    loop {
        let restores = peers.fleet.eras().restores();
        let written = peers.fleet.store().write_instance(local_record.clone());
        match written.await {
            Ok(revision) => {
                peers.record_registration(revision);
                return restores;
            }
            Err(error) => {
                slog::warn!(peers.context.log(), "cannot write the instance record to the store";
                    "error" => %error);
                timers.sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Updates the rate limits whenever the configuration changes.
pub(super) async fn sync_limits(peers: Rc<Peers>) {
    let config = peers.context.service::<dyn ConfigService>();
    loop {
        let changed = config.changed();
        peers.apply_limits();
        changed.await;
    }
}

/// Serves the configuration and the target list to peers that cannot reach the store, and updates
/// to peers that do not watch the store.
pub(super) async fn serve_peers(peers: Rc<Peers>, listener: Listener) {
    let log = peers.context.log().clone();
    serve_listener(listener, PeerRequestHandler(peers), |error| {
        slog::warn!(log, "cannot accept a peer connection"; "error" => %error);
    })
    .await;
}

#[derive(Clone)]
struct PeerRequestHandler(Rc<Peers>);

impl Handler for PeerRequestHandler {
    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let body = match request.uri().path() {
            POLICY_PATH => self.0.fleet.raw_policy(),
            TARGETS_PATH => self.0.encode(&self.0.fleet.target_update_since(0, None)),
            EVIDENCE_PATH => {
                let quarantine = self.0.context.service::<Quarantine>();
                let evidence = quarantine.stored_evidence();
                evidence.and_then(|evidence| self.0.encode(&evidence))
            }
            UPDATES_PATH => {
                let query = request.uri().query().unwrap_or_default();
                self.0.wait_for_update(query).await
            }
            CACHE_UPDATES_PATH => {
                let query = request.uri().query().unwrap_or_default();
                self.0.cache_updates(query)
            }
            _ => None,
        };
        let mut response = Response::new(body.map_or_else(empty, full));
        if http_body::Body::is_end_stream(response.body()) {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }
}
