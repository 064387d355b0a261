//! Encodes the messages of a server: startup response, rows, errors, parameters.
use crate::frame::write_frame;

/// The response to a startup message: authenticated, and ready for a query.
pub fn startup_response(out: &mut Vec<u8>) {
    write_frame(out, b'R', &[&0i32.to_be_bytes()]);
    for (name, value) in [("server_encoding", "UTF8"), ("client_encoding", "UTF8"), ("DateStyle", "ISO")] {
        write_frame(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    // Cancel requests by key are not supported, so the key is all zeros.
    write_frame(out, b'K', &[&[0; 8]]);
    ready(out);
}

pub fn ready(out: &mut Vec<u8>) {
    write_frame(out, b'Z', &[b"I"]);
}

pub fn empty_query(out: &mut Vec<u8>) {
    write_frame(out, b'I', &[]);
    ready(out);
}

/// With `fatal` the server closes the connection afterwards; otherwise the caller adds the messages that
/// follow.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity: &[u8] = if fatal { b"FATAL" } else { b"ERROR" };
    let mut body = Vec::with_capacity(64);
    let fields = [(b'S', severity), (b'V', severity), (b'C', code.as_bytes()), (b'M', message.as_bytes())];
    for (key, value) in fields.into_iter().chain(detail.map(|d| (b'D', d.as_bytes()))) {
        body.push(key);
        body.extend_from_slice(value);
        body.push(0);
    }
    write_frame(out, b'E', &[&body, b"\0"]);
}

/// One value as the answer to a query, without the ReadyForQuery: RowDescription, DataRow, CommandComplete.
pub fn row(out: &mut Vec<u8>, value: &[u8]) {
    // Column 0 of no table, bytea (type 17) in binary form.
    let column = [&[0; 6][..], &17u32.to_be_bytes(), &(-1i16).to_be_bytes(), &(-1i32).to_be_bytes(), &[0, 1]];
    write_frame(out, b'T', &[b"\0\x01payload\0", &column.concat()]);
    write_frame(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
    write_frame(out, b'C', &[b"SELECT 1\0"]);
}

/// A ParameterStatus.
pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    write_frame(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
}

/// Only a CommandComplete, for commands that return no row and have no effect here.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    write_frame(out, b'C', &[tag.as_bytes(), b"\0"]);
}

/// How answers and host lists spell a role.
pub fn mode(primary: bool) -> &'static str {
    match primary {
        true => "read-write",
        false => "read-only",
    }
}
