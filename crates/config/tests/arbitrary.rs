//! Arbitrary input to the parsers gives a value or faults, never a panic.

use {
    mastictrail_config::{Source, diagnostic, parse, settings, source},
    proptest::prelude::*,
};

/// Generates text from pieces of INI files, so that some of it passes the syntax check.
fn ini_like() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        Just("deployment"),
        Just("data_centre"),
        Just("vm"),
        Just("model"),
        Just("service"),
        Just("class"),
        Just("route"),
        Just("target"),
        Just("customer"),
        Just("customers"),
        Just("listen"),
        Just("limits"),
        Just("name"),
        Just("version"),
        Just("key_sha256"),
        Just("base"),
        Just("headroom"),
        Just("deadline"),
        Just("1"),
        Just("0"),
        Just("-3"),
        Just("1e400"),
        Just("15s"),
        Just("64MiB"),
        Just("99999999999999999999GiB"),
        Just("127.0.0.1:1"),
        Just("ąć\u{0}é"),
        Just("\\"),
    ];
    let piece = prop_oneof![
        4 => word,
        1 => prop_oneof![Just(" "), Just("="), Just(":"), Just("["), Just("]"), Just(";")],
        2 => prop_oneof![Just("\n["), Just("]\n"), Just(" = "), Just("\n"), Just("\r\n")],
    ];
    prop::collection::vec(piece, 0..200).prop_map(|pieces| pieces.concat())
}

fn parse_all(text: &str) {
    let sources = [Source::new("a.ini", text), Source::new("b.ini", text)];
    for faults in [
        settings::parse("a.ini", text).err(),
        parse::snapshot("a.ini", text).err(),
        parse::deployment(&sources).err(),
    ] {
        let faults = faults.unwrap_or_default();
        let rendered = diagnostic::render(&faults, &sources, false);
        assert_eq!(rendered.is_empty(), faults.is_empty());
    }
    assert!(source::render(&sources).len() <= 2 * text.len() + 2);
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_a_panic(text in any::<String>()) {
        parse_all(&text);
    }

    #[test]
    fn any_ini_is_parsed_without_a_panic(text in ini_like()) {
        parse_all(&text);
    }
}
