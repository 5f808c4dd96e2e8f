//! Restricts a stream that is taken up to the software version that began it.

use std::time::Duration;

use dissemination::StreamHash;
use http::StatusCode;
use policy::VersionHash;

use crate::{
    outcome::{Code, Failure},
    routing::Routed,
    services::Services,
};

/// When a caller may start a stream anew that cannot go on.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The software version to which a request that takes up a stream is restricted. The pool of the request
/// becomes that of the version, if its route has that pool.
///
/// # Errors
/// If the version is unknown, or its servers are gone.
pub(super) async fn restrict_to_origin(
    services: &Services,
    routed: &mut Routed,
    resumed_request: Option<&str>,
) -> Result<VersionHash, Failure> {
    let known = match resumed_request {
        Some(id) => services.streams.find(id, services.domain.get()).await,
        None => None,
    };
    let dispatcher = &services.dispatcher;
    // The record of a stream that is named may be lost. A caller that names none cannot be known, and
    // goes on where there is no choice.
    let alone_for = if resumed_request.is_some() { StreamHash::TTL } else { Duration::ZERO };
    let pool = &routed.pool().name;
    // A router that has just started does not know the versions of before; its hub may.
    let now_sole = dispatcher.sole_version(pool, Duration::ZERO);
    let at_hub = || services.streams.sole_version_at_hub(pool).filter(|it| now_sole == Some(*it));
    let sole = dispatcher.sole_version(pool, alone_for);
    let version = known.or(sole).or_else(at_hub);
    tracing::info!(
        event = "stream_taken_up",
        request_id = %routed.arrival.id,
        resumes = resumed_request,
        version_hash = version.map(|it| it.0),
        known_by = match (known, version) {
            (Some(_), _) => "record",
            (None, Some(_)) if sole.is_some() => "sole-version",
            (None, Some(_)) => "sole-version-at-hub",
            (None, None) => "nobody",
        },
    );
    let Some(version) = version else {
        return Err(refusal("no router knows which version began the stream; start it anew"));
    };
    let serves =
        |it: &tables::PoolIdx| dispatcher.serves_version(&routed.tables.pool(*it).name, version);
    let pool = routed.route().pools().find(serves);
    match pool {
        Some(pool) => {
            routed.pool = pool;
            Ok(version)
        }
        None => {
            Err(refusal("no server of the version that began the stream is left; start it anew"))
        }
    }
}

fn refusal(message: &str) -> Failure {
    Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, Code::NoBackendServer, message)
        .retry_after(RETRY_AFTER)
}
