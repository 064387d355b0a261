//! Reads HCL strictly: each key is requested by name and type, and keys that nobody requested are refused.
//! Problems are collected with their positions, so that one run reports all of them.
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use hcl_edit::Span;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;

/// A problem and its position; lines and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub message: String,
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// The text of one file and the problems found in it.
pub struct Source<'a> {
    file: String,
    text: &'a str,
    problems: RefCell<Vec<Problem>>,
}

impl<'a> Source<'a> {
    pub fn new(file: &str, text: &'a str) -> Self {
        Source { file: file.to_string(), text, problems: RefCell::default() }
    }

    /// The parsed file; `None` if it is not valid HCL, which is recorded as a problem.
    pub fn parse(&self) -> Option<Body> {
        match hcl_edit::parser::parse_body(self.text) {
            Ok(body) => Some(body),
            Err(e) => {
                let (line, column) = (e.location().line(), e.location().column());
                let (file, message) = (self.file.clone(), e.message().to_string());
                self.problems.borrow_mut().push(Problem { file, line, column, message, hint: None });
                None
            }
        }
    }

    pub fn problem(&self, offset: usize, message: impl Into<String>, hint: Option<String>) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let problem = Problem { file: self.file.clone(), line, column, message: message.into(), hint };
        self.problems.borrow_mut().push(problem);
    }

    pub fn line(&self, offset: usize) -> usize {
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    /// All problems in the order of their positions.
    pub fn problems(&self) -> Vec<Problem> {
        let mut all = self.problems.borrow().clone();
        all.sort_by_key(|p| (p.line, p.column));
        all
    }
}

fn span_start(span: Option<Range<usize>>) -> usize {
    span.map_or(0, |s| s.start)
}

