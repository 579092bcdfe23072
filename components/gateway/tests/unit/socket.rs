//! Options of the sockets of connections to upstreams.

use rustix::net::sockopt;
use tokio::net::TcpListener;

use super::{PROBE_IDLE, PROBE_INTERVAL, USER_TIMEOUT_MS, connect};

/// Longest silence of a sound upstream.
const SOUND_SILENCE_MS: u128 = 1_500;

/// Guards against connections that stay open for minutes after their peer has gone silent.
#[test]
fn connection_to_an_upstream_has_a_user_timeout_and_is_probed() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");

        let stream = connect(address).await.expect("connection is accepted");

        assert_eq!(sockopt::tcp_user_timeout(&stream), Ok(USER_TIMEOUT_MS));
        assert_eq!(sockopt::socket_keepalive(&stream), Ok(true));
        assert_eq!(sockopt::tcp_keepidle(&stream), Ok(PROBE_IDLE));
        assert_eq!(sockopt::tcp_keepintvl(&stream), Ok(PROBE_INTERVAL));
        assert!(stream.nodelay().expect("an option"));
    });
}

/// Guards against a user timeout that ends the connection at the probe after the first one that
/// was lost: an upstream may fall silent just before a probe, for [`SOUND_SILENCE_MS`].
#[test]
fn connection_outlasts_the_silence_of_a_sound_upstream() {
    let silence_begins_ms = PROBE_IDLE.as_millis();
    let next_probe_ms = SOUND_SILENCE_MS.next_multiple_of(PROBE_INTERVAL.as_millis());

    let answered_ms = silence_begins_ms + next_probe_ms;

    assert!(u128::from(USER_TIMEOUT_MS) > answered_ms);
}
