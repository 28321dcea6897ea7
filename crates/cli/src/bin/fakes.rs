//! The stand-ins as a program, for tests with real processes.

fn main() -> std::io::Result<()> {
    fakes::run()
}
