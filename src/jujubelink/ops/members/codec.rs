//! Datagrams on the wire: an HMAC-SHA-256 and a protobuf message.
//!
//! The code also covers the receiver's address, so a recorded datagram can only be replayed to the
//! instance that it was sent to. There it does no harm: statements are ordered by numbers that only
//! their subject raises, so an old one is outranked; an old acknowledgement repeats no outstanding
//! random number; an old ping is answered to the recorded sender with an equally large datagram;
//! and the configuration versions in it are not larger than ones that were in force.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use jujubelink_proto::datagram as proto;
use prost::Message as _;
use sha2::Sha256;

use crate::core::membership::{
    ConfigSummary, Health, MemberRecord, Message, MessageKind, TargetRecord,
};

/// Largest datagram; it fits into one packet of the usual networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Length of the authentication code.
const MAC_BYTES: usize = 32;

/// Text under the HMAC; another use of the cluster key has another text.
const MAC_CONTEXT: &[u8] = b"jujubelink datagram v1";

/// Encodes and authenticates datagrams.
#[derive(Clone)]
pub struct DatagramCodec {
    mac: Hmac<Sha256>,
}

impl DatagramCodec {
    /// A codec for a cluster key.
    pub fn new(cluster_key: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(cluster_key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(MAC_CONTEXT);
        Self { mac }
    }

    /// The datagram of a message to `receiver`. Statements that do not fit are left out; they are
    /// sent again later.
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

    /// The message of a datagram, if its authentication code is right for `receiver`.
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

/// The message of a statement about a member.
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

/// The statement about a member of a message, if its state is known.
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
