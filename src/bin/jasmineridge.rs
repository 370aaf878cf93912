//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    jasmineridge::run_cli(std::env::args_os())
}
