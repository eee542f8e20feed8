//! Protocol Buffers messages and gRPC services between jujubelink instances.
//!
//! The modules are generated from `proto/*.proto` by the example `generate`. The generated files are
//! committed, so that a build needs no Protocol Buffers compiler.

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jujubelink.datagram.rs"]
pub mod datagram;

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jujubelink.limits.rs"]
pub mod limits;

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/jujubelink.spread.rs"]
pub mod spread;
