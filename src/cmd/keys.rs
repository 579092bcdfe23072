//! `shallottray keys`

use credentials::{Identity, create_ca, issue_certificate};

use crate::cli::Keys;
use crate::error::CommandError;

const TOKEN_BYTES: usize = 24;

/// Creates keys, certificates and tokens, or hashes a token.
pub fn run(keys: Keys) -> Result<(), CommandError> {
    match keys {
        Keys::Authority { deployment, folder } => {
            create_ca(&folder, &deployment).map_err(CommandError::Credentials)?;
            println!("created the CA of {deployment} in {}; keep ca.key offline", folder.display());
        }
        Keys::Issue { authority, role, name, folder } => {
            let identity = Identity { role, name };
            let (certificate, key) = issue_certificate(&authority, &identity, &folder)
                .map_err(CommandError::Credentials)?;
            println!("created {} and {}", certificate.display(), key.display());
        }
        Keys::Token => {
            let token = hex::encode(rand::random::<[u8; TOKEN_BYTES]>());
            println!("token  {token}\nsha256 {}", objects::hash_secret(&token));
        }
        Keys::Hash => {
            let mut line = String::new();
            std::io::stdin().read_line(&mut line).map_err(CommandError::Io)?;
            println!("{}", objects::hash_secret(line.trim()));
        }
    }
    Ok(())
}
