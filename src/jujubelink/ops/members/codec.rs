//! Wire format of datagrams: an HMAC-SHA-256 followed by a protobuf message.
//!
//! The HMAC also covers the receiver's address, so a recorded datagram can only be replayed to the
//! instance that it was sent to. Replaying it there is harmless. Membership changes are ordered by
//! incarnation and refutation numbers that only their subject raises, so an old change is
//! outranked. An old acknowledgement does not match the random number of an outstanding ping. An
//! old ping is answered to the recorded sender with a datagram of the same size, so it cannot be
//! used for amplification. The contained configuration versions are never larger than versions that
//! were once active.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use jujubelink_proto::datagram as proto;
use prost::Message as _;
use sha2::Sha256;

use crate::core::membership::{
    ConfigSummary, Health, MemberRecord, Message, MessageKind, TargetRecord,
};

/// Maximum size of a datagram. It fits into a single packet on common networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Length of the message authentication code.
const MAC_BYTES: usize = 32;

/// Domain separation: other uses of the cluster key have a different context.
const MAC_CONTEXT: &[u8] = b"jujubelink datagram v1";

/// Encodes and authenticates datagrams.
#[derive(Clone)]
pub struct DatagramCodec {
    mac: Hmac<Sha256>,
}

impl DatagramCodec {
    /// Creates a codec for a cluster key.
    pub fn new(cluster_key: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(cluster_key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(MAC_CONTEXT);
        Self { mac }
    }

    /// Encodes a message to `receiver`. Changes that do not fit are omitted and sent again later.
    pub fn encode(&self, receiver: &str, mut message: Message) -> Vec<u8> {
        let mut payload = to_proto(&message).encode_to_vec();
        while MAC_BYTES + payload.len() > MAX_DATAGRAM_BYTES
            && (message.members.pop().is_some() || message.targets.pop().is_some())
        {
            payload = to_proto(&message).encode_to_vec();
        }
        let mut datagram = self.authentication_code(receiver, &payload).to_vec();
        datagram.extend_from_slice(&payload);
        datagram
    }

    /// Decodes a datagram if its authentication code is valid for `receiver`.
    pub fn decode(&self, receiver: &str, datagram: &[u8]) -> Option<Message> {
        let (authentication_code, payload) = datagram.split_at_checked(MAC_BYTES)?;
        self.keyed_mac(receiver, payload)
            .verify_slice(authentication_code)
            .ok()?;
        from_proto(proto::Datagram::decode(payload).ok()?)
    }

    fn keyed_mac(&self, receiver: &str, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&(receiver.len() as u32).to_le_bytes());
        mac.update(receiver.as_bytes());
        mac.update(payload);
        mac
    }

    fn authentication_code(&self, receiver: &str, payload: &[u8]) -> [u8; MAC_BYTES] {
        self.keyed_mac(receiver, payload)
            .finalize()
            .into_bytes()
            .into()
    }
}

fn to_proto(message: &Message) -> proto::Datagram {
    use proto::datagram::Kind;
    let kind = match &message.kind {
        MessageKind::Ping { sequence } => Kind::Ping(proto::Ping {
            sequence: *sequence,
        }),
        MessageKind::PingRequest { sequence, instance } => Kind::PingRequest(proto::PingRequest {
            sequence: *sequence,
            instance: instance.to_string(),
        }),
        MessageKind::Ack { sequence, instance } => Kind::Ack(proto::Ack {
            sequence: *sequence,
            instance: instance.to_string(),
        }),
    };
    let targets = message.targets.iter().map(target_to_proto);
    proto::Datagram {
        kind: Some(kind),
        sender: Some(proto::Sender {
            member: Some(record_to_proto(&message.sender)),
            config_version: message.summary.config_version,
            revocations_hash: message.summary.revocations_hash,
            members_hash: message.members_hash,
        }),
        changes: message.members.iter().map(record_to_proto).collect(),
        target_changes: targets.collect(),
    }
}

fn from_proto(datagram: proto::Datagram) -> Option<Message> {
    use proto::datagram::Kind;
    let kind = match datagram.kind? {
        Kind::Ping(ping) => MessageKind::Ping {
            sequence: ping.sequence,
        },
        Kind::PingRequest(request) => MessageKind::PingRequest {
            sequence: request.sequence,
            instance: request.instance.into(),
        },
        Kind::Ack(ack) => MessageKind::Ack {
            sequence: ack.sequence,
            instance: ack.instance.into(),
        },
    };
    let sender = datagram.sender?;
    let members = datagram.changes.into_iter();
    let targets = datagram.target_changes.into_iter();
    Some(Message {
        kind,
        sender: record_from_proto(sender.member?)?,
        summary: ConfigSummary {
            config_version: sender.config_version,
            revocations_hash: sender.revocations_hash,
        },
        members_hash: sender.members_hash,
        members: members.filter_map(record_from_proto).collect(),
        targets: targets.map(target_from_proto).collect(),
    })
}

/// Converts a member record to its wire format.
pub fn record_to_proto(record: &MemberRecord) -> proto::MemberChange {
    use proto::member_change::State;
    let state = match record.health {
        Health::Alive => State::Alive,
        Health::Suspect => State::Suspect,
        Health::Dead => State::Dead,
    };
    proto::MemberChange {
        instance: record.instance.to_string(),
        incarnation: record.incarnation,
        refutation: record.refutation,
        state: state.into(),
        failure_domain: record.failure_domain.to_string(),
        region: record.region.to_string(),
        leaving: record.is_leaving,
    }
}

/// Converts a member change from its wire format. Returns `None` if its state is unspecified.
pub fn record_from_proto(change: proto::MemberChange) -> Option<MemberRecord> {
    use proto::member_change::State;
    let health = match change.state() {
        State::Unspecified => return None,
        State::Alive => Health::Alive,
        State::Suspect => Health::Suspect,
        State::Dead => Health::Dead,
    };
    Some(MemberRecord {
        instance: change.instance.into(),
        incarnation: change.incarnation,
        refutation: change.refutation,
        health,
        is_leaving: change.leaving,
        failure_domain: Arc::from(change.failure_domain),
        region: Arc::from(change.region),
    })
}

pub(super) fn target_to_proto(record: &TargetRecord) -> proto::TargetChange {
    proto::TargetChange {
        target: record.target.to_string(),
        leaving: record.is_leaving,
        revision: record.revision,
    }
}

pub(super) fn target_from_proto(change: proto::TargetChange) -> TargetRecord {
    TargetRecord {
        target: change.target.into(),
        is_leaving: change.leaving,
        revision: change.revision,
    }
}
