//! Propagation of the trace context in W3C headers, with one span for each hop.

use opentelemetry::{
    global,
    propagation::{Extractor, Injector},
    trace::TraceContextExt,
};
use smol_str::{SmolStr, format_smolstr};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

use crate::context::Context;

struct Headers<'a>(&'a http::HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|v| v.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

struct HeadersMut<'a>(&'a mut http::HeaderMap);

impl Injector for HeadersMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = http::HeaderName::try_from(key);
        let value = http::HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.0.insert(name, value);
        }
    }
}

/// Sets the trace context in `headers` as the parent of `span`.
pub fn set_parent(span: &Span, headers: &http::HeaderMap) {
    let parent = global::get_text_map_propagator(|p| p.extract(&Headers(headers)));
    // Fails without a subscriber, when the span is disabled.
    let _ = span.set_parent(parent);
}

/// Writes the trace context of the current span to `headers`.
pub fn inject(headers: &mut http::HeaderMap) {
    let context = Span::current().context();
    global::get_text_map_propagator(|p| p.inject_context(&context, &mut HeadersMut(headers)));
}

/// Returns the id of the current trace, or a random one if tracing is off.
pub fn current_trace_id(context: &Context) -> SmolStr {
    let current = Span::current().context();
    let span = current.span().span_context().clone();
    if span.is_valid() {
        return format_smolstr!("{}", span.trace_id());
    }
    format_smolstr!("{:016x}{:016x}", context.random(), context.random())
}
