//! Paces of targets: what is learned from reported figures and observed times, and how placements use it.

mod decisions;
mod queueing;
