//! Calls between the system's own processes over capnp-rpc.
