//! Responses of upstreams whose status is no answer in the protocol (RFC 9110, section 15).

mod support;

use std::sync::{Arc, Mutex};

use standin::statuses::{ANSWERS, NO_ANSWERS};
use support::caller::chat_body;
use support::deployment::DeploymentOptions;
use support::{Caller, Deployment, run_async};

fn response(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nodd")
}

/// Guards against statuses that are no answer and reach the caller, or are taken for a refusal of
/// an upstream that did not run the request.
#[test]
fn only_statuses_of_the_protocol_are_answers() {
    run_async(async {
        let mut deployment = Deployment::start(1, 1, DeploymentOptions::default()).await;
        let text = Arc::new(Mutex::new(String::new()));
        deployment.start_raw_upstreams(text.clone()).await;
        let (entry, caller) = (deployment.entry_address(0), Caller::new("head-office"));

        for status in NO_ANSWERS {
            *text.lock().expect("not poisoned") = response(status);

            let read = caller.send("GET", entry, "/services/booking-app/slots", &[], "").await;
            let booked = caller.book(entry, &format!("key-{status}"), "{}").await;
            let body = chat_body(3, false);
            let chat = caller.send("POST", entry, "/v1/chat/completions", &[], body).await;

            for (call, response) in [("read", read), ("booking", booked), ("chat", chat)] {
                let response = response.expect("a response");
                let got = (response.status, response.verdict.as_str());
                assert_eq!(got, (502, "may-have-run"), "{call}, {status:?}: {:?}", response.body);
            }
        }
        for status in ANSWERS {
            *text.lock().expect("not poisoned") = response(status);

            let read = caller.send("GET", entry, "/services/booking-app/slots", &[], "").await;

            let response = read.expect("a response");
            assert_eq!(response.status.to_string(), status[..3], "{status:?}");
        }
    });
}

/// Guards against a generation that its engine ran and failed, with `not-run` for its caller: any
/// status but 200 was taken for a refusal.
#[test]
fn engine_refuses_a_generation_by_the_statuses_of_the_protocol_only() {
    run_async(async {
        let mut deployment = Deployment::start(1, 1, DeploymentOptions::default()).await;
        let text = Arc::new(Mutex::new(String::new()));
        deployment.start_raw_upstreams(text.clone()).await;
        let (entry, caller) = (deployment.entry_address(0), Caller::new("head-office"));
        // There is no other engine to take a generation that this one refuses.
        let (refused, failed) = ((503, "not-run"), (502, "may-have-run"));
        let cases = [
            ("400 Bad Request", refused),
            ("409 Conflict", refused),
            ("503 Service Unavailable", refused),
            ("201 Created", failed),
            ("302 Found", failed),
            ("500 Internal Server Error", failed),
            ("502 Bad Gateway", failed),
            ("504 Gateway Timeout", failed),
        ];

        for (status, expected) in cases {
            *text.lock().expect("not poisoned") = response(status);

            let chat =
                caller.send("POST", entry, "/v1/chat/completions", &[], chat_body(3, false)).await;

            let chat = chat.expect("a response");
            assert_eq!((chat.status, chat.verdict.as_str()), expected, "{status:?}");
        }
    });
}
