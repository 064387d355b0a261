//! Hosts instances of the sandstile decisions on the simulator's wire: decodes events into calls, encodes
//! decisions into actions, and maps ids to small indices at the door. It decides nothing.
mod instance;
mod wire;

use instance::{Hosted, EPOCH};
use sandstile_deployment::host_list::HostEntry;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::Fields;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sandstile-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut hosted: BTreeMap<String, Hosted> = BTreeMap::new();
    let mut sheets: BTreeMap<u64, Vec<HostEntry>> = BTreeMap::new();
    let mut number = 0usize;
    let mut text = String::new();
    let mut now = None;
    let mut touched: Vec<String> = Vec::new();
    while read(&mut input, &mut text, &mut number)? {
        let mut fields = Fields::new(&text, number);
        let name = fields.text("a message name")?;
        let Some(clock) = now else {
            if name == "SYNC" {
                now = Some(EPOCH + fields.seconds("the clock")?);
                continue;
            }
            if name.is_empty() {
                continue;
            }
            return Err(fields.wrong("SYNC before any event"));
        };
        match name {
            "COMMIT" => {
                touched.sort();
                touched.dedup();
                for who in touched.drain(..) {
                    if let Some(instance) = hosted.get_mut(&who) {
                        instance.reply(&who, clock, &mut output).map_err(|e| e.to_string())?;
                    }
                }
                writeln!(output, "YIELD").and_then(|()| output.flush()).map_err(|e| e.to_string())?;
                now = None;
            }
            "LIST" => {
                let sheet = fields.whole("a list number")?;
                let count = fields.whole("a count of entries")?;
                let mut lines = Vec::new();
                for _ in 0..count {
                    if !read(&mut input, &mut text, &mut number)? {
                        return Err(format!("line {number}: expected HOST, found the end of input"));
                    }
                    lines.push(wire::entry(&mut Fields::new(&text, number))?);
                }
                sheets.insert(sheet, lines);
            }
            "PROVISION" => {
                let who = fields.text("an instance")?.to_string();
                let seed = fields.whole("a seed")?;
                hosted.insert(who.clone(), Hosted::start(clock, seed, &mut fields)?);
                touched.push(who);
            }
            "CRASH_NOW" => {
                hosted.remove(fields.text("an instance")?);
            }
            _ => {
                let who = fields.text("an instance")?.to_string();
                let Some(instance) = hosted.get_mut(&who) else {
                    return Err(fields.wrong("an instance that was provisioned"));
                };
                instance.event(clock, name, &mut fields, &sheets)?;
                touched.push(who);
            }
        }
    }
    match now {
        Some(_) => Err(format!("line {number}: expected COMMIT, found the end of input")),
        None => Ok(()),
    }
}

fn read(input: &mut impl BufRead, text: &mut String, number: &mut usize) -> Result<bool, String> {
    text.clear();
    *number += 1;
    let got = input.read_line(text).map_err(|e| format!("line {number}: expected UTF-8 text: {e}"))?;
    text.truncate(text.trim_end_matches(['\n', '\r']).len());
    Ok(got > 0)
}
