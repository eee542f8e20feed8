//! Workload generator and simulation that the benchmarks share. The benchmarks themselves are the
//! binaries of this crate.

pub mod model;
pub mod workload;
