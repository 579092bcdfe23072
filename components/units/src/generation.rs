//! Ids of generations and of the events in their streams.

use std::fmt;
use std::str::FromStr;

use crate::name::{InvalidName, UpstreamName};

/// Id of one generation, made of the engine that runs it and a random nonce.
///
/// ```
/// use units::GenerationId;
/// let id = GenerationId { engine: "engine-1".parse()?, nonce: 0xabc };
/// assert_eq!(id.to_string().parse(), Ok(id));
/// # Ok::<(), units::InvalidName>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GenerationId {
    /// Engine that runs the generation.
    pub engine: UpstreamName,
    /// Random number that makes the id unique and hard to guess.
    pub nonce: u128,
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:032x}", self.engine, self.nonce)
    }
}

impl FromStr for GenerationId {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let (engine, nonce) = text.split_once('~').ok_or(InvalidName::Character)?;
        if nonce.len() != 32 || !nonce.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(InvalidName::Character);
        }
        let nonce = u128::from_str_radix(nonce, 16).map_err(|_| InvalidName::Character)?;
        Ok(GenerationId { engine: engine.parse()?, nonce })
    }
}

/// Id of one server-sent event, as sent to callers in the `id:` field.
///
/// ```
/// use units::EventId;
/// let id: EventId = "engine-1~00000000000000000000000000000abc:41".parse()?;
/// assert_eq!(id.index, 41);
/// # Ok::<(), units::InvalidName>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EventId {
    /// Generation that the event belongs to.
    pub generation: GenerationId,
    /// Index of the token, from 0.
    pub index: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.generation, self.index)
    }
}

impl FromStr for EventId {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let (generation, index) = text.rsplit_once(':').ok_or(InvalidName::Character)?;
        let index = index.parse().map_err(|_| InvalidName::Character)?;
        Ok(EventId { generation: generation.parse()?, index })
    }
}
