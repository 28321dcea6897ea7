//! The law of output lengths and texts: a function of seed and prompt, unknown to the entry VMs.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Marker in a prompt that fixes the length of its output.
const FIXED: &str = "#tokens=";
/// Marker in a prompt of a lookup.
const LOOKUP: &str = "#lookup";
/// Median and spread of the log-normal law of a draft's length.
const DRAFT: (f64, f64) = (300.0, 1.1);
/// Median and spread of the log-normal law of a lookup's length.
const SHORT: (f64, f64) = (12.0, 0.6);
/// Longest output in tokens.
const LONGEST: f64 = 30_000.0;

/// Returns the natural length of the output of a prompt, in tokens.
pub fn output_length(seed: u64, prompt: &str) -> u32 {
    if let Some(fixed) = fixed(prompt) {
        return fixed;
    }
    let law = if prompt.contains(LOOKUP) {
        SHORT
    } else {
        DRAFT
    };
    let (median, spread) = law;
    let length = median * (spread * normal(seed, prompt)).exp();
    length.clamp(1.0, LONGEST) as u32
}

/// Returns the texts of the tokens that an engine of this seed makes for a prompt.
pub fn output_tokens(seed: u64, prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let count = output_length(seed, prompt).min(max_tokens);
    (0..count).map(|index| text(seed, prompt, index)).collect()
}

/// Returns the text of one token.
pub(super) fn text(seed: u64, prompt: &str, index: u32) -> Box<str> {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed ^ (u64::from(index) << 32));
    format!(" {:05x}", hash & 0xf_ffff).into()
}

/// Returns the tokens of a prompt's text, estimated as four bytes each.
pub(super) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4).max(1)
}

fn fixed(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(FIXED)?;
    let digits = rest.find(|c: char| !c.is_ascii_digit());
    rest[..digits.unwrap_or(rest.len())].parse().ok()
}

/// Draws from the standard normal law by the Box-Muller transform.
fn normal(seed: u64, prompt: &str) -> f64 {
    let uniform = |salt: u64| {
        let hash = xxh3_64_with_seed(prompt.as_bytes(), seed.rotate_left(17) ^ salt);
        ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    };
    (-2.0 * uniform(1).ln()).sqrt() * (std::f64::consts::TAU * uniform(2)).cos()
}
