//! `balsamctl`: command line tool for operators and callers of a deployment.

mod caller_api;
mod dry_run;
mod files;
mod status;
mod why;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser;
    bpaf::long("format")
        .help("Output format: text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}

/// Manages and queries deployments of the balsamgate query tier.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Generates a configuration from a questionnaire.
    #[bpaf(command)]
    Generate {
        /// File to write the configuration to; standard output if absent
        #[bpaf(long, short, argument("FILE"))]
        output: Option<PathBuf>,
        /// Questionnaire in INI format
        #[bpaf(positional("QUESTIONNAIRE"))]
        questionnaire: PathBuf,
    },
    /// Checks a questionnaire or a generated configuration.
    #[bpaf(command)]
    Check {
        /// A questionnaire or a configuration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the changes between two files; each may be a questionnaire or a configuration.
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        format: Format,
        /// File in force
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// File to publish
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Explains how requests of a class are served.
    #[bpaf(command)]
    Explain {
        /// A questionnaire or a configuration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
        /// Name of the class
        #[bpaf(positional("CLASS"))]
        class: base::id::Class,
    },
    /// Asks a node that relays requests where a request would go now, and why. Sends no request.
    #[bpaf(command("dry-run"))]
    DryRun {
        #[bpaf(external)]
        format: Format,
        /// Metrics address of the node
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
        /// Host of the request
        #[bpaf(positional("HOST"))]
        host: String,
        /// Path of the request
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Traces a request through the logs of nodes that relay requests.
    #[bpaf(command)]
    Why {
        /// Request id
        #[bpaf(positional("ID"))]
        request: String,
        /// Log files, one per node; standard input if absent
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Shows the status of nodes.
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        format: Format,
        /// Operators' addresses of nodes
        #[bpaf(positional("ADDRESS"), some("at least one operators' address"))]
        nodes: Vec<SocketAddr>,
    },
    /// Starts the planned stop of a node.
    #[bpaf(command)]
    Stop {
        /// Operators' address of the node
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
    },
    /// Requests the addresses that a node gives to callers.
    #[bpaf(command)]
    Addresses {
        #[bpaf(external)]
        format: Format,
        /// Name of the caller
        #[bpaf(long, argument("NAME"), fallback("balsamctl".to_owned()))]
        caller: String,
        /// Callers' address of any node
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
    },
    /// Sends a search as a caller.
    #[bpaf(command)]
    Query {
        #[bpaf(external)]
        format: Format,
        /// Set of callers to identify as
        #[bpaf(long, argument("NAME"))]
        caller: base::id::Caller,
        /// Request class
        #[bpaf(long, argument("NAME"))]
        class: base::id::Class,
        /// Service to search; may be repeated
        #[bpaf(long("service"), argument("NAME"), some("at least one service"))]
        services: Vec<base::id::Service>,
        /// Callers' address of any node
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
        /// Search text
        #[bpaf(positional("QUERY"))]
        query: String,
    },
}

fn main() -> ExitCode {
    match execute(command().run()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("balsamctl: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> eyre::Result<ExitCode> {
    match command {
        Command::Generate { output, questionnaire } => {
            files::generate(&questionnaire, output.as_ref())
        }
        Command::Check { file } => files::check(&file),
        Command::Diff { format, old, new } => files::diff(&old, &new, format),
        Command::Explain { file, class } => files::explain(&file, &class),
        Command::DryRun { format, node, host, path } => {
            block_on(dry_run::show(node, &host, &path, format))
        }
        Command::Why { request, logs } => why::show(&request, &logs),
        Command::Status { format, nodes } => block_on(status::show(&nodes, format)),
        Command::Stop { node } => block_on(status::stop(node)),
        Command::Addresses { format, caller, node } => {
            block_on(caller_api::addresses(node, &caller, format))
        }
        Command::Query { format, caller, class, services, node, query } => {
            let call = wire::caller::Search {
                caller,
                class,
                services,
                query,
                limit: None,
                deadline_ms: None,
            };
            block_on(caller_api::query(node, &call, format))
        }
    }
}

/// Runs `future` to its end on a single-threaded runtime.
fn block_on<T>(future: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}
