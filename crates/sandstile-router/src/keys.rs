//! Reads the file with the keys that instances share.
use sandstile_sessions::token::KeyRing;
use std::path::Path;

/// Reads a key file, which only its owner may have access to. Error messages never contain the file's
/// contents.
pub fn read_keys(path: &Path) -> Result<KeyRing, String> {
    let name = path.display();
    let with_path = |e: std::io::Error| format!("{name}: {e}");
    #[cfg(unix)]
    {
        let mode = std::os::unix::fs::MetadataExt::mode(&std::fs::metadata(path).map_err(with_path)?);
        if mode & 0o077 != 0 {
            return Err(format!("{name}: others may read it (mode {:o}); chmod 600 it", mode & 0o777));
        }
    }
    let text = std::fs::read_to_string(path).map_err(with_path)?;
    KeyRing::read(&text).map_err(|e| format!("{name}: {e}"))
}
