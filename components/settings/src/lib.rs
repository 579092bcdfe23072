//! Loads and validates the settings files of the daemons and the command line.
//!
//! Timers, limits and most other numbers get their default if they are absent or
//! 0; `docs/OPERATIONS.md` lists the defaults. Errors in the content of a file give
//! file, line and column.

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
