//! Keys that instances share, from a file of their own.
use sandstile_sessions::token::KeyRing;
use std::path::Path;

/// Reads a file of keys that nobody but its owner may read. The message never holds what stands in it.
pub fn read_keys(path: &Path) -> Result<KeyRing, String> {
    let name = path.display();
    let told = |e: std::io::Error| format!("{name}: {e}");
    #[cfg(unix)]
    {
        let mode = std::os::unix::fs::MetadataExt::mode(&std::fs::metadata(path).map_err(told)?);
        if mode & 0o077 != 0 {
            return Err(format!("{name}: others may read it (mode {:o}); chmod 600 it", mode & 0o777));
        }
    }
    let text = std::fs::read_to_string(path).map_err(told)?;
    KeyRing::read(&text).map_err(|e| format!("{name}: {e}"))
}
