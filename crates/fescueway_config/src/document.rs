//! A JSON document with comments that records the line of each field.

use std::{
    collections::BTreeMap,
    fmt::{Debug, Formatter, Result as FormatResult},
    sync::Arc,
};

use jsonc_parser::{CollectOptions, ParseOptions, ast, common::Ranged};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};

use crate::{ConfigError, FieldFault, ValidationStage, strict_value::StrictValue, suggestion};

/// A JSON document with comments that records the line of each field.
///
/// Comments and trailing commas are allowed in addition to RFC 8259. The document does no I/O: the
/// caller reads the text and passes the file name for error messages.
///
/// ```
/// # use fescueway_config::Document;
/// #[derive(Debug, serde::Deserialize)]
/// #[serde(deny_unknown_fields)]
/// struct RawTimer {
///     period_ms: u32,
/// }
///
/// let document = Document::parse("timer.json", "{\n  // Slow.\n  \"perod_ms\": 5\n}")?;
/// let error = document.decode::<RawTimer>().unwrap_err();
/// assert_eq!(error.line, 3);
/// assert_eq!(error.suggestion.as_deref(), Some("period_ms"));
/// # Ok::<(), fescueway_config::ConfigError>(())
/// ```
#[derive(Clone)]
pub struct Document {
    /// The file that the text came from.
    file: Arc<str>,
    /// The content.
    root: Value,
    /// The line of each field by its path. The root has the empty path.
    lines: BTreeMap<String, usize>,
}

impl Document {
    /// Parses the text of `file`.
    ///
    /// # Errors
    ///
    /// When the text is not JSON with comments, or an object has a duplicate name.
    pub fn parse(file: impl Into<Arc<str>>, text: &str) -> Result<Self, ConfigError> {
        let file = file.into();
        let parsed =
            jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &strict_options());
        let parsed = parsed.map_err(|error| ConfigError {
            stage: ValidationStage::Syntax,
            file: Arc::clone(&file),
            line: error.line_display(),
            fault: Box::new(FieldFault::new(
                "",
                format!("text that is not JSON ({})", error.kind()),
                "JSON with comments",
            )),
            suggestion: None,
        })?;
        let mut converter = AstConverter::new(&file, text);
        let root = match parsed.value {
            Some(value) => converter.value("", value)?,
            None => Value::Null,
        };
        let lines = converter.lines;
        Ok(Self { file, root, lines })
    }

    /// Parses the bytes of `file`, which must be UTF-8.
    ///
    /// # Errors
    ///
    /// As [`Document::parse`], and when the bytes are not UTF-8.
    pub fn parse_bytes(file: impl Into<Arc<str>>, bytes: &[u8]) -> Result<Self, ConfigError> {
        let file = file.into();
        let text = std::str::from_utf8(bytes).map_err(|error| ConfigError {
            stage: ValidationStage::Syntax,
            file: Arc::clone(&file),
            line: bytes[..error.valid_up_to()]
                .split(|byte| *byte == b'\n')
                .count(),
            fault: Box::new(FieldFault::new(
                "",
                format!("a byte that is not UTF-8 at offset {}", error.valid_up_to()),
                "UTF-8",
            )),
            suggestion: None,
        })?;
        Self::parse(Arc::clone(&file), text)
    }

    /// The file that the text came from.
    #[must_use]
    pub fn file(&self) -> &Arc<str> {
        &self.file
    }

    /// The content.
    #[must_use]
    pub fn root(&self) -> &Value {
        &self.root
    }

    /// Decodes the content.
    ///
    /// # Errors
    ///
    /// When a field is unknown, missing or of the wrong type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        decode_value(&self.root).map_err(|fault| self.locate(ValidationStage::Schema, fault))
    }

    /// Adds the file and line to a fault. A field that is not in the document gets the line of the
    /// innermost object around it.
    #[must_use]
    pub fn locate(&self, stage: ValidationStage, fault: FieldFault) -> ConfigError {
        let suggestion = suggestion::for_fault(&fault);
        ConfigError {
            stage,
            file: Arc::clone(&self.file),
            line: self.line_of(&fault.field),
            fault: Box::new(fault),
            suggestion,
        }
    }

    /// The longest prefix of `path` that is in the document: the field itself, or the innermost
    /// object around it.
    pub(crate) fn longest_known_path<'p>(&self, path: &'p str) -> &'p str {
        let mut part = path;
        while !part.is_empty() && !self.lines.contains_key(part) {
            part = part.rfind(['.', '[']).map_or("", |end| &part[..end]);
        }
        part
    }

    /// The line of the field at `path`, or of the innermost object around it.
    fn line_of(&self, path: &str) -> usize {
        let line = self.lines.get(self.longest_known_path(path));
        line.copied().unwrap_or(1)
    }
}

