//! What is known of a generation before it starts.

/// A request for a generation, as the client describes it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The client's estimate of the answer's tokens: right at the median, often far off.
    pub length_hint: Option<u32>,
}
