#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: those in `standin-2` use the standard library only, and `standin-own`
# starts the project's own. Their libraries are those of the deploy file's build, in the versions of the project's lock.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
cp Cargo.lock review/standin-own/Cargo.lock
build=(cargo build --release --manifest-path review/standin-own/Cargo.toml --target-dir target/review-2/cargo)
"${build[@]}" --offline || "${build[@]}"
