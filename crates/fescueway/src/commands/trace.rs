//! `fescueway trace`: tells the story of a request from the logs of nodes.

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

/// Events of nodes that met the request count as part of its story from this long before it.
const CONTEXT_BEFORE: Duration = Duration::from_secs(2);

/// The name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Fields that name a node.
const NODE_FIELDS: [&str; 5] = ["node", "entry", "target", "last_target", "late_target"];

/// A line of a log.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LogLine {
    /// When it was logged, RFC 3339.
    time: String,
    /// The number of its event.
    event: u16,
    /// What happened.
    message: String,
    /// Its fields.
    fields: Map<String, Value>,
    /// Whether it is not about the request itself, but about a node that met it.
    #[serde(default)]
    is_context: bool,
    /// How many nodes logged the same, when it is not about the request itself.
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
    let story = story_of(&id, &lines);
    if story.is_empty() {
        let count = lines.len();
        let message = format!(
            "no event of request {id} in {count} events; nodes may have left it out to bound their logs, which \
             `suppressed` tells"
        );
        return Err(CommandError::refused(eyre!(message)));
    }
    if options.is_json {
        return Ok(CommandReply::done(json_text(&story)?));
    }
    Ok(CommandReply::done(story_text(&story)))
}

/// The events of all files.
fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_text(file)
            .wrap_err_with(|| format!("can't read {}", file.display()))
            .map_err(CommandError::invalid)?;
        // A line may begin with what collected it, and other programs' lines are passed over.
        let found = text.lines().filter_map(|line| {
            let start = line.find('{')?;
            serde_json::from_str(&line[start..]).ok()
        });
        lines.extend(found);
    }
    Ok(lines)
}

/// The text of a file, whatever bytes it holds.
fn read_text(file: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    if file == Path::new(STANDARD_INPUT) {
        io::stdin().read_to_end(&mut bytes)?;
    } else {
        bytes = fs::read(file)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// The request's events in order, with those of the nodes that met it.
fn story_of(id: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let own = lines.iter().filter(|line| line.is_field("id", id));
    let mut story: Vec<_> = own.cloned().collect();
    let times = story.iter().filter_map(LogLine::at);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return story;
    };
    let met: BTreeSet<_> = story.iter().flat_map(LogLine::nodes).collect();
    let context = lines.iter().filter(|line| {
        let is_near = line
            .at()
            .is_some_and(|at| at + CONTEXT_BEFORE >= first && at <= last);
        is_near && !line.fields.contains_key("id") && line.nodes().any(|node| met.contains(&node))
    });
    story.extend(merged(context));
    story.sort_by(|one, other| one.time.cmp(&other.time));
    story
}

/// Events of nodes, with those that several nodes logged alike in place of the first.
fn merged<'a>(context: impl Iterator<Item = &'a LogLine>) -> Vec<LogLine> {
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

/// The story as text, with the time of each event after the first.
fn story_text(story: &[LogLine]) -> String {
    let own = story.iter().filter(|line| !line.is_context);
    let start = own.filter_map(LogLine::at).min();
    let kinds = events::all();
    let mut text = String::new();
    for line in story {
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
    /// When it was logged; `None` when its time makes no sense.
    fn at(&self) -> Option<SystemTime> {
        humantime::parse_rfc3339(&self.time).ok()
    }

    /// Milliseconds after `start`, below zero before it.
    fn offset_ms(&self, start: Option<SystemTime>) -> i64 {
        let (Some(at), Some(start)) = (self.at(), start) else {
            return 0;
        };
        match at.duration_since(start) {
            Ok(after) => after.as_millis() as i64,
            Err(before) => -(before.duration().as_millis() as i64),
        }
    }

    /// Whether a field has this value.
    fn is_field(&self, name: &str, value: &str) -> bool {
        let found = self.fields.get(name).and_then(Value::as_str);
        found == Some(value)
    }

    /// The nodes that it names.
    fn nodes(&self) -> impl Iterator<Item = &str> {
        let named = NODE_FIELDS.iter().filter_map(|name| self.fields.get(*name));
        named.filter_map(Value::as_str).filter(|node| *node != "-")
    }

    /// Its fields as text, those that are `known` first and in that order. Left out are the id, which the
    /// operator gave, and counts of nothing.
    fn field_text(&self, known: &[&str]) -> String {
        let is_known = |name: &&String| known.contains(&name.as_str());
        let others = self.fields.keys().filter(|name| !is_known(name));
        let names = known.iter().copied().chain(others.map(String::as_str));
        let mut text = String::new();
        for name in names {
            let is_idle = name == "suppressed" && self.is_field(name, "0");
            if name == "id" || is_idle {
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
