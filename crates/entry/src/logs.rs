//! Logs as JSON lines.

use {
    fern::FormatCallback,
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{fmt::Arguments, time::SystemTime},
};

/// Begins to write logs as the settings say.
///
/// # Errors
/// Returns an error if the file can't be opened or logs are written already.
pub fn start(settings: &config::settings::Log, vm: &str) -> Result<(), crate::Error> {
    let vm: Box<str> = vm.into();
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| format(out, &vm, message, record));
    let dispatch = match &settings.file {
        Some(path) => {
            dispatch.chain(fern::log_file(path).map_err(|error| crate::Error::file(path, error))?)
        }
        None => dispatch.chain(std::io::stdout()),
    };
    dispatch
        .apply()
        .map_err(|error| crate::Error::new(error.to_string()))
}

fn format(out: FormatCallback<'_>, vm: &str, message: &Arguments<'_>, record: &Record<'_>) {
    let time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields
        .0
        .insert("time_ms".into(), json!(time.as_millis() as u64));
    fields
        .0
        .insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("vm".into(), json!(vm));
    fields.0.insert("event".into(), json!(record.target()));
    fields
        .0
        .insert("message".into(), json!(message.to_string()));
    let _ = record.key_values().visit(&mut fields);
    out.finish(format_args!("{}", serde_json::Value::Object(fields.0)));
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => json!(number),
            (None, Some(number)) => json!(number),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
