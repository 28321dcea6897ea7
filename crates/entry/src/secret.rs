//! Reads secret keys from files that only their owner can access.

use {
    crate::Error,
    std::{fs::File, io::Read, os::unix::fs::MetadataExt, path::Path},
};

/// Shortest key, in bytes.
const MIN_BYTES: usize = 16;
/// Longest key, in bytes; at most one byte more is read of its file.
const MAX_BYTES: u64 = 4096;
/// Permission bits that give the file's group or others access.
const GROUP_AND_OTHERS: u32 = 0o077;

/// Reads a key and trims the white space around it.
///
/// # Errors
/// Returns an error if the file can't be read, if its group or others have access to it, or if the
/// key is too short or too long.
pub fn read(path: &Path) -> Result<Box<[u8]>, Error> {
    let failed = |error| Error::file(path, error);
    let file = File::open(path).map_err(failed)?;
    let mode = file.metadata().map_err(failed)?.mode();
    if mode & GROUP_AND_OTHERS != 0 {
        let message = format!(
            "{}: its group or others have access (mode {:03o}); permitted: 600 or 400",
            path.display(),
            mode & 0o777
        );
        return Err(Error::new(message));
    }
    let mut key = Vec::new();
    file.take(MAX_BYTES + 1)
        .read_to_end(&mut key)
        .map_err(failed)?;
    let key = key.trim_ascii();
    if key.len() < MIN_BYTES || key.len() as u64 > MAX_BYTES {
        let message = format!(
            "{}: the key has {} bytes; permitted: {MIN_BYTES} to {MAX_BYTES}",
            path.display(),
            key.len()
        );
        return Err(Error::new(message));
    }
    Ok(key.into())
}
