//! `fescueway trace`: prints the events of a request from the logs of nodes, in order.

use std::{
    collections::BTreeSet,
    fmt::Write as _,
    fs,
    io::{self, Read},
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use eyre::{WrapErr, eyre};
use fescueway_telemetry::events;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    cli_error::{CommandError, CommandReply, CommandResult},
    command_line::CliOptions,
    commands::json_text,
};

/// Events of nodes involved in the request are included from this long before its first event.
const CONTEXT_BEFORE: Duration = Duration::from_secs(2);

/// The file name that means standard input.
const STDIN_NAME: &str = "-";

/// Event fields that hold the id of a node.
const NODE_FIELDS: [&str; 5] = ["node", "entry", "target", "last_target", "late_target"];

/// One event in a log.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LogLine {
    /// Time of logging, in RFC 3339.
    time: String,
    /// Number of the event.
    event: u16,
    /// Message of the event.
    message: String,
    /// Fields of the event.
    fields: Map<String, Value>,
    /// Whether the event is not about the request itself, but about a node involved in it.
    #[serde(default)]
    is_context: bool,
    /// For context events, the number of lines with the same event and fields.
    #[serde(default)]
    repeats: u32,
}

/// Runs the command.
pub(crate) fn run(options: &CliOptions) -> CommandResult {
    let Some((id, files)) = options.files.split_first() else {
        return Err(CommandError::usage("no id given; `fescueway help trace`"));
    };
    if files.is_empty() {
        return Err(CommandError::usage("no log given; `-` is standard input"));
    }
    let id = id.to_string_lossy();
    let lines = read_lines(files)?;
    let timeline = request_timeline(&id, &lines);
    if timeline.is_empty() {
        let count = lines.len();
        let message = format!(
            "no event of request {id} in {count} events; nodes may have suppressed it to \
             bound their logs; the field `suppressed` of other events counts these"
        );
        return Err(CommandError::refused(eyre!(message)));
    }
    if options.is_json {
        return Ok(CommandReply::done(json_text(&timeline)?));
    }
    Ok(CommandReply::done(timeline_text(&timeline)))
}

/// Reads the events of all files.
fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_text(file)
            .wrap_err_with(|| format!("can't read {}", file.display()))
            .map_err(CommandError::invalid)?;
        // Log collectors may put a prefix before the JSON; lines of other programs are skipped.
        let found = text.lines().filter_map(|line| {
            let start = line.find('{')?;
            serde_json::from_str(&line[start..]).ok()
        });
        lines.extend(found);
    }
    Ok(lines)
}

/// Reads a file as text; bytes that are not UTF-8 are replaced.
fn read_text(file: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    if file == Path::new(STDIN_NAME) {
        io::stdin().read_to_end(&mut bytes)?;
    } else {
        bytes = fs::read(file)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// The request's events in order of time, with the context events of the nodes involved in it.
fn request_timeline(id: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let request_lines = lines.iter().filter(|line| line.has_value("id", id));
    let mut timeline: Vec<_> = request_lines.cloned().collect();
    let times = timeline.iter().filter_map(LogLine::timestamp);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return timeline;
    };
    let request_nodes: BTreeSet<_> = timeline.iter().flat_map(LogLine::nodes).collect();
    let context = lines.iter().filter(|line| {
        let is_in_window = line
            .timestamp()
            .is_some_and(|at| at + CONTEXT_BEFORE >= first && at <= last);
        is_in_window
            && !line.fields.contains_key("id")
            && line.nodes().any(|node| request_nodes.contains(&node))
    });
    timeline.extend(merge_repeats(context));
    timeline.sort_by(|one, other| one.time.cmp(&other.time));
    timeline
}

/// Merges context events with the same number and fields into one, at the earliest time.
fn merge_repeats<'a>(context: impl Iterator<Item = &'a LogLine>) -> Vec<LogLine> {
    let mut merged: Vec<LogLine> = Vec::new();
    for line in context {
        let mut known = merged.iter_mut();
        let same = known.find(|known| known.event == line.event && known.fields == line.fields);
        if let Some(same) = same {
            same.repeats += 1;
            if line.time < same.time {
                same.time.clone_from(&line.time);
            }
            continue;
        }
        merged.push(LogLine {
            is_context: true,
            repeats: 1,
            ..line.clone()
        });
    }
    merged
}

/// The timeline as text. Each line has its offset from the request's first event.
fn timeline_text(timeline: &[LogLine]) -> String {
    let request_lines = timeline.iter().filter(|line| !line.is_context);
    let start = request_lines.filter_map(LogLine::timestamp).min();
    let kinds = events::all();
    let mut text = String::new();
    for line in timeline {
        let kind = kinds.iter().find(|kind| kind.number == line.event);
        let known = kind.map_or(&[][..], |kind| kind.fields);
        let mark = if line.is_context { "~" } else { " " };
        let offset = line.offset_ms(start);
        let fields = line.field_text(known);
        let (time, event, message) = (&line.time, line.event, &line.message);
        let times = if line.repeats > 1 {
            format!(" ({} times)", line.repeats)
        } else {
            String::new()
        };
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{time} {offset:>+8} ms {mark} E{event:04} {message}{times}{fields}"
        );
    }
    text
}

impl LogLine {
    /// The time of logging; `None` if it is not valid RFC 3339.
    fn timestamp(&self) -> Option<SystemTime> {
        humantime::parse_rfc3339(&self.time).ok()
    }

    /// Milliseconds after `start`, negative before it.
    fn offset_ms(&self, start: Option<SystemTime>) -> i64 {
        let (Some(at), Some(start)) = (self.timestamp(), start) else {
            return 0;
        };
        match at.duration_since(start) {
            Ok(after) => after.as_millis() as i64,
            Err(before) => -(before.duration().as_millis() as i64),
        }
    }

    /// Whether the text field `name` has this value.
    fn has_value(&self, name: &str, value: &str) -> bool {
        let found = self.fields.get(name).and_then(Value::as_str);
        found == Some(value)
    }

    /// The nodes that the fields name.
    fn nodes(&self) -> impl Iterator<Item = &str> {
        let named = NODE_FIELDS.iter().filter_map(|name| self.fields.get(*name));
        named.filter_map(Value::as_str).filter(|node| *node != "-")
    }

    /// The fields as text, those in `known` first and in that order. Omits the id, which the operator
    /// gave, and a `suppressed` of 0.
    fn field_text(&self, known: &[&str]) -> String {
        let is_known = |name: &&String| known.contains(&name.as_str());
        let others = self.fields.keys().filter(|name| !is_known(name));
        let names = known.iter().copied().chain(others.map(String::as_str));
        let mut text = String::new();
        for name in names {
            let is_zero_count = name == "suppressed" && self.has_value(name, "0");
            if name == "id" || is_zero_count {
                continue;
            }
            // Writing to a string can't fail.
            let _ = match self.fields.get(name) {
                Some(Value::String(value)) if value.contains([' ', '"']) => {
                    write!(text, " {name}={value:?}")
                }
                Some(Value::String(value)) => write!(text, " {name}={value}"),
                Some(value) => write!(text, " {name}={value}"),
                None => Ok(()),
            };
        }
        text
    }
}
