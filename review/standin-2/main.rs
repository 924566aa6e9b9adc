//! Stand-ins and checks of the cases in `review/`, apart from those of the earlier review.
//!
//! `case-2 NAME FOLDER` runs a case and writes `record.txt` into `FOLDER`. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption
//! out.

mod case_endless;
mod case_entry;
mod case_partition;
mod case_restart;
mod case_settings;
mod client;
mod http;
mod links;
mod node;
mod record;
mod server;
mod store;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use record::Record;

/// What a case needs.
pub struct Setup {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// Why a case could not run.
pub type Error = Box<dyn std::error::Error>;

/// Returns whether the rule was broken.
type Case = fn(&Setup) -> Result<bool, Error>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case-2 NAME FOLDER");
        return ExitCode::from(2);
    };
    let case: Case = match name.as_str() {
        "endless" => case_endless::run,
        "entry" => case_entry::run,
        "partition" => case_partition::run,
        "restart" => case_restart::run,
        "settings" => case_settings::run,
        _ => {
            eprintln!("unknown case {name}");
            return ExitCode::from(2);
        }
    };
    match run(case, Path::new(folder)) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(case: Case, folder: &Path) -> Result<bool, Error> {
    let record = Record::new(&folder.join("record.txt").display().to_string())?;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let setup = Setup { record, folder: temporary.clone(), has_trouble };
    let broken = case(&setup);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    match &broken {
        Ok(true) => setup.record.say("result: the rule was broken"),
        Ok(false) => setup.record.say("result: the rule held"),
        Err(e) => setup.record.say(format!("result: the case could not run: {e}")),
    }
    broken
}
