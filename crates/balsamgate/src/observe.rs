//! Setup of the process's logs, statsd counters and OTLP traces.

use std::net::UdpSocket;

use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};
use config::settings::Settings;
use eyre::WrapErr;
use opentelemetry::{global, trace::TracerProvider};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::{Resource, propagation::TraceContextPropagator, trace::SdkTracerProvider};
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{Layer, filter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// Prefix of the statsd counters and name of the service in traces.
const SERVICE_NAME: &str = "balsamgate";

/// Starts the plain-text log on standard error.
pub(crate) fn start_log(settings: &Settings) -> eyre::Result<()> {
    let level: LevelFilter = settings.log_level.parse()?;
    let config =
        ConfigBuilder::new().set_time_format_rfc3339().add_filter_ignore_str("tarpc").build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)?;
    Ok(())
}

/// Lines buffered for the writer thread. Further lines are dropped and counted.
const LOG_BUFFER_LINES: usize = 4_096;

/// Starts the JSON log on standard output. Logging never blocks the caller. Dropping the returned
/// guard flushes the buffered lines; the counter has the lines that were dropped.
pub(crate) fn start_json_log(level: &str) -> eyre::Result<(WorkerGuard, ErrorCounter)> {
    let level: LevelFilter = level.parse()?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(std::io::stdout());
    let dropped_lines = writer.error_counter();
    let lines = fmt::layer().json().flatten_event(true).with_target(false).with_writer(writer);
    tracing_subscriber::registry().with(lines.with_filter(tracing_level(level))).try_init()?;
    Ok((guard, dropped_lines))
}

fn tracing_level(level: LevelFilter) -> filter::Targets {
    use filter::LevelFilter as Tracing;
    let level = match level {
        LevelFilter::Off => Tracing::OFF,
        LevelFilter::Error => Tracing::ERROR,
        LevelFilter::Warn => Tracing::WARN,
        LevelFilter::Info => Tracing::INFO,
        LevelFilter::Debug => Tracing::DEBUG,
        LevelFilter::Trace => Tracing::TRACE,
    };
    // tarpc logs every call; only its warnings and errors pass.
    filter::Targets::new().with_default(level).with_target("tarpc", Tracing::WARN)
}

/// Returns a client for the statsd server in the settings, or `None` if they name none.
pub(crate) fn metrics(settings: &Settings) -> eyre::Result<Option<StatsdClient>> {
    let Some(address) = settings.statsd_addr else { return Ok(None) };
    let socket = UdpSocket::bind(if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" })?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket)?);
    Ok(Some(StatsdClient::from_sink(SERVICE_NAME, sink)))
}

/// Starts exporting spans to the OTLP collector in the settings, or returns `None` if they name
/// none.
pub(crate) fn start_traces(settings: &Settings) -> eyre::Result<Option<SdkTracerProvider>> {
    let Some(url) = &settings.otlp_url else { return Ok(None) };
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_endpoint(url)
        .build()
        .wrap_err("traces")?;
    let resource = Resource::builder().with_service_name(SERVICE_NAME).build();
    let provider =
        SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    global::set_text_map_propagator(TraceContextPropagator::new());
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer(SERVICE_NAME));
    tracing_subscriber::registry().with(layer).try_init()?;
    Ok(Some(provider))
}
