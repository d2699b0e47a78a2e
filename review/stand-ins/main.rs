//! Stand-ins for the platform, its targets and its clients, and the scripts that use them.
//!
//! `stand-ins SCRIPT FOLDER` plays a script and writes FOLDER/record.txt. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 the disruption is left
//! out.

mod client;
mod http;
mod record;
mod scripts;
mod site;
mod store;
mod target;

use std::{env, panic, path::PathBuf, process::ExitCode};

use record::Record;

/// How a script ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotPlayed(String),
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (script, folder) = (words.next().unwrap_or_default(), words.next());
    let folder = PathBuf::from(folder.unwrap_or_else(|| ".".to_owned()));
    let record = Record::create(&folder.join("record.txt"));
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!(
        "script {script}, with its disruption: {is_troubled}"
    ));
    let playing = record.clone();
    let played = panic::catch_unwind(move || match script.as_str() {
        "silent-bookings" => scripts::silent_bookings::play(&playing, is_troubled),
        "silent-answers" => scripts::silent_answers::play(&playing, is_troubled),
        "lost-answer" => scripts::lost_answer::play(&playing, is_troubled),
        "clock-step" => scripts::clock_step::play(&playing, is_troubled),
        "same-read" => scripts::same_read::play(&playing, is_troubled),
        _ => Verdict::NotPlayed("no such script".to_owned()),
    });
    let verdict = played.unwrap_or_else(|_| Verdict::NotPlayed("a stand-in failed".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotPlayed(text) => (2, format!("not played: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
