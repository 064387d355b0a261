//! The lists of a watch, out of bytes that come in any pieces. Lists may come indented, so their own braces end them and
//! not the line; each byte is looked at once for that, however many pieces a long list comes in.
use serde_json::Value;

/// Bytes of a list that is not whole yet from which on it is read for faults, each time it has grown to twice as many.
const FIRST_TRIAL: usize = 4 * 1024;

/// What a watch says.
pub enum Heard {
    /// Nothing has changed.
    EmptyLine,
    List(Value),
}

/// Where the first object of some text ends.
#[derive(Default)]
struct ObjectEnd {
    looked_at: usize,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl ObjectEnd {
    /// The length of the object, once all of it is there. The text only ever grows at its end.
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

/// What has come of a watch and is not taken yet.
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
    /// Where what comes next is put.
    pub fn content(&mut self) -> &mut Vec<u8> {
        &mut self.content
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.content.len()
    }

    /// The next whole thing that has come; an error where it can't be read.
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

    /// What can't become a list is told before its end, which may never come.
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
