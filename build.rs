//! Finds out the commit that the programs are built from, which they log when they start.

#![expect(
    clippy::disallowed_methods,
    reason = "a build script reads the repository"
)]

use std::fs;
use std::path::Path;

/// Changes with each commit that is checked out or made.
const HEAD_LOG: &str = ".git/logs/HEAD";

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    // A path that does not exist would count as changed in each build.
    if Path::new(HEAD_LOG).exists() {
        println!("cargo::rerun-if-changed={HEAD_LOG}");
    }
    let commit = commit().unwrap_or_else(|| "unknown".to_owned());
    println!("cargo::rustc-env=JASMINERIDGE_COMMIT={commit}");
}

/// Returns the commit that is checked out, if this is a repository.
fn commit() -> Option<String> {
    let head = fs::read_to_string(".git/HEAD").ok()?;
    let Some(name) = head.trim().strip_prefix("ref: ") else {
        return Some(head.trim().to_owned());
    };
    let loose = fs::read_to_string(format!(".git/{name}"));
    loose
        .ok()
        .or_else(|| packed(name))
        .map(|commit| commit.trim().to_owned())
}

/// Returns the commit of a reference that is packed with others.
fn packed(name: &str) -> Option<String> {
    let packed = fs::read_to_string(".git/packed-refs").ok()?;
    let mut pairs = packed.lines().filter_map(|line| line.split_once(' '));
    pairs
        .find(|pair| pair.1 == name)
        .map(|pair| pair.0.to_owned())
}
