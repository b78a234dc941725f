//! Values of a scenario given on the command line: `--set fleet.hollow=200`.

use toml::{Table, Value};

use super::load::{KeyError, Reason};

/// A value that takes precedence over the file's, with the dotted path of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    /// Names of keys and indexes of array entries, outermost first.
    path: Vec<String>,
    /// Value that replaces the one in the scenario file.
    value: Value,
}

impl Override {
    /// Parses `key=value`. A value that is not valid TOML is taken as a string.
    ///
    /// # Errors
    /// There is no `=`, or a component of the key is empty.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let Some((key, value)) = text.split_once('=') else {
            return Err(KeyError::new(text, Reason::NoValue));
        };
        let path: Vec<String> = key.trim().split('.').map(str::to_owned).collect();
        if path.iter().any(String::is_empty) {
            return Err(KeyError::new(key, Reason::EmptyName));
        }
        Ok(Self { path, value: parse_value(value.trim()) })
    }

    /// Sets the value in a parsed scenario file; missing tables are created.
    ///
    /// # Errors
    /// The path goes through a value that is neither a table nor an array, or past the end of an array.
    pub fn apply(&self, table: &mut Table) -> Result<(), KeyError> {
        let (last, parents) = self.path.split_last().ok_or(KeyError::new("", Reason::EmptyName))?;
        let mut container = Container::Table(table);
        for (depth, name) in parents.iter().enumerate() {
            container = container
                .child(name)
                .map_err(|reason| KeyError::new(self.path[..=depth].join("."), reason))?;
        }
        container.set(last, self.value.clone()).map_err(|reason| KeyError::new(self.path.join("."), reason))
    }
}

/// A value that contains other values.
enum Container<'a> {
    Table(&'a mut Table),
    Array(&'a mut Vec<Value>),
}

impl<'a> Container<'a> {
    fn child(self, name: &str) -> Result<Self, Reason> {
        let value = match self {
            Self::Table(table) => table.entry(name.to_owned()).or_insert_with(|| Value::Table(Table::new())),
            Self::Array(array) => entry_mut(array, name)?,
        };
        match value {
            Value::Table(table) => Ok(Self::Table(table)),
            Value::Array(array) => Ok(Self::Array(array)),
            _ => Err(Reason::NotAContainer),
        }
    }

    fn set(self, name: &str, value: Value) -> Result<(), Reason> {
        match self {
            Self::Table(table) => {
                table.insert(name.to_owned(), value);
            }
            Self::Array(array) => *entry_mut(array, name)? = value,
        }
        Ok(())
    }
}

fn entry_mut<'a>(array: &'a mut [Value], name: &str) -> Result<&'a mut Value, Reason> {
    let count = array.len();
    let index: usize = name.parse().map_err(|_| Reason::NotAnIndex)?;
    array.get_mut(index).ok_or(Reason::TooFew { what: "entries", count: count as u64 })
}

/// Key under which a single value is parsed as TOML.
const VALUE_KEY: &str = "value";

fn parse_value(text: &str) -> Value {
    let parsed = toml::from_str::<Table>(&format!("{VALUE_KEY} = {text}"));
    match parsed {
        Ok(mut table) if table.len() == 1 => {
            table.remove(VALUE_KEY).unwrap_or(Value::String(text.to_owned()))
        }
        _ => Value::String(text.to_owned()),
    }
}
