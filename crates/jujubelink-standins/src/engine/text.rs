//! Deterministic token generation.
//!
//! Each token is a function of the whole text before it. A request that continues from the text
//! delivered so far therefore yields the same tokens as the original request, and a lost or
//! duplicated token changes all later ones.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a hash of the text so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct TextState(u64);

impl TextState {
    pub(super) fn new(text: &str) -> Self {
        let mut state = Self(FNV_OFFSET);
        state.push(text);
        state
    }

    fn push(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Generates the next token.
    pub(super) fn next_token(&mut self) -> String {
        let token = format!("w{:06x} ", (self.0 >> 20) & 0xff_ffff);
        self.push(&token);
        token
    }
}

/// Returns the `tokens` tokens that an engine generates for a canonical prompt, as text.
pub fn generated_text(prompt: &str, tokens: u64) -> String {
    let mut state = TextState::new(prompt);
    (0..tokens).map(|_| state.next_token()).collect()
}
