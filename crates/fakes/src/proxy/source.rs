//! Which entry VM sent something, as the clear text of the inner protocol names it.

/// Bytes of a connection in which the greeting's name is looked for.
const GREETING: usize = 160;
/// Length of the MAC before a datagram's message.
const MAC: usize = 32;
/// Tag of the name in a greeting: field 3, text.
const GREETING_TAG: u8 = 0x1a;
/// Tag of the name in a datagram: field 1, text.
const DATAGRAM_TAG: u8 = 0x0a;

/// Returns whether the first bytes of a connection greet as this entry VM.
pub(super) fn greets(bytes: &[u8], name: &str) -> bool {
    let wanted = field(GREETING_TAG, name);
    let bytes = &bytes[..bytes.len().min(GREETING)];
    bytes.windows(wanted.len()).any(|window| window == wanted)
}

/// Returns whether a datagram was sent by this entry VM.
pub(super) fn sent(bytes: &[u8], name: &str) -> bool {
    let message = bytes.get(MAC..).unwrap_or_default();
    message.starts_with(&field(DATAGRAM_TAG, name))
}

fn field(tag: u8, name: &str) -> Vec<u8> {
    let mut field = vec![tag, name.len() as u8];
    field.extend_from_slice(name.as_bytes());
    field
}
