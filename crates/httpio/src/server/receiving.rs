//! The end of the time in which a server receives a request.

use futures::{FutureExt, pin_mut, select_biased};
use http::StatusCode;

use super::connection::{End, refusal};
use crate::signal::Signal;

/// Receives a request, or refuses it once the server shuts down (`refusing`), or if it has stalled and others need its
/// room (`ended`).
pub(super) async fn until_refusing<T>(
    refusing: &Signal,
    ended: &Signal,
    receive: impl Future<Output = Result<T, End>>,
) -> Result<T, End> {
    let received = receive.fuse();
    let (refusing, ended) = (refusing.raised().fuse(), ended.raised().fuse());
    pin_mut!(received, refusing, ended);
    // A request that has just arrived completely is handled.
    select_biased! {
        received = received => received,
        () = refusing => {
            let remedy = "the server is stopping: send the request to another one";
            Err(refusal(StatusCode::SERVICE_UNAVAILABLE, remedy))
        }
        () = ended => Err(refusal(StatusCode::REQUEST_TIMEOUT, "send the whole request faster")),
    }
}
