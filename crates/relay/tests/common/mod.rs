//! A node without peers, for tests in one process.

use std::{sync::Arc, time::Duration};

use base::{clock::TokioClock, id};
use config::relay::Settings;
use http::{HeaderMap, HeaderValue, request, response};
use relay::{
    interface::{Codec, MalformedRequest, PlatformSource, ReplyMetadata, RequestMetadata},
    node::Node,
};

/// Creates a node that follows `platform`. `apply` is the time within which a configuration must
/// be in force.
pub(crate) fn node(platform: Arc<dyn PlatformSource>, apply: Duration) -> Arc<Node> {
    let settings = format!(
        "[node]\ndeployment = test\nfailure_domain = a\n\
         [listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\ndirectory = 127.0.0.1:3\n\
         peers = 127.0.0.1:4\n[platform]\naddress = 127.0.0.1:5\n\
         [bounds]\napply = {} ms\n",
        apply.as_millis()
    );
    let settings = Settings::parse("test", &settings).expect("valid settings");
    let (codec, clock) = (Arc::new(NoCodec), Arc::new(TokioClock));
    Arc::new(Node::new(settings, codec, platform, clock, id::Incarnation(1), 7))
}

/// No request is relayed here.
#[derive(Debug)]
struct NoCodec;

impl Codec for NoCodec {
    fn read_request(&self, _: &request::Parts) -> Result<RequestMetadata, MalformedRequest> {
        unreachable!("no request is relayed")
    }

    fn write_attempt(&self, _: &mut HeaderMap, _: &id::Instance, _: Duration) {}

    fn write_relayed(&self, _: &mut HeaderMap, _: Duration) {}

    fn read_reply(&self, _: &HeaderValue, _: &response::Parts) -> ReplyMetadata {
        unreachable!("no request is relayed")
    }

    fn write_merged(&self, _: &mut HeaderMap, _: &[HeaderValue], _: usize) {}
}
