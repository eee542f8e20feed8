//! Membership: failure detection by datagrams, the platform's directory of instances, and the
//! implementation of [`MemberService`].
//!
//! [`MemberService`]: crate::ops::services::MemberService

mod codec;
mod directory;
mod plugin;
mod table;

pub use codec::{DatagramCodec, MAX_DATAGRAM_BYTES, record_from_proto, record_to_proto};
pub use table::{MemberFetchHandler, MemberTable, SummaryHandler};
