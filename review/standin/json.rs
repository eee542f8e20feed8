//! Finds fields in JSON text without decoding it.

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

/// Returns the end of the value that starts at `at`.
fn value_end(text: &[u8], at: usize) -> Option<usize> {
    match *text.get(at)? {
        b'"' => {
            let mut end = at + 1;
            while *text.get(end)? != b'"' {
                end += if text[end] == b'\\' { 2 } else { 1 };
            }
            Some(end + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            let mut end = at;
            loop {
                match *text.get(end)? {
                    b'"' => {
                        end = value_end(text, end)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                end += 1;
                if depth == 0 {
                    return Some(end);
                }
            }
        }
        _ => {
            let rest = &text[at..];
            let length = rest.iter().position(|b| matches!(b, b',' | b'}' | b']' | b' ' | b'\n'));
            Some(at + length.unwrap_or(rest.len()))
        }
    }
}

/// Returns the text of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_space(text, 0);
    if *text.get(at)? != b'{' {
        return None;
    }
    at = skip_space(text, at + 1);
    while *text.get(at)? == b'"' {
        let key_end = value_end(text, at)?;
        let key = &object[at + 1..key_end - 1];
        let colon = skip_space(text, key_end);
        let start = skip_space(text, colon + 1);
        let end = value_end(text, start)?;
        if key == name {
            return Some(&object[start..end]);
        }
        at = skip_space(text, end);
        if *text.get(at)? != b',' {
            return None;
        }
        at = skip_space(text, at + 1);
    }
    None
}

/// Returns a string field without its quotes.
pub fn string<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a number field.
pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}
