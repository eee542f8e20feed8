//! Crowds of clients that are outside of the operator's control, against the real binary on a small machine.
//!
//! Each test checks that the process lives, that its memory with the bytes that it has not read yet and its open
//! descriptors stay within those of the machine in its settings, and that an ordinary request is served while the
//! crowd stays open and afterwards. None checks times or how many requests of the crowd are served.

mod bodies;
mod crowd;
mod heads;
mod http2;
mod machine;
mod mixed;
mod own_deployment;
mod responses;
mod room;
mod shares;
