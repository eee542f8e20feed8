//! Frames of HTTP/2, for clients that do not keep to the protocol's flow.

/// First bytes of a connection.
pub(crate) const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Types of frames.
pub(crate) const DATA: u8 = 0;
pub(crate) const HEADERS: u8 = 1;
pub(crate) const SETTINGS: u8 = 4;
pub(crate) const CONTINUATION: u8 = 9;

/// Flags of frames.
pub(crate) const END_STREAM: u8 = 1;
pub(crate) const END_HEADERS: u8 = 4;

/// Returns an HTTP/2 frame.
pub(crate) fn http2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let header = [length[1], length[2], length[3], kind, flags];
    [&header[..], &stream.to_be_bytes(), payload].concat()
}

/// Returns the start of a connection: the preface and the client's settings.
pub(crate) fn http2_start() -> Vec<u8> {
    [HTTP2_PREFACE, &http2_frame(SETTINGS, 0, 0, &[])].concat()
}

/// Returns the header block of a POST request.
pub(crate) fn http2_head(authority: &str, path: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    // `:method: POST` and `:scheme: http`, then `:path` and `:authority` with literal values.
    let mut block = vec![0x83, 0x86];
    block.push(0x04);
    push_text(&mut block, path);
    block.push(0x01);
    push_text(&mut block, authority);
    for (name, value) in headers {
        block.push(0x00);
        push_text(&mut block, name);
        push_text(&mut block, value);
    }
    block
}

/// Appends a text of at most 126 bytes.
fn push_text(block: &mut Vec<u8>, text: &str) {
    assert!(text.len() < 127, "the text needs a longer length");
    block.push(text.len() as u8);
    block.extend(text.as_bytes());
}
