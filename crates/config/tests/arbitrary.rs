//! Arbitrary input to every reader of text is an error or a value, never a panic.

use {
    mastictrail_config::{Source, diagnostic, parse, settings, source},
    proptest::prelude::*,
};

/// Text made of what INI files are made of, so that it gets past the syntax.
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

fn read(text: &str) {
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
    fn any_text_is_read_without_a_panic(text in any::<String>()) {
        read(&text);
    }

    #[test]
    fn any_ini_is_read_without_a_panic(text in ini_like()) {
        read(&text);
    }
}
