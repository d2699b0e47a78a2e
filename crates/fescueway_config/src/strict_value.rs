//! A JSON value that deserialises into a struct only when it is an object.

use serde::{
    Deserializer,
    de::{
        Error as _, IntoDeserializer, Unexpected, Visitor,
        value::{MapDeserializer, SeqDeserializer},
    },
    forward_to_deserialize_any,
};
use serde_json::{Error, Value};

/// A JSON value that deserialises into a struct only when it is an object.
///
/// Derived `Deserialize` implementations also accept a list of the field values in order. In a
/// document that is a mistake, and its meaning would change when a field is added to the type.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StrictValue<'a>(pub(crate) &'a Value);

impl<'de> IntoDeserializer<'de, Error> for StrictValue<'de> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

impl<'de> Deserializer<'de> for StrictValue<'de> {
    type Error = Error;

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map identifier ignored_any
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::Array(elements) => {
                visitor.visit_seq(SeqDeserializer::new(elements.iter().map(StrictValue)))
            }
            Value::Object(fields) => {
                let fields = fields.iter();
                let fields = fields.map(|(name, value)| (name.as_str(), StrictValue(value)));
                visitor.visit_map(MapDeserializer::new(fields))
            }
            scalar => scalar.deserialize_any(visitor),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match self.0 {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.0.deserialize_enum(name, variants, visitor)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        match self.0 {
            Value::Array(_) => Err(Error::invalid_type(Unexpected::Seq, &visitor)),
            _ => self.deserialize_any(visitor),
        }
    }
}
