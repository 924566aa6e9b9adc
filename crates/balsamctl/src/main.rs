//! `balsamctl`: the operators' and callers' command line.

mod ask;
mod files;
mod status;
mod why;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;

/// Form of what is printed.
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
            _ => Err("allowed text or json".to_owned()),
        }
    }
}

fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser;
    bpaf::long("format")
        .help("Form of what is printed: text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}

/// Works with deployments of the balsamgate query tier.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Generates a configuration from a questionnaire.
    #[bpaf(command)]
    Generate {
        /// Where to write it; standard output if absent
        #[bpaf(long, short, argument("FILE"))]
        output: Option<PathBuf>,
        /// The questionnaire, in INI
        #[bpaf(positional("QUESTIONNAIRE"))]
        questionnaire: PathBuf,
    },
    /// Checks a questionnaire or a generated configuration.
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows what changes from one file to another; each may be a questionnaire or a configuration.
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        format: Format,
        /// What is in force
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// What is to be published
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Explains what a class of requests will get.
    #[bpaf(command)]
    Explain {
        /// A questionnaire or a configuration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
        /// The class
        #[bpaf(positional("CLASS"))]
        class: base::id::Class,
    },
    /// Tells a request's story from the logs of nodes that relay requests.
    #[bpaf(command)]
    Why {
        /// Id of the request
        #[bpaf(positional("ID"))]
        request: String,
        /// Log files, one of each node; standard input if absent
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Shows the state of nodes.
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
    /// Asks a node for the addresses to use, as a caller does.
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
    /// Sends a search, as a caller does.
    #[bpaf(command)]
    Query {
        #[bpaf(external)]
        format: Format,
        /// Name of the set of callers
        #[bpaf(long, argument("NAME"))]
        caller: base::id::Caller,
        /// Class of the request
        #[bpaf(long, argument("NAME"))]
        class: base::id::Class,
        /// Service to search; may be given several times
        #[bpaf(long("service"), argument("NAME"), some("at least one service"))]
        services: Vec<base::id::Service>,
        /// Callers' address of any node
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
        /// What to search for
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
        Command::Why { request, logs } => why::show(&request, &logs),
        Command::Status { format, nodes } => on_runtime(status::show(&nodes, format)),
        Command::Stop { node } => on_runtime(status::stop(node)),
        Command::Addresses { format, caller, node } => {
            on_runtime(ask::addresses(node, &caller, format))
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
            on_runtime(ask::query(node, &call, format))
        }
    }
}

fn on_runtime<T>(future: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}
