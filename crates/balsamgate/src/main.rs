//! `balsamgate`: the program that runs one node of the query tier.

mod observe;
mod relay;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use config::settings::{HELP, Help, Settings};
use eyre::WrapErr;
use node::server::Server;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A node of the balsamgate query tier.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a node until it receives a stop signal.
    #[bpaf(command)]
    Run {
        /// Settings file of the node, in INI format
        #[bpaf(long, short, argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs a node that relays requests on the users' platform.
    #[bpaf(command)]
    Relay {
        /// Settings file of the node, in INI format
        #[bpaf(long, short, argument("FILE"))]
        settings: PathBuf,
    },
    /// Lists every setting with its unit, range and default.
    #[bpaf(command)]
    Settings {
        /// List the settings of a node that relays requests
        #[bpaf(long)]
        relay: bool,
    },
    /// Checks a settings file without running a node.
    #[bpaf(command)]
    Check {
        /// Check the file as the settings of a node that relays requests
        #[bpaf(long)]
        relay: bool,
        /// Settings file of the node, in INI format
        #[bpaf(long, short, argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    match execute(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("balsamgate: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> eyre::Result<()> {
    match command {
        Command::Settings { relay } => {
            list_settings(if relay { config::relay::HELP } else { HELP });
            Ok(())
        }
        Command::Check { relay: true, settings } => {
            relay::read(&settings).map(|_| println!("settings are valid"))
        }
        Command::Check { relay: false, settings } => {
            read_settings(&settings).map(|_| println!("settings are valid"))
        }
        Command::Run { settings } => run(read_settings(&settings)?),
        Command::Relay { settings } => relay::run(&settings),
    }
}

/// Reads and validates the settings file at `path`.
fn read_settings(path: &PathBuf) -> eyre::Result<Settings> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    Ok(Settings::parse(&name, &text)?)
}

fn list_settings(settings: &[Help]) {
    for help in settings {
        println!("{}", help.field);
        println!("    {}", help.text);
        println!("    allowed: {}", help.allowed);
        let default = if help.default.is_empty() { "none; required" } else { help.default };
        println!("    default: {default}");
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    observe::start_log(&settings)?;
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.enable_all();
    if settings.worker_threads > 0 {
        runtime.worker_threads(settings.worker_threads);
    }
    runtime.build()?.block_on(serve(settings))
}

/// Serves until a stop signal, then stops as planned. Fails if the time limit of the stop cut off
/// requests.
async fn serve(settings: Settings) -> eyre::Result<()> {
    let traces = observe::start_traces(&settings)?;
    let metrics = observe::metrics(&settings)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop = CancellationToken::new();
    let seed = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), std::process::id());
    let server = Server::start(settings, metrics, seed, &stop).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = stop.cancelled() => {}
    }
    let cut_off = server.stop().await;
    if let Some(provider) = traces {
        // An export failure loses the last spans; it must not turn the stop into an error.
        let _ = provider.shutdown();
    }
    eyre::ensure!(
        cut_off == 0,
        "planned stop reached its time limit with {cut_off} requests running"
    );
    log::info!("stopped");
    Ok(())
}