/// The body of a file or block, whose keys are read one by one.
pub struct Section<'a> {
    source: &'a Source<'a>,
    body: &'a Body,
    /// How messages refer to the section.
    pub title: String,
    /// The block's label, empty if it has none.
    pub name: String,
    pub offset: usize,
    requested: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    pub fn root(source: &'a Source<'a>, body: &'a Body) -> Self {
        let (title, name, requested) = ("the file".to_string(), String::new(), RefCell::default());
        Section { source, body, title, name, offset: 0, requested }
    }

    fn block(source: &'a Source<'a>, block: &'a Block, labelled: bool) -> Self {
        let offset = span_start(block.ident.span());
        let kind = block.ident.as_str();
        let name = block.labels.first().map_or(String::new(), |l| l.as_str().to_string());
        if block.labels.len() > 1 {
            source.problem(offset, format!("{kind} has more than one name"), None);
        }
        if labelled && name.is_empty() {
            source.problem(offset, format!("{kind} has no name"), Some(format!("{kind} \"NAME\" {{ … }}")));
        }
        if !labelled && !name.is_empty() {
            source.problem(offset, format!("{kind} takes no name"), None);
        }
        let title = if name.is_empty() { kind.to_string() } else { format!("{kind} \"{name}\"") };
        Section { source, body: &block.body, title, name, offset, requested: RefCell::default() }
    }

    pub fn source(&self) -> &'a Source<'a> {
        self.source
    }

    /// All blocks of this kind in their order. Two with the same label are a problem.
    pub fn blocks(&self, kind: &str, labelled: bool) -> Vec<Section<'a>> {
        self.requested.borrow_mut().insert(kind.to_string());
        let mut names = BTreeSet::new();
        let blocks = self.body.iter().filter_map(|s| s.as_block()).filter(|b| b.ident.as_str() == kind);
        let mut found = Vec::new();
        for block in blocks {
            let section = Section::block(self.source, block, labelled);
            if labelled && !names.insert(section.name.clone()) {
                self.source.problem(section.offset, format!("a second {}", section.title), None);
            }
            found.push(section);
        }
        found
    }

    /// The single block of this kind, if there is one. A second one is a problem.
    pub fn optional_block(&self, kind: &str) -> Option<Section<'a>> {
        let mut blocks = self.blocks(kind, false);
        if let Some(second) = blocks.get(1) {
            self.source.problem(second.offset, format!("a second {kind}"), None);
        }
        (!blocks.is_empty()).then(|| blocks.swap_remove(0))
    }

    fn value(&self, key: &str) -> Option<(&'a Expression, usize)> {
        self.requested.borrow_mut().insert(key.to_string());
        let attribute = self.body.get_attribute(key)?;
        Some((&attribute.value, span_start(attribute.value.span().or(attribute.key.span()))))
    }

    pub fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    /// The byte offset of the key's value, or of the section if the key is absent.
    pub fn offset_of(&self, key: &str) -> usize {
        self.body.get_attribute(key).map_or(self.offset, |a| span_start(a.value.span().or(a.key.span())))
    }

    pub fn problem(&self, key: &str, message: impl Into<String>, hint: Option<String>) {
        self.source.problem(self.offset_of(key), message, hint);
    }

    fn missing(&self, key: &str) {
        self.source.problem(self.offset, format!("{} lacks {key}", self.title), None);
    }

    pub fn optional_number(&self, key: &str, range: Range<f64>) -> Option<f64> {
        let (value, offset) = self.value(key)?;
        match number(value) {
            Some(n) if n >= range.start && n <= range.end => Some(n),
            Some(n) => {
                let wanted = format!("{} to {}", range.start, range.end);
                self.source.problem(offset, format!("{key} is {n}"), Some(format!("wanted: {wanted}")));
                None
            }
            None => {
                self.source.problem(offset, format!("{key} is not a number"), None);
                None
            }
        }
    }

    pub fn number(&self, key: &str, range: Range<f64>, default: f64) -> f64 {
        self.optional_number(key, range).unwrap_or(default)
    }

    pub fn required_number(&self, key: &str, range: Range<f64>) -> f64 {
        let min = range.start;
        if !self.has(key) {
            self.missing(key);
        }
        self.optional_number(key, range).unwrap_or(min)
    }

    /// Reads milliseconds and returns seconds.
    pub fn ms(&self, key: &str, range: Range<f64>, default: f64) -> f64 {
        self.number(key, range, default * 1000.0) / 1000.0
    }

    pub fn count(&self, key: &str, range: Range<f64>, default: usize) -> usize {
        let n = self.number(key, range, default as f64);
        if n.fract() != 0.0 {
            self.problem(key, format!("{key} is not a whole number"), None);
        }
        n as usize
    }

    pub fn boolean(&self, key: &str, default: bool) -> bool {
        let Some((value, offset)) = self.value(key) else { return default };
        value.as_bool().unwrap_or_else(|| {
            self.source.problem(offset, format!("{key} is neither true nor false"), None);
            default
        })
    }

    pub fn text(&self, key: &str) -> Option<String> {
        let (value, offset) = self.value(key)?;
        let text = value.as_str().map(str::to_string);
        if text.is_none() {
            self.source.problem(offset, format!("{key} is not a text"), Some("in double quotes".to_string()));
        }
        text
    }

    pub fn required_text(&self, key: &str) -> String {
        if !self.has(key) {
            self.missing(key);
        }
        self.text(key).unwrap_or_default()
    }

    /// One of a fixed set of words.
    pub fn choice<T: Copy>(&self, key: &str, words: &[(&str, T)], default: Option<T>) -> T {
        if default.is_none() && !self.has(key) {
            self.missing(key);
        }
        let fallback = default.unwrap_or(words[0].1);
        let Some(text) = self.text(key) else { return fallback };
        if let Some((_, value)) = words.iter().find(|(w, _)| *w == text) {
            return *value;
        }
        let all: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
        self.problem(key, format!("{key} = \"{text}\""), Some(hint(&text, &all)));
        fallback
    }

    pub fn numbers(&self, key: &str, range: Range<f64>) -> Option<Vec<f64>> {
        let (value, offset) = self.value(key)?;
        let items = value.as_array().map(|a| a.iter().map(number).collect::<Option<Vec<f64>>>());
        match items {
            Some(Some(all))
                if !all.is_empty() && all.iter().all(|n| (range.start..=range.end).contains(n)) =>
            {
                Some(all)
            }
            _ => {
                let wanted = format!("wanted: a list of numbers from {} to {}", range.start, range.end);
                self.source.problem(offset, format!("{key} is not a valid list"), Some(wanted));
                None
            }
        }
    }

    pub fn texts(&self, key: &str) -> Option<Vec<String>> {
        let (value, offset) = self.value(key)?;
        let text = |e: &Expression| e.as_str().map(str::to_string);
        let items = value.as_array().map(|a| a.iter().map(text).collect::<Option<Vec<String>>>());
        match items {
            Some(Some(all)) if !all.is_empty() => Some(all),
            _ => {
                self.source.problem(
                    offset,
                    format!("{key} is not a list of texts"),
                    Some("[\"a\", \"b\"]".to_string()),
                );
                None
            }
        }
    }

    /// The index of a name that is defined elsewhere in the file.
    pub fn reference(&self, key: &str, kind: &str, names: &[String]) -> Option<usize> {
        if !self.has(key) {
            self.missing(key);
            return None;
        }
        let text = self.text(key)?;
        self.find(key, kind, &text, names)
    }

    pub fn find(&self, key: &str, kind: &str, text: &str, names: &[String]) -> Option<usize> {
        let found = names.iter().position(|n| n == text);
        if found.is_none() {
            let all: Vec<&str> = names.iter().map(String::as_str).collect();
            self.problem(key, format!("no {kind} is named \"{text}\""), Some(hint(text, &all)));
        }
        found
    }

    /// Reports every key and block that was not requested.
    pub fn finish(&self) {
        let requested = self.requested.borrow();
        let known: Vec<&str> = requested.iter().map(String::as_str).collect();
        for structure in self.body.iter() {
            let (key, offset) = match structure {
                Structure::Attribute(a) => (a.key.as_str(), span_start(a.key.span())),
                Structure::Block(b) => (b.ident.as_str(), span_start(b.ident.span())),
            };
            if !requested.contains(key) {
                let message = format!("{} knows no {key}", self.title);
                self.source.problem(offset, message, Some(hint(key, &known)));
            }
        }
    }
}

fn number(value: &Expression) -> Option<f64> {
    match value {
        Expression::UnaryOp(op) => number(&op.expr).map(|n| -n),
        other => other.as_number().and_then(|n| n.as_f64()),
    }
}

/// Suggests the most similar word, or lists all of them.
fn hint(word: &str, words: &[&str]) -> String {
    let nearest = words.iter().map(|w| (distance(word, w), w)).min();
    match nearest {
        Some((d, w)) if d <= 2 || d * 3 <= word.len() => format!("did you mean {w}?"),
        _ => format!("one of: {}", words.join(", ")),
    }
}

/// Edit distance: characters to add, drop or replace.
fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().take(64).collect(), b.chars().take(64).collect());
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let change = before + usize::from(x != y);
            before = row[j + 1];
            row[j + 1] = change.min(before + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
