//! Secrets from files that nobody else can read.

use {
    crate::Error,
    std::{fs::File, io::Read, os::unix::fs::MetadataExt, path::Path},
};

/// Fewest bytes of a key.
const SHORTEST: usize = 16;
/// Most bytes of a key's file.
const LONGEST: u64 = 4096;
/// Permissions of a file that let its group or others in.
const FOREIGN_ACCESS: u32 = 0o077;

/// Reads a key without the white space around it.
///
/// # Errors
/// Returns an error if the file can't be read, if its group or others have access to it, or if the
/// key is too short or too long.
pub fn read(path: &Path) -> Result<Box<[u8]>, Error> {
    let failed = |error| Error::file(path, error);
    let file = File::open(path).map_err(failed)?;
    let mode = file.metadata().map_err(failed)?.mode();
    if mode & FOREIGN_ACCESS != 0 {
        let message = format!(
            "{}: its group or others have access (mode {:03o}); permitted: 600 or 400",
            path.display(),
            mode & 0o777
        );
        return Err(Error::new(message));
    }
    let mut key = Vec::new();
    file.take(LONGEST + 1)
        .read_to_end(&mut key)
        .map_err(failed)?;
    let key = key.trim_ascii();
    if key.len() < SHORTEST || key.len() as u64 > LONGEST {
        let message = format!(
            "{}: the key has {} bytes; permitted: {SHORTEST} to {LONGEST}",
            path.display(),
            key.len()
        );
        return Err(Error::new(message));
    }
    Ok(key.into())
}