impl Debug for Document {
    /// Shows the file only, since the content may hold API keys.
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.debug_struct("Document")
            .field("file", &self.file)
            .finish_non_exhaustive()
    }
}

/// Decodes a value. An error names the invalid field.
pub(crate) fn decode_value<T: DeserializeOwned>(value: &Value) -> Result<T, FieldFault> {
    serde_path_to_error::deserialize(StrictValue(value)).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { String::new() } else { path };
        let message = error.inner().to_string();
        match message.split_once(", expected ") {
            Some((found, "a sequence")) => FieldFault::new(field, found, "a list"),
            Some((found, allowed)) => FieldFault::new(field, found, allowed),
            None => FieldFault::new(field, message, "all required fields, each once"),
        }
    })
}

/// RFC 8259 with comments and trailing commas.
fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Converts a syntax tree into values and records the line of each field.
struct AstConverter<'a> {
    /// The file, for errors.
    file: &'a Arc<str>,
    /// Offsets of the newlines, ascending.
    newlines: Vec<usize>,
    /// The line of each field by its path.
    lines: BTreeMap<String, usize>,
}

impl<'a> AstConverter<'a> {
    /// Creates a converter for the syntax tree of `text`.
    fn new(file: &'a Arc<str>, text: &str) -> Self {
        Self {
            file,
            newlines: text.match_indices('\n').map(|found| found.0).collect(),
            lines: BTreeMap::new(),
        }
    }

    /// Converts the value at `path`.
    fn value(&mut self, path: &str, value: ast::Value<'_>) -> Result<Value, ConfigError> {
        let line = self.line_at(value.start());
        self.lines.entry(path.to_owned()).or_insert(line);
        match value {
            ast::Value::StringLit(text) => Ok(Value::String(text.value.into_owned())),
            ast::Value::BooleanLit(flag) => Ok(Value::Bool(flag.value)),
            ast::Value::NullKeyword(_) => Ok(Value::Null),
            ast::Value::NumberLit(number) => self.number(path, number.value),
            ast::Value::Array(array) => self.array(path, array),
            ast::Value::Object(object) => self.object(path, object),
        }
    }

    /// Converts the number at `path`.
    fn number(&self, path: &str, text: &str) -> Result<Value, ConfigError> {
        let number = text.parse::<Number>();
        number
            .map(Value::Number)
            .map_err(|error| self.error(path, format!("the number {text} ({error})"), "a number"))
    }

    /// Converts the array at `path`.
    fn array(&mut self, path: &str, array: ast::Array<'_>) -> Result<Value, ConfigError> {
        let elements = array.elements.into_iter().enumerate();
        let values =
            elements.map(|(index, element)| self.value(&format!("{path}[{index}]"), element));
        values.collect::<Result<Vec<_>, _>>().map(Value::Array)
    }

    /// Converts the object at `path`.
    fn object(&mut self, path: &str, object: ast::Object<'_>) -> Result<Value, ConfigError> {
        let mut map = Map::new();
        for property in object.properties {
            let line = self.line_at(property.start());
            let name = property.name.into_string();
            let inner = if path.is_empty() {
                name.clone()
            } else {
                format!("{path}.{name}")
            };
            if let Some(first) = self.lines.insert(inner.clone(), line) {
                let found = format!("a second value, the first is in line {first}");
                return Err(self.error(&inner, found, "each name once"));
            }
            map.insert(name, self.value(&inner, property.value)?);
        }
        Ok(Value::Object(map))
    }

    /// The line of the byte at `offset`, counted from 1.
    fn line_at(&self, offset: usize) -> usize {
        1 + self.newlines.partition_point(|newline| *newline < offset)
    }

    /// Creates an error at a path whose line is recorded.
    fn error(&self, path: &str, found: String, allowed: &str) -> ConfigError {
        ConfigError {
            stage: ValidationStage::Syntax,
            file: Arc::clone(self.file),
            line: self.lines.get(path).copied().unwrap_or(1),
            fault: Box::new(FieldFault::new(path, found, allowed)),
            suggestion: None,
        }
    }
}
