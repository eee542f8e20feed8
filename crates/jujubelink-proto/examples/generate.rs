//! Regenerates `src/generated` from `proto/*.proto`, without `protoc`.
//!
//! Run `cargo run -p jujubelink-proto --example generate` after changing a `.proto` file.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let files = ["datagram.proto", "limits.proto", "spread.proto"].map(|name| proto.join(name));
    let descriptors = protox::compile(&files, [&proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
