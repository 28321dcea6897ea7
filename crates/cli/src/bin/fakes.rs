//! The `mastictrail-fakes` command: fakes as processes, for tests.

fn main() -> std::io::Result<()> {
    fakes::run()
}
