//! Customers, each in a `[customer NAME]` section or on a line of `[customers]`.

use {
    super::Parser,
    crate::{
        deployment::Customer,
        ini::{Entry, Reader, Section},
        value,
    },
    base::{arena::Arena, key},
    std::collections::HashMap,
};

/// Permitted form of a line of `[customers]`.
const LINE_FORMAT: &str = "`NAME = DIGEST`, then any of weight=N, rate=N/s and concurrency=N";

impl<'a> Parser<'a> {
    #[expect(
        clippy::unused_self,
        reason = "all section readers have the same signature"
    )]
    pub(super) fn customer(&self, section: &'a Section, reader: &Reader<'a>) -> Customer {
        Customer {
            name: section.name.clone(),
            key_sha256: reader.required("key_sha256", value::DIGEST, value::digest),
            weight: reader.optional("weight", value::positive).unwrap_or(1),
            rate: reader.optional("rate", value::rate),
            concurrency: reader.optional("concurrency", value::positive),
        }
    }

    /// Reads the customers of all `[customers]` sections.
    pub(super) fn read_customers(&self, customers: &mut Arena<key::Customer, Customer>) {
        for section in self.of_kind("customers") {
            let reader = self.reader(section);
            if !section.name.is_empty() {
                reader.reject("", "the section takes no name", "[customers]");
            }
            for entry in &section.entries {
                match parse_line(entry) {
                    Ok(customer) => insert(customers, customer, entry, &reader),
                    Err(permitted) => {
                        let message = format!("`{}` is not permitted", entry.value);
                        reader.reject_entry(entry, &message, permitted);
                    }
                }
            }
        }
    }

    /// Adds a fault for each customer with the API key of an earlier one.
    pub(super) fn check_customer_keys(&self, customers: &Arena<key::Customer, Customer>) {
        let mut owners: HashMap<[u8; 32], &str> = HashMap::with_capacity(customers.len());
        for customer in customers.values() {
            let Some(owner) = owners.insert(customer.key_sha256, &customer.name) else {
                continue;
            };
            let message = format!("the key is the same as that of {owner}");
            self.reject_customer(&customer.name, &message);
        }
    }

    fn reject_customer(&self, name: &str, message: &str) {
        const PERMITTED: &str = "a key of its own for each customer";
        if let Some(section) = self.of_kind("customer").find(|found| &*found.name == name) {
            let reader = self.reader(section);
            reader.reject("key_sha256", message, PERMITTED);
            return;
        }
        for section in self.of_kind("customers") {
            if let Some(entry) = section.entries.iter().find(|entry| &*entry.key == name) {
                let reader = self.reader(section);
                reader.reject_entry(entry, message, PERMITTED);
                return;
            }
        }
    }
}

fn insert(
    customers: &mut Arena<key::Customer, Customer>,
    customer: Customer,
    entry: &Entry,
    reader: &Reader<'_>,
) {
    let key = key::Customer::of(&customer.name);
    let Some(previous) = customers.insert(key, customer) else {
        return;
    };
    if previous.name == entry.key {
        reader.reject_entry(entry, "the name is given twice", "each name once");
    } else {
        let message = format!("the name's key collides with that of {}", previous.name);
        reader.reject_entry(entry, &message, "another name");
    }
}

/// Parses a line of `[customers]`; the error describes the permitted form.
fn parse_line(entry: &Entry) -> Result<Customer, &'static str> {
    let mut words = entry.value.split_whitespace();
    let mut customer = Customer {
        name: value::name(&entry.key)?,
        key_sha256: value::digest(words.next().unwrap_or_default())?,
        weight: 1,
        rate: None,
        concurrency: None,
    };
    for word in words {
        let (key, text) = word.split_once('=').ok_or(LINE_FORMAT)?;
        match key {
            "weight" => customer.weight = value::positive(text)?,
            "rate" => customer.rate = Some(value::rate(text)?),
            "concurrency" => customer.concurrency = Some(value::positive(text)?),
            _ => return Err(LINE_FORMAT),
        }
    }
    Ok(customer)
}
