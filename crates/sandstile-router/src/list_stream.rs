//! Extracts the lists of a discovery watch from a byte stream. Lists may be indented, so a list ends with its
//! closing brace and not with its line. Each byte is scanned once for that, however many pieces a long list arrives
//! in.
use serde_json::Value;

/// Bytes of an incomplete list from which on it is checked for syntax errors, again each time its length has
/// doubled.
const FIRST_CHECK_BYTES: usize = 4 * 1024;

/// An item of a watch.
pub enum WatchItem {
    /// A keep-alive: nothing has changed.
    EmptyLine,
    List(Value),
}

/// Finds the end of the first JSON object of a text.
#[derive(Default)]
struct ObjectEnd {
    scanned: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ObjectEnd {
    /// The length of the object, once it is complete. Between calls the text may only grow at its end.
    fn find(&mut self, text: &[u8]) -> Option<usize> {
        while let Some(&byte) = text.get(self.scanned) {
            self.scanned += 1;
            if self.ends_object(byte) {
                return Some(self.scanned);
            }
        }
        None
    }

    fn ends_object(&mut self, byte: u8) -> bool {
        if self.in_string {
            let escapes = byte == b'\\' && !self.escaped;
            self.in_string = byte != b'"' || self.escaped;
            self.escaped = escapes;
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}

/// The received bytes of a watch that have not been taken yet.
pub struct ListStream {
    buffer: Vec<u8>,
    end: ObjectEnd,
    next_check_at: usize,
}

impl Default for ListStream {
    fn default() -> Self {
        ListStream { buffer: Vec::new(), end: ObjectEnd::default(), next_check_at: FIRST_CHECK_BYTES }
    }
}

impl ListStream {
    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next complete item; an error where it is not valid JSON.
    pub fn next_item(&mut self) -> Result<Option<WatchItem>, serde_json::Error> {
        if self.end.scanned == 0 {
            let whitespace = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
            let has_empty_line = self.buffer[..whitespace].contains(&b'\n');
            self.buffer.drain(..whitespace);
            if has_empty_line {
                return Ok(Some(WatchItem::EmptyLine));
            }
        }
        let Some(&first) = self.buffer.first() else { return Ok(None) };
        let Some(length) = self.end.find(&self.buffer) else {
            self.check_syntax(first)?;
            return Ok(None);
        };
        let list = serde_json::from_slice(&self.buffer[..length])?;
        self.buffer.drain(..length);
        (self.end, self.next_check_at) = (ObjectEnd::default(), FIRST_CHECK_BYTES);
        Ok(Some(WatchItem::List(list)))
    }

    /// Reports a syntax error before the end of the list, which may never come.
    fn check_syntax(&mut self, first: u8) -> Result<(), serde_json::Error> {
        if first == b'{' && self.buffer.len() < self.next_check_at {
            return Ok(());
        }
        self.next_check_at = 2 * self.buffer.len();
        match serde_json::from_slice::<Value>(&self.buffer) {
            Err(e) if !e.is_eof() => Err(e),
            _ => Ok(()),
        }
    }
}
