//! Runs instances of the sandstile decisions on the simulator's line protocol: decodes events into calls,
//! encodes decisions as actions, and maps ids to small indices at this boundary. It makes no decisions.
mod instance;
mod wire;

use instance::{HostedInstance, EPOCH};
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
    let mut instances: BTreeMap<String, HostedInstance> = BTreeMap::new();
    let mut host_lists: BTreeMap<u64, Vec<HostEntry>> = BTreeMap::new();
    let mut line_number = 0usize;
    let mut line = String::new();
    let mut now = None;
    let mut changed: Vec<String> = Vec::new();
    while read_line(&mut input, &mut line, &mut line_number)? {
        let mut fields = Fields::new(&line, line_number);
        let message = fields.required("a message name")?;
        let Some(batch_time) = now else {
            if message == "SYNC" {
                now = Some(EPOCH + fields.seconds("the clock")?);
                continue;
            }
            if message.is_empty() {
                continue;
            }
            return Err(fields.error("SYNC before any event"));
        };
        match message {
            "COMMIT" => {
                changed.sort();
                changed.dedup();
                for instance_id in changed.drain(..) {
                    if let Some(instance) = instances.get_mut(&instance_id) {
                        instance
                            .write_decisions(&instance_id, batch_time, &mut output)
                            .map_err(|e| e.to_string())?;
                    }
                }
                writeln!(output, "YIELD").and_then(|()| output.flush()).map_err(|e| e.to_string())?;
                now = None;
            }
            "LIST" => {
                let list_number = fields.integer("a list number")?;
                let count = fields.integer("a count of entries")?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    if !read_line(&mut input, &mut line, &mut line_number)? {
                        return Err(format!("line {line_number}: expected HOST, found the end of input"));
                    }
                    entries.push(wire::host_entry(&mut Fields::new(&line, line_number))?);
                }
                host_lists.insert(list_number, entries);
            }
            "PROVISION" => {
                let instance_id = fields.required("an instance")?.to_string();
                let seed = fields.integer("a seed")?;
                instances.insert(instance_id.clone(), HostedInstance::start(batch_time, seed, &mut fields)?);
                changed.push(instance_id);
            }
            "CRASH_NOW" => {
                instances.remove(fields.required("an instance")?);
            }
            _ => {
                let instance_id = fields.required("an instance")?.to_string();
                let Some(instance) = instances.get_mut(&instance_id) else {
                    return Err(fields.error("an instance that was provisioned"));
                };
                instance.handle_event(batch_time, message, &mut fields, &host_lists)?;
                changed.push(instance_id);
            }
        }
    }
    match now {
        Some(_) => Err(format!("line {line_number}: expected COMMIT, found the end of input")),
        None => Ok(()),
    }
}

fn read_line(input: &mut impl BufRead, line: &mut String, line_number: &mut usize) -> Result<bool, String> {
    line.clear();
    *line_number += 1;
    let bytes_read =
        input.read_line(line).map_err(|e| format!("line {line_number}: expected UTF-8 text: {e}"))?;
    line.truncate(line.trim_end_matches(['\n', '\r']).len());
    Ok(bytes_read > 0)
}
