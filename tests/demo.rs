//! The `demo` command, the first one that the README shows, serves its example requests.

use std::process::Command;

#[test]
fn the_demo_serves_what_the_stand_ins_made() {
    let output = Command::new(env!("CARGO_BIN_EXE_mastictrail"))
        .args(["demo", "--once"])
        .output()
        .expect("the demo starts");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    let text = String::from_utf8_lossy(&output.stdout);
    for answer in ["draft: ", "lookup: ", "release: "] {
        assert!(text.contains(answer), "{text}");
    }
}
