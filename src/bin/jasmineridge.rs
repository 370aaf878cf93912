//! To come.
fn main() {}
