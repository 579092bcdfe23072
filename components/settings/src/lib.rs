//! Loads and validates the settings files of the daemons and the command line.
//!
//! A number that is absent or 0 is replaced by its default, which
//! `docs/OPERATIONS.md` lists. Each error gives file, line and column.

mod checker;
mod control;
mod entry;
mod error;
mod gateway;
mod operator;
mod security;

pub use control::{ControlConfig, load_control};
pub use entry::{EntryConfig, load_entry};
pub use error::{SettingsError, SettingsProblem};
pub use gateway::{GatewayConfig, load_gateway};
pub use operator::{OperatorConfig, load_operator};
pub use security::PeerTls;
