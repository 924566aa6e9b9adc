//! The commands `generate`, `check`, `diff` and `explain`, which read questionnaires and
//! configurations from files.

use std::{path::PathBuf, process::ExitCode};

use base::id;
use config::{
    deployment::{Deployment, MAX_VALUE_BYTES},
    diff, explain, questionnaire,
};
use eyre::{OptionExt, WrapErr};

use crate::Format;

/// Generates a configuration from the questionnaire at `path` and writes it to `output`, or to
/// standard output. Fails if it is larger than [`MAX_VALUE_BYTES`].
pub(crate) fn generate(path: &PathBuf, output: Option<&PathBuf>) -> eyre::Result<ExitCode> {
    let deployment = read_questionnaire(path)?;
    let bytes = deployment.to_bytes();
    let size = bytes.len();
    eyre::ensure!(
        size <= MAX_VALUE_BYTES,
        "the configuration has {size} bytes, more than the limit of {MAX_VALUE_BYTES}"
    );
    match output {
        Some(output) => {
            std::fs::write(output, bytes).wrap_err_with(|| output.display().to_string())?;
        }
        None => print!("{}", String::from_utf8(bytes)?),
    }
    Ok(ExitCode::SUCCESS)
}

/// Validates the file at `path` and prints a summary.
pub(crate) fn check(path: &PathBuf) -> eyre::Result<ExitCode> {
    let deployment = read_deployment(path)?;
    let servers: usize =
        deployment.services.iter().flat_map(|s| &s.groups).map(|g| g.servers.len()).sum();
    println!(
        "{}: generation {} of {}, {} services, {servers} servers, {} classes, {} sets of callers",
        path.display(),
        deployment.generation,
        deployment.name,
        deployment.services.len(),
        deployment.classes.len(),
        deployment.callers.len(),
    );
    Ok(ExitCode::SUCCESS)
}

/// Prints the changes from the file `old` to the file `new`.
pub(crate) fn diff(old: &PathBuf, new: &PathBuf, format: Format) -> eyre::Result<ExitCode> {
    let lines = diff::describe(&read_deployment(old)?, &read_deployment(new)?);
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(&lines)?),
        Format::Text if lines.is_empty() => println!("no change"),
        Format::Text => lines.iter().for_each(|line| println!("{line}")),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints what the configuration grants to requests of `class`.
pub(crate) fn explain(path: &PathBuf, class: &id::Class) -> eyre::Result<ExitCode> {
    let deployment = read_deployment(path)?;
    let classes: Vec<&str> = deployment.classes.iter().map(|c| c.name.as_str()).collect();
    let lines = explain::describe(&deployment, class).ok_or_eyre(format!(
        "class: unknown class {class:?}, expected one of {}",
        classes.join(", ")
    ))?;
    lines.iter().for_each(|line| println!("{line}"));
    Ok(ExitCode::SUCCESS)
}

/// Reads a questionnaire or a configuration. A configuration is JSON and starts with a brace.
fn read_deployment(path: &PathBuf) -> eyre::Result<Deployment> {
    let text = read_text(path)?;
    if text.trim_start().starts_with('{') {
        return Deployment::parse(text.as_bytes()).wrap_err_with(|| path.display().to_string());
    }
    Ok(questionnaire::generate(&path.display().to_string(), &text)?)
}

fn read_questionnaire(path: &PathBuf) -> eyre::Result<Deployment> {
    Ok(questionnaire::generate(&path.display().to_string(), &read_text(path)?)?)
}

fn read_text(path: &PathBuf) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}
