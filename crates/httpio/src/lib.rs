//! HTTP/1.1 over monoio-http with limits and time limits around the codec.
