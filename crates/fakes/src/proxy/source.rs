//! Identifies the sending entry VM by the name that the inner protocol carries in clear text.

/// Initial bytes of a connection that are searched for the name in the greeting.
const GREETING_BYTES: usize = 160;
/// Length of the MAC that precedes a datagram's message.
const MAC_BYTES: usize = 32;
/// Protobuf tag of the name in a greeting: field 3, string.
const GREETING_NAME_TAG: u8 = 0x1a;
/// Protobuf tag of the name in a datagram: field 1, string.
const DATAGRAM_NAME_TAG: u8 = 0x0a;

/// Returns whether the first bytes of a connection are a greeting from this entry VM.
pub(super) fn is_greeting_from(bytes: &[u8], name: &str) -> bool {
    let expected = encode_name(GREETING_NAME_TAG, name);
    let bytes = &bytes[..bytes.len().min(GREETING_BYTES)];
    bytes
        .windows(expected.len())
        .any(|window| window == expected)
}

/// Returns whether a datagram comes from this entry VM.
pub(super) fn is_datagram_from(bytes: &[u8], name: &str) -> bool {
    let message = bytes.get(MAC_BYTES..).unwrap_or_default();
    message.starts_with(&encode_name(DATAGRAM_NAME_TAG, name))
}

/// Encodes a name as a length-delimited protobuf field.
fn encode_name(tag: u8, name: &str) -> Vec<u8> {
    let mut field = vec![tag, name.len() as u8];
    field.extend_from_slice(name.as_bytes());
    field
}
