//! Roles and identities in certificates.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use units::VmName;

const DOMAIN: &str = "shallottray";

/// Role of the holder of a certificate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Entry or gateway: a proxy process that serves callers.
    Entry,
    /// Control process: a replica in the control group.
    Control,
    /// Person or tool that publishes object sets and manages the control group.
    Operator,
}

/// the role is none of entry, control and operator
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct InvalidRole;

impl std::error::Error for InvalidRole {}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Control => "control",
            Role::Operator => "operator",
        }
    }

    /// Returns the DNS name in every certificate of the role.
    ///
    /// ```
    /// assert_eq!(credentials::Role::Control.server_name(), "control.shallottray");
    /// ```
    pub fn server_name(self) -> String {
        format!("{self}.{DOMAIN}")
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Role {
    type Err = InvalidRole;

    fn from_str(text: &str) -> Result<Self, InvalidRole> {
        match text {
            "entry" => Ok(Role::Entry),
            "control" => Ok(Role::Control),
            "operator" => Ok(Role::Operator),
            _ => Err(InvalidRole),
        }
    }
}

/// Holder of a certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Role of the holder.
    pub role: Role,
    /// VM of the process, or name of the operator.
    pub name: VmName,
}

impl Identity {
    pub(crate) fn dns_name(&self) -> String {
        format!("{}.{}", self.name, self.role.server_name())
    }

    pub(crate) fn from_dns_name(name: &str) -> Option<Identity> {
        let (name, domain) = name.rsplit_once('.')?;
        let (name, role) = name.rsplit_once('.')?;
        if domain != DOMAIN {
            return None;
        }
        Some(Identity { role: role.parse().ok()?, name: name.parse().ok()? })
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.role, self.name)
    }
}
