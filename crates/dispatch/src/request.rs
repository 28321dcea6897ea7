//! Requests for generations.

/// Size of a requested generation, as stated by the client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Generation {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Longest permitted answer.
    pub max_tokens: u32,
    /// The client's estimate of the answer's tokens: correct at the median, often far off.
    pub length_hint: Option<u32>,
}
