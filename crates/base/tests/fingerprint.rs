//! Fingerprints of requests.

use mastictrail_base::key::Fingerprint;

/// Two requests whose fields are split elsewhere are not the same.
#[test]
fn fields_are_told_apart() {
    let split =
        |first: &str, second: &str| Fingerprint::of_fields(&[first.as_bytes(), second.as_bytes()]);
    assert_eq!(split("/read/1", "body"), split("/read/1", "body"));
    assert_ne!(split("/read/1", "body"), split("/read/", "1body"));
    assert_ne!(split("/read/1", ""), split("", "/read/1"));
}
