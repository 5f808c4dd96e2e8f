//! Reads INI text into typed values and lists every fault with line, name and remedy.
