//! Streams under faults: every token once, in order, from one generation.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt as _;
use schema::service::Backend;
use standin::engine::Faults;
use support::caller::{Token, assert_whole, chat_body, token};
use support::deployment::{Tune, example_set};
use support::{Caller, Deployment, eventually};
use tokio::time::sleep;

const LENGTH: u64 = 60;

async fn deployment(engines: usize, tune: Tune) -> Deployment {
    let mut deployment = Deployment::start(1, 2, tune).await;
    for index in 0..engines {
        deployment.start_engine(index).await;
    }
    deployment
}

/// Reads tokens until the stream ends; the second value tells whether it
/// ended whole.
async fn read_all(
    stream: impl futures::Stream<Item = Option<eventsource_stream::Event>> + Unpin,
) -> (Vec<Token>, bool) {
    let mut tokens = Vec::new();
    let mut whole = false;
    let mut stream = stream;
    while let Some(Some(event)) = stream.next().await {
        whole |= event.data == "[DONE]";
        tokens.extend(token(&event));
    }
    (tokens, whole)
}

fn total_started(deployment: &Deployment) -> u64 {
    deployment.engines.iter().map(|engine| engine.batch.counters().started).sum()
}

#[test]
fn a_stream_arrives_whole() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;

        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), LENGTH, None).await;
        let (tokens, whole) = read_all(stream.expect("accepted")).await;

        assert!(whole);
        assert_whole(&tokens, LENGTH);
    });
}

#[test]
fn a_whole_answer_holds_every_token() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let entry = deployment.entry_address(1);

        let caller = Caller::new("head-office");
        let path = "/v1/chat/completions";
        let reply = caller.send("POST", entry, path, &[], chat_body(LENGTH, false)).await;

        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.verdict.as_str()), (200, "ran"));
        let json = reply.json();
        let content = json["choices"][0]["message"]["content"].as_str().expect("content");
        assert_eq!(content.split_whitespace().count() as u64, LENGTH);
        assert_eq!(json["usage"]["completion_tokens"], LENGTH);
    });
}

