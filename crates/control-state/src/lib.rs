//! What the replicated log decides: tables by compare-and-set, order claims, fencing numbers.
