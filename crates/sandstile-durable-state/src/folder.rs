//! A folder on a real disk.
use crate::Storage;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Read at the most; no router's copy is longer.
const LONGEST: u64 = 1 << 30;

pub struct StateDirectory {
    path: PathBuf,
    witness: Option<PathBuf>,
    /// What is appended to, once this process has put a copy there.
    open: Option<File>,
    /// One process at a time; the platform lets go of it with the process.
    _lock: File,
}

impl StateDirectory {
    /// The copy lies in `dir`, which is made where it is not; the witness, if any, is a file elsewhere. The message is one line.
    pub fn open(dir: &Path, witness: Option<&Path>) -> Result<StateDirectory, String> {
        let told = |e: io::Error| format!("state: {}: {e}", dir.display());
        fs::create_dir_all(dir).map_err(told)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(dir.join("lock"))
            .map_err(told)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("state: {}: another process keeps its state there", dir.display()));
            }
            Err(TryLockError::Error(e)) => return Err(told(e)),
        }
        let witness = witness.map(Path::to_path_buf);
        Ok(StateDirectory { path: dir.join("state"), witness, open: None, _lock: lock })
    }
}

fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::metadata(path) {
        Ok(found) if found.len() > LONGEST => Err(io::Error::other("longer than any copy is")),
        Ok(_) => fs::read(path).map(Some),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// In the place of what is there, at once or not at all; yields the file, open behind its end.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    // The name is on the disk only once the folder is.
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()?;
    Ok(file)
}

impl Storage for StateDirectory {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        read(&self.path)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.open = Some(replace(&self.path, bytes)?);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = self.open.as_mut().ok_or_else(|| io::Error::other("nothing to append to"))?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn witness(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.witness.as_deref().map_or(Ok(None), read)
    }

    fn put_witness(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.witness.as_deref().map_or(Ok(()), |path| replace(path, bytes).map(drop))
    }
}