#[test]
fn one_generation_serves_two_devices_under_one_key() {
    support::run(async {
        let deployment = deployment(2, Tune::default()).await;
        let caller = Caller::new("head-office");
        let ask = |entry| {
            let headers = [("idempotency-key", "k")];
            let body = chat_body(LENGTH, false);
            let caller = caller.clone();
            async move { caller.send("POST", entry, "/v1/chat/completions", &headers, body).await }
        };

        let (first, second) = futures::future::join(
            ask(deployment.entry_address(0)),
            ask(deployment.entry_address(1)),
        )
        .await;

        assert_eq!(first.expect("an answer").body, second.expect("an answer").body);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn a_lost_connection_to_the_engine_is_continued() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let faults = Faults { drop_after_tokens: Some(7), ..Faults::default() };
        deployment.engines[0].batch.set_faults(faults);

        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), LENGTH, None).await;
        let (tokens, whole) = read_all(stream.expect("accepted")).await;

        assert!(whole);
        assert_whole(&tokens, LENGTH);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn an_engine_that_dies_in_mid_stream_ends_it_with_an_error() {
    support::run(async {
        let deployment = deployment(2, Tune::default()).await;
        let caller = Caller::new("head-office");
        let mut stream =
            caller.stream(deployment.entry_address(0), 2_000, None).await.expect("accepted");
        let mut tokens = Vec::new();
        while tokens.len() < 10 {
            let event = stream.next().await.flatten().expect("an event");
            tokens.extend(token(&event));
        }

        let running = deployment.engines.iter().find(|e| e.batch.counters().open > 0);
        running.expect("one engine runs it").kill().await;
        let mut error = String::new();
        while let Some(Some(event)) = stream.next().await {
            tokens.extend(token(&event));
            if event.event == "error" {
                error = event.data;
            }
        }

        assert_whole(&tokens, tokens.len() as u64);
        assert!(error.contains("upstream_failed") && error.contains("\"ran\""), "{error}");
        assert_eq!(total_started(&deployment), 1, "no other generation may take over");
    });
}

#[test]
fn an_engine_that_refuses_gives_way_to_another() {
    support::run(async {
        let deployment = deployment(2, Tune::default()).await;
        let faults = Faults { refuse_starts: true, ..Faults::default() };
        deployment.engines[0].batch.set_faults(faults);

        for _ in 0..4 {
            let entry = deployment.entry_address(0);
            let stream = Caller::new("head-office").stream(entry, LENGTH, None).await;
            let (tokens, whole) = read_all(stream.expect("accepted")).await;

            assert!(whole);
            assert_whole(&tokens, LENGTH);
        }
    });
}

#[test]
fn a_generation_stalled_before_its_first_token_moves_to_another_engine() {
    support::run(async {
        let deployment = deployment(2, Tune::default()).await;
        let stalled = Faults { stall: true, ..Faults::default() };
        deployment.engines[0].batch.set_faults(stalled);
        deployment.engines[1].batch.set_faults(stalled);
        let caller = Caller::new("head-office");

        let opening = caller.stream(deployment.entry_address(0), LENGTH, None);
        let recovery = async {
            let started = || async { total_started(&deployment) > 0 };
            eventually("the generation starts", started).await;
            let idle = deployment.engines.iter().find(|e| e.batch.counters().started == 0);
            idle.expect("the other engine").batch.set_faults(Faults::default());
        };
        let (stream, ()) = futures::future::join(opening, recovery).await;
        let (tokens, whole) = read_all(stream.expect("accepted")).await;

        assert!(whole);
        assert_whole(&tokens, LENGTH);
        let cancelled: u64 = deployment.engines.iter().map(|e| e.batch.counters().cancelled).sum();
        assert_eq!(cancelled, 1, "the stalled generation is cancelled");
    });
}

#[test]
fn a_stall_after_the_first_token_continues_the_same_generation() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let caller = Caller::new("head-office");
        let mut stream =
            caller.stream(deployment.entry_address(0), LENGTH, None).await.expect("accepted");
        let first = stream.next().await.flatten().expect("an event");
        let batch = deployment.engines[0].batch.clone();

        batch.set_faults(Faults { stall: true, ..Faults::default() });
        sleep(Duration::from_millis(3_000)).await;
        batch.set_faults(Faults::default());
        let (mut tokens, whole) = read_all(stream).await;

        tokens.splice(0..0, token(&first));
        assert!(whole);
        assert_whole(&tokens, LENGTH);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn another_entry_goes_on_after_an_entry_died() {
    support::run(async {
        let mut deployment = deployment(1, Tune::default()).await;
        let caller = Caller::new("head-office");
        let mut stream =
            caller.stream(deployment.entry_address(0), LENGTH, None).await.expect("accepted");
        let mut tokens = Vec::new();
        let mut last_id = String::new();
        while tokens.len() < 10 {
            let event = stream.next().await.flatten().expect("an event");
            last_id = event.id.clone();
            tokens.extend(token(&event));
        }

        deployment.kill_entry(0).await;
        drop(stream);
        let resumed = caller.stream(deployment.entry_address(1), LENGTH, Some(&last_id)).await;
        let (rest, whole) = read_all(resumed.expect("resumed")).await;

        tokens.extend(rest);
        assert!(whole);
        assert_whole(&tokens, LENGTH);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn another_workspace_cannot_resume_a_generation() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let entry = deployment.entry_address(0);
        let mut stream =
            Caller::new("head-office").stream(entry, LENGTH, None).await.expect("accepted");
        let event = stream.next().await.flatten().expect("an event");

        let refused = Caller::new("phuket").stream(entry, LENGTH, Some(&event.id)).await;

        let refused = refused.err().expect("refused");
        assert_eq!((refused.status, refused.code().as_str()), (410, "resume_gone"));
    });
}

#[test]
fn a_cancelled_generation_frees_its_memory_at_once() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let entry = deployment.entry_address(0);
        let caller = Caller::new("head-office");
        let mut stream = caller.stream(entry, 2_000, None).await.expect("accepted");
        let event = stream.next().await.flatten().expect("an event");
        let generation = event.id.rsplit_once(':').expect("an id").0.to_string();

        let path = format!("/v1/generations/{generation}");
        let reply = caller.send("DELETE", entry, &path, &[], "").await.expect("an answer");

        assert_eq!(reply.status, 204);
        let counters = deployment.engines[0].batch.counters();
        assert_eq!((counters.open, counters.cache_tokens_used), (0, 0));
    });
}

#[test]
fn a_generation_that_nobody_resumes_is_cancelled_after_its_window() {
    support::run(async {
        let tune = Tune { resume_window_ms: 300, ..Tune::default() };
        let deployment = deployment(1, tune).await;
        let entry = deployment.entry_address(0);
        let stream = Caller::new("head-office").stream(entry, 2_000, None).await;

        drop(stream);

        let freed = || async { deployment.engines[0].batch.counters().open == 0 };
        eventually("the engine frees the memory", freed).await;
        assert_eq!(deployment.engines[0].batch.counters().cancelled, 1);
    });
}

