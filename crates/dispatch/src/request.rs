//! Requests for generations.

/// Size of a requested generation, as stated by the client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Generation {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum output length in tokens.
    pub max_tokens: u32,
    /// The client's estimate of the output length in tokens: right in the median, often far off.
    pub length_hint: Option<u32>,
}
