//! Output lengths and token texts as a deterministic function of seed and prompt.
//!
//! Entry VMs have no access to it, so they don't know an output length in advance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prefix of a number in a prompt that sets the output length, in tokens.
const LENGTH_MARKER: &str = "#tokens=";
/// Marker of a lookup prompt, whose output is short.
const LOOKUP_MARKER: &str = "#lookup";
/// Median in tokens and sigma of the log-normal length distribution of drafts.
const DRAFT_LENGTH: (f64, f64) = (300.0, 1.1);
/// Median in tokens and sigma of the log-normal length distribution of lookups.
const LOOKUP_LENGTH: (f64, f64) = (12.0, 0.6);
const MAX_LENGTH_TOKENS: f64 = 30_000.0;

/// Returns the output length of a prompt in tokens, before any request limit.
pub fn output_length(seed: u64, prompt: &str) -> u32 {
    if let Some(length) = marked_length(prompt) {
        return length;
    }
    let distribution = if prompt.contains(LOOKUP_MARKER) {
        LOOKUP_LENGTH
    } else {
        DRAFT_LENGTH
    };
    let (median, sigma) = distribution;
    let length = median * (sigma * standard_normal(seed, prompt)).exp();
    length.clamp(1.0, MAX_LENGTH_TOKENS) as u32
}

/// Returns the texts of the tokens that an engine with this seed generates for a prompt.
pub fn output_tokens(seed: u64, prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let length = output_length(seed, prompt).min(max_tokens);
    (0..length)
        .map(|index| token_text(seed, prompt, index))
        .collect()
}

/// Returns the text of one token.
pub(super) fn token_text(seed: u64, prompt: &str, index: u32) -> Box<str> {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed ^ (u64::from(index) << 32));
    format!(" {:05x}", hash & 0xf_ffff).into()
}

/// Returns the number of tokens of a prompt, estimated at four bytes per token.
pub(super) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4).max(1)
}

/// Returns the output length that a prompt's marker sets.
fn marked_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_MARKER)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// Returns a standard normal variate, derived from seed and prompt by the Box-Muller transform.
fn standard_normal(seed: u64, prompt: &str) -> f64 {
    let uniform = |salt: u64| {
        let hash = xxh3_64_with_seed(prompt.as_bytes(), seed.rotate_left(17) ^ salt);
        ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    };
    (-2.0 * uniform(1).ln()).sqrt() * (std::f64::consts::TAU * uniform(2)).cos()
}
