//! A small JSON reader and writer. Numbers keep their text, as 64-bit numbers must not be rounded.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => write!(f, "{text}"),
            Json::Text(text) => write!(f, "{}", quote(text)),
            Json::List(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                write!(f, "]")
            }
            Json::Object(fields) => {
                write!(f, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{}:{value}", quote(name))?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if c < ' ' => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        if found {
            self.at += word.len();
        }
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if self.take("}") {
                        return Some(Json::Object(fields));
                    }
                    if !fields.is_empty() && !self.take(",") {
                        return None;
                    }
                    self.space();
                    let name = self.string()?;
                    self.space();
                    if !self.take(":") {
                        return None;
                    }
                    fields.push((name, self.value()?));
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if self.take("]") {
                        return Some(Json::List(items));
                    }
                    if !items.is_empty() && !self.take(",") {
                        return None;
                    }
                    items.push(self.value()?);
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.take("true").then_some(Json::Bool(true)),
            b'f' => self.take("false").then_some(Json::Bool(false)),
            b'n' => self.take("null").then_some(Json::Null),
            _ => {
                let start = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                (!text.is_empty()).then(|| Json::Number(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take("\"") {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            text.extend(c.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}
