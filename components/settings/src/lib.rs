//! Checked settings of the daemons.
//!
//! A number that is absent or 0 takes its default, which
//! `docs/OPERATIONS.md` lists. Each error names file, line and column.

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
