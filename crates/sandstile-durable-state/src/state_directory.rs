//! A state directory on a real disk.
use crate::Storage;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The largest file that is read, 1 GiB; no valid copy is longer.
const MAX_FILE_BYTES: u64 = 1 << 30;

pub struct StateDirectory {
    path: PathBuf,
    witness: Option<PathBuf>,
    /// The file to append to, once this process has written a copy.
    append_file: Option<File>,
    /// Held so that only one process uses the directory; the operating system releases it when the process
    /// ends.
    _lock: File,
}

impl StateDirectory {
    /// Opens `directory` and creates it if needed. The witness, if any, is a file elsewhere. The error
    /// message is one line.
    pub fn open(directory: &Path, witness: Option<&Path>) -> Result<StateDirectory, String> {
        let with_path = |e: io::Error| format!("state: {}: {e}", directory.display());
        fs::create_dir_all(directory).map_err(with_path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(directory.join("lock"))
            .map_err(with_path)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("state: {}: another process keeps its state there", directory.display()));
            }
            Err(TryLockError::Error(e)) => return Err(with_path(e)),
        }
        let witness = witness.map(Path::to_path_buf);
        Ok(StateDirectory { path: directory.join("state"), witness, append_file: None, _lock: lock })
    }
}

fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::metadata(path) {
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
            Err(io::Error::other("the file is longer than any copy can be"))
        }
        Ok(_) => fs::read(path).map(Some),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Replaces a file atomically; returns the new file, positioned at its end.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new_path, path)?;
    // The new name is durable only after the directory is synced.
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()?;
    Ok(file)
}

impl Storage for StateDirectory {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        read(&self.path)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.append_file = Some(replace(&self.path, bytes)?);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = self.append_file.as_mut().ok_or_else(|| {
            io::Error::other("there is nothing to append to before the first copy is written")
        })?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn read_witness(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.witness.as_deref().map_or(Ok(None), read)
    }

    fn write_witness(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.witness.as_deref().map_or(Ok(()), |path| replace(path, bytes).map(drop))
    }
}