#[test]
fn a_planned_stop_cuts_off_no_stream() {
    support::run(async {
        let mut deployment = deployment(1, Tune::default()).await;
        let caller = Caller::new("head-office");
        // Longer than address list, margin and all leases together.
        let length = 1_200;
        let mut stream =
            caller.stream(deployment.entry_address(0), length, None).await.expect("accepted");
        let first = stream.next().await.flatten().expect("an event");
        let entry = deployment.entries[0].take().expect("it runs");

        let stopping = actix_rt::spawn(async move { entry.stop().await });
        let (mut tokens, whole) = read_all(stream).await;
        stopping.await.expect("the entry stops");

        tokens.splice(0..0, token(&first));
        assert!(whole);
        assert_whole(&tokens, length);
        let (_, status) = deployment.leader_status().await.expect("a leader");
        assert_eq!(status.entries.len(), 1, "the membership is given up");
    });
}

#[test]
fn a_stopping_entry_leaves_the_address_list_and_still_takes_work() {
    support::run(async {
        let tune = Tune { address_max_age_ms: 3_000, ..Tune::default() };
        let mut deployment = deployment(1, tune).await;
        let caller = Caller::new("head-office");
        let stopping_address = deployment.entry_address(0).to_string();
        let entry = deployment.entries[0].take().expect("it runs");

        let stopping = actix_rt::spawn(async move { entry.stop().await });
        let listed = || async {
            let reply = caller.send("GET", deployment.entry_address(1), "/v1/entries", &[], "");
            let text = reply.await.expect("an answer").json().to_string();
            !text.contains(&stopping_address)
        };
        eventually("the entry leaves the list", listed).await;
        let late = caller.stream(deployment.entry_address(0), LENGTH, None).await;
        let (tokens, whole) = read_all(late.expect("work is still taken")).await;
        stopping.await.expect("the entry stops");

        assert!(whole);
        assert_whole(&tokens, LENGTH);
    });
}

#[test]
fn a_leaving_engine_gets_nothing_new_and_finishes_its_work() {
    support::run(async {
        let mut deployment = deployment(1, Tune::default()).await;
        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), 400, None).await;

        deployment.engines[0].leaving.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(1_000)).await;
        deployment.start_engine(1).await;
        let before = deployment.engines[0].batch.counters().started;
        for entry in 0..2 {
            for _ in 0..3 {
                let new = caller.stream(deployment.entry_address(entry), 5, None).await;
                assert!(read_all(new.expect("accepted")).await.1);
            }
        }
        let (tokens, whole) = read_all(stream.expect("accepted")).await;

        assert_eq!(deployment.engines[0].batch.counters().started, before);
        assert!(whole);
        assert_whole(&tokens, 400);
    });
}

#[test]
fn an_engine_that_falls_silent_gets_nothing_new_after_its_lease() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let engine = &deployment.engines[0];

        engine.muted.store(true, Ordering::Relaxed);
        let forgotten = || async {
            deployment.known_upstreams(0).await + deployment.known_upstreams(1).await == 0
        };
        eventually("both entries forget the engine", forgotten).await;
        let reply = Caller::new("head-office").stream(deployment.entry_address(0), 5, None).await;

        let refused = reply.err().expect("refused");
        assert_eq!((refused.verdict.as_str(), refused.code().as_str()), ("not-run", "no_upstream"));
        assert_eq!(engine.batch.counters().started, 0);
    });
}

#[test]
fn an_engine_stays_in_use_when_its_owner_dies() {
    support::run(async {
        let mut deployment = deployment(2, Tune::default()).await;
        let caller = Caller::new("head-office");

        deployment.kill_entry(0).await;
        let served = || async {
            let stream = caller.stream(deployment.entry_address(1), 5, None).await;
            match stream {
                Ok(stream) => read_all(stream).await.1,
                Err(_) => false,
            }
        };
        eventually("the other entry serves", served).await;
        let known = || async { deployment.known_upstreams(1).await == 2 };
        eventually("both engines announce themselves to the new owner", known).await;
    });
}

#[test]
fn another_service_takes_over_while_no_engine_serves_the_one_asked_for() {
    support::run(async {
        let deployment = deployment(1, Tune::default()).await;
        let mut set = example_set();
        let version = schema::Version { name: "coach-8".to_string(), ..set.versions[0].clone() };
        set.versions.push(version);
        for service in &mut set.services {
            if let Some(Backend::Generation(generation)) = &mut service.backend
                && service.name == "coach-llm"
            {
                generation.version = "coach-8".to_string();
                generation.adapter = String::new();
                generation.fallback = "coach-plans".to_string();
            }
        }
        deployment.publish_set("fallback", 1, set).await.expect("an answer");
        deployment.wait_in_force(2).await;

        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), LENGTH, None).await;
        let (tokens, whole) = read_all(stream.expect("accepted")).await;

        assert!(whole);
        assert_whole(&tokens, LENGTH);
    });
}
