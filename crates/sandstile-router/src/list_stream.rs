//! Extracts the lists of a discovery watch from a byte stream. Lists may be indented, so a list ends with its
//! closing brace and not with its line. Each byte is scanned once for that, however many pieces a long list arrives
//! in.
use serde_json::Value;

/// Bytes of an incomplete list from which on it is checked for syntax errors, again each time its length has
/// doubled.
const FIRST_TRIAL: usize = 4 * 1024;

/// An item of a watch.
pub enum Heard {
    /// A keep-alive: nothing has changed.
    EmptyLine,
    List(Value),
}

/// Finds the end of the first JSON object of a text.
#[derive(Default)]
struct ObjectEnd {
    looked_at: usize,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl ObjectEnd {
    /// The length of the object, once it is complete. Between calls the text may only grow at its end.
    fn find(&mut self, text: &[u8]) -> Option<usize> {
        while let Some(&byte) = text.get(self.looked_at) {
            self.looked_at += 1;
            if self.ends_with(byte) {
                return Some(self.looked_at);
            }
        }
        None
    }

    fn ends_with(&mut self, byte: u8) -> bool {
        if self.in_text {
            let escapes = byte == b'\\' && !self.escaped;
            self.in_text = byte != b'"' || self.escaped;
            self.escaped = escapes;
            return false;
        }
        match byte {
            b'"' => self.in_text = true,
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
    content: Vec<u8>,
    end: ObjectEnd,
    trial_at: usize,
}

impl Default for ListStream {
    fn default() -> Self {
        ListStream { content: Vec::new(), end: ObjectEnd::default(), trial_at: FIRST_TRIAL }
    }
}

impl ListStream {
    /// The buffer to which received bytes are appended.
    pub fn content(&mut self) -> &mut Vec<u8> {
        &mut self.content
    }

    /// Bytes in the buffer.
    pub fn held(&self) -> usize {
        self.content.len()
    }

    /// The next complete item; an error where it is not valid JSON.
    pub fn take(&mut self) -> Result<Option<Heard>, serde_json::Error> {
        if self.end.looked_at == 0 {
            let blank = self.content.iter().take_while(|b| b.is_ascii_whitespace()).count();
            let line = self.content[..blank].contains(&b'\n');
            self.content.drain(..blank);
            if line {
                return Ok(Some(Heard::EmptyLine));
            }
        }
        let Some(&first) = self.content.first() else { return Ok(None) };
        let Some(length) = self.end.find(&self.content) else {
            self.try_in_part(first)?;
            return Ok(None);
        };
        let list = serde_json::from_slice(&self.content[..length])?;
        self.content.drain(..length);
        (self.end, self.trial_at) = (ObjectEnd::default(), FIRST_TRIAL);
        Ok(Some(Heard::List(list)))
    }

    /// Reports a syntax error before the end of the list, which may never come.
    fn try_in_part(&mut self, first: u8) -> Result<(), serde_json::Error> {
        if first == b'{' && self.content.len() < self.trial_at {
            return Ok(());
        }
        self.trial_at = 2 * self.content.len();
        match serde_json::from_slice::<Value>(&self.content) {
            Err(e) if !e.is_eof() => Err(e),
            _ => Ok(()),
        }
    }
}
