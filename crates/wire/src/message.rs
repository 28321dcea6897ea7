//! Messages of the inner protocol, generated from `schema/inner.proto` by `tools/schema`.

#![expect(
    missing_docs,
    clippy::pedantic,
    clippy::doc_markdown,
    reason = "generated code"
)]

include!("generated.rs");
