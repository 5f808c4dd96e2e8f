//! Header fields that concern one connection only.

use http::{HeaderMap, HeaderName, header};

/// Fields that apply to one connection only and are not forwarded (hop-by-hop fields).
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Returns the end-to-end fields: all but those of the connection.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP_FIELDS {
        forwarded.remove(name);
    }
    for named in headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok()) {
        for name in named.split(',') {
            if let Ok(name) = name.trim().parse::<HeaderName>() {
                forwarded.remove(name);
            }
        }
    }
    forwarded
}
