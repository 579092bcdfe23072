//! Where the version in force is read from.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Where the version in force is read from.
///
/// ```
/// use lint::Against;
/// assert!(matches!("10.0.1.21:7400".parse(), Ok(Against::Process(_))));
/// assert!(matches!("config/routes.json".parse(), Ok(Against::File(_))));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Against {
    /// A control process.
    Process(SocketAddr),
    /// A file, or a folder of objects.
    File(PathBuf),
}

impl FromStr for Against {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(text.parse().map_or_else(|_| Against::File(text.into()), Against::Process))
    }
}

impl fmt::Display for Against {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Against::Process(address) => address.fmt(f),
            Against::File(path) => path.display().fmt(f),
        }
    }
}
