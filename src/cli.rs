//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use credentials::Role;
use units::{Millis, VmName};

/// Operate a shallottray deployment
///
/// Exit codes: 0 success, 1 failure, 2 wrong input, 3 conflict with another
/// operator, 4 the system cannot be reached.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command))]
pub enum Command {
    /// Check a folder of objects without publishing it
    #[bpaf(command)]
    Check {
        /// Folder or file of objects
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Show how a folder of objects differs from what is published
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        operator: Operator,
        /// Folder or file of objects
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Publish a folder of objects as one set
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        operator: Operator,
        /// Revision that the set replaces; the one in force when left out
        #[bpaf(argument("REVISION"))]
        expect: Option<u64>,
        /// Id under which the publication may be sent again
        #[bpaf(argument("ID"))]
        publication_id: Option<String>,
        /// Wait until every entry serves the revision
        wait: bool,
        /// Longest wait
        #[bpaf(argument("DURATION"), fallback(Millis(30_000)), display_fallback)]
        timeout: Millis,
        /// Folder or file of objects
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Print a published set
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        operator: Operator,
        /// Revision to print; the one in force when left out
        #[bpaf(argument("REVISION"), fallback(0))]
        revision: u64,
    },
    /// Show control processes and entries
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        operator: Operator,
        /// Print JSON
        json: bool,
    },
    /// Create the control group on one of its VMs
    #[bpaf(command)]
    Bootstrap {
        #[bpaf(external)]
        operator: Operator,
        /// Peer address of the VM to begin with
        #[bpaf(positional("IP:PORT"))]
        address: SocketAddr,
    },
    /// Remove a lost control replica; a standby takes its place
    #[bpaf(command)]
    Replace {
        #[bpaf(external)]
        operator: Operator,
        /// Id of the replica, as `status` shows it
        #[bpaf(positional("REPLICA"))]
        replica_id: u64,
    },
    /// Create keys, certificates and tokens
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys: Keys,
    },
    /// Print the schema of settings and objects
    #[bpaf(command)]
    Schema {
        /// `objects` or `settings`
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// How to reach the control processes.
#[derive(Bpaf, Clone, Debug)]
pub struct Operator {
    /// File with the operator's settings
    #[bpaf(
        env("SHALLOTTRAY_OPERATOR"),
        long("operator"),
        argument("FILE"),
        fallback("operator.json".into())
    )]
    pub settings: PathBuf,
}

/// What to create.
#[derive(Bpaf, Clone, Debug)]
pub enum Keys {
    /// Create the CA of a deployment
    #[bpaf(command)]
    Authority {
        /// Name of the deployment
        #[bpaf(argument("NAME"))]
        deployment: String,
        /// Folder for the CA's key and certificate
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Issue a certificate for a process or an operator
    #[bpaf(command)]
    Issue {
        /// Folder of the CA
        #[bpaf(argument("FOLDER"))]
        authority: PathBuf,
        /// `entry`, `control` or `operator`
        #[bpaf(argument("ROLE"))]
        role: Role,
        /// VM, or name of the operator
        #[bpaf(argument("NAME"))]
        name: VmName,
        /// Folder for the certificate and its key
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Create an API key or upstream token and print it with its SHA-256
    #[bpaf(command)]
    Token,
    /// Print the SHA-256 of a token read from standard input
    #[bpaf(command)]
    Hash,
}
