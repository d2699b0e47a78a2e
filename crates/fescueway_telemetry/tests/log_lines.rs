//! Format of events in the log. One test, since a process has only one logger.

use std::{
    io::{Result, Write},
    sync::{Arc, Mutex},
};

use fescueway_telemetry::{LogConfig, LogFormat, emit, events::operator};
use log::LevelFilter;

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panicked").clone();
        String::from_utf8(bytes).expect("UTF-8")
    }
}

impl Write for SharedOutput {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        self.0.lock().expect("no writer panicked").write(buf)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn events_are_logged_as_single_lines_of_text_and_json() {
    let (text, json) = (SharedOutput::default(), SharedOutput::default());
    let level = LevelFilter::Info;
    let text_config = LogConfig {
        level,
        format: LogFormat::Text,
    };
    let json_config = LogConfig {
        level,
        format: LogFormat::Json,
    };
    fern::Dispatch::new()
        .chain(text_config.dispatch(text.clone()))
        .chain(json_config.dispatch(json.clone()))
        .apply()
        .expect("the first logger");
    // A value that tries to forge a second line and another field.
    emit(&operator::SETTINGS_REFUSED, &[&"bad\nE3001 node=x"]);
    log::debug!("below the level");

    let text = text.text();
    assert_eq!(text.lines().count(), 1, "{text}");
    let (time, rest) = text.split_once(' ').expect("a time");
    assert!(
        time.ends_with('Z') && time.len() == "2026-01-02T03:04:05.678Z".len(),
        "{time}"
    );
    assert_eq!(
        rest.trim_end(),
        r#"ERROR E3002 settings refused error="bad\nE3001 node=x""#
    );

    let json = json.text();
    let line: serde_json::Value = serde_json::from_str(&json).expect("one line of JSON");
    assert_eq!(line["event"], 3002);
    assert_eq!(line["message"], "settings refused");
    assert_eq!(line["fields"]["error"], "bad\nE3001 node=x");
}
