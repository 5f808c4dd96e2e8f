//! The end of the time in which a server that shuts down receives requests.

use futures::{FutureExt, pin_mut, select_biased};
use http::StatusCode;

use super::connection::{End, refusal};
use crate::signal::Signal;

/// Receives a request, or refuses it once `refusing` is raised.
pub(super) async fn until_refusing<T>(
    refusing: &Signal,
    receive: impl Future<Output = Result<T, End>>,
) -> Result<T, End> {
    let (received, refusing) = (receive.fuse(), refusing.raised().fuse());
    pin_mut!(received, refusing);
    // A request that has just arrived completely is handled.
    select_biased! {
        received = received => received,
        () = refusing => {
            let remedy = "the server is stopping: send the request to another one";
            Err(refusal(StatusCode::SERVICE_UNAVAILABLE, remedy))
        }
    }
}
