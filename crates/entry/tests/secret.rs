//! Keys are read only from files that nobody but the owner can access, and appear in no error.

use {
    mastictrail_entry::secret,
    std::{fs, os::unix::fs::PermissionsExt, path::PathBuf},
};

fn key_file(folder: &tempfile::TempDir, text: &str, mode: u32) -> PathBuf {
    let path = folder.path().join(format!("{mode:o}.key"));
    fs::write(&path, text).expect("can't write the key file");
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("can't set the mode");
    path
}

#[test]
fn only_the_owner_may_have_access() {
    let folder = tempfile::tempdir().expect("can't create a temporary folder");
    for mode in [0o600, 0o400] {
        let key = secret::read(&key_file(&folder, " 0123456789abcdef\n", mode));
        assert_eq!(&*key.expect("the mode is permitted"), b"0123456789abcdef");
    }
    for mode in [0o640, 0o604, 0o660, 0o666, 0o620, 0o700 | 0o001] {
        let path = key_file(&folder, "0123456789abcdef", mode);
        let error = secret::read(&path)
            .expect_err("the mode is refused")
            .to_string();
        assert!(error.contains(&format!("mode {mode:03o}")), "{error}");
        assert!(!error.contains("0123456789abcdef"));
    }
}

#[test]
fn short_long_and_missing_keys_are_refused() {
    let folder = tempfile::tempdir().expect("can't create a temporary folder");
    for text in ["", "short", &"x".repeat(5000)] {
        let error =
            secret::read(&key_file(&folder, text, 0o600)).expect_err("the length is refused");
        assert!(
            error.to_string().contains("permitted: 16 to 4096"),
            "{error}"
        );
    }
    let missing = secret::read(&folder.path().join("missing"));
    assert!(
        missing
            .expect_err("there is no file")
            .to_string()
            .contains("missing")
    );
}
