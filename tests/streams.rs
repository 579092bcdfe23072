//! Streams under faults: every token arrives exactly once, in order and from one
//! generation.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt as _;
use schema::service::Backend;
use standin::engine::Faults;
use support::caller::{Token, assert_complete, chat_body, parse_token};
use support::deployment::{DeploymentOptions, example_set};
use support::{Caller, Deployment, eventually};
use tokio::time::sleep;

const STREAM_TOKENS: u64 = 60;

/// Starts a deployment with one control process, two entries and `engines`
/// engines.
async fn start_deployment(engines: usize, options: DeploymentOptions) -> Deployment {
    let mut deployment = Deployment::start(1, 2, options).await;
    for index in 0..engines {
        deployment.start_engine(index).await;
    }
    deployment
}

/// Reads tokens until the stream ends. The second value is whether the stream
/// ended with `[DONE]`.
async fn read_all(
    stream: impl futures::Stream<Item = Option<eventsource_stream::Event>> + Unpin,
) -> (Vec<Token>, bool) {
    let mut tokens = Vec::new();
    let mut completed = false;
    let mut stream = stream;
    while let Some(Some(event)) = stream.next().await {
        completed |= event.data == "[DONE]";
        tokens.extend(parse_token(&event));
    }
    (tokens, completed)
}

fn total_started(deployment: &Deployment) -> u64 {
    deployment.engines.iter().map(|engine| engine.batch.counters().started).sum()
}

#[test]
fn stream_delivers_all_tokens() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;

        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), STREAM_TOKENS, None).await;
        let (tokens, completed) = read_all(stream.expect("accepted")).await;

        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
    });
}

#[test]
fn non_streamed_response_contains_all_tokens() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
        let entry = deployment.entry_address(1);

        let caller = Caller::new("head-office");
        let path = "/v1/chat/completions";
        let response = caller.send("POST", entry, path, &[], chat_body(STREAM_TOKENS, false)).await;

        let response = response.expect("a response");
        assert_eq!((response.status, response.verdict.as_str()), (200, "ran"));
        let json = response.json();
        let content = json["choices"][0]["message"]["content"].as_str().expect("content");
        assert_eq!(content.split_whitespace().count() as u64, STREAM_TOKENS);
        assert_eq!(json["usage"]["completion_tokens"], STREAM_TOKENS);
    });
}

#[test]
fn requests_with_same_idempotency_key_share_one_generation() {
    support::run_async(async {
        let deployment = start_deployment(2, DeploymentOptions::default()).await;
        let caller = Caller::new("head-office");
        let send_chat = |entry| {
            let headers = [("idempotency-key", "k")];
            let body = chat_body(STREAM_TOKENS, false);
            let caller = caller.clone();
            async move { caller.send("POST", entry, "/v1/chat/completions", &headers, body).await }
        };

        let (first, second) = futures::future::join(
            send_chat(deployment.entry_address(0)),
            send_chat(deployment.entry_address(1)),
        )
        .await;

        assert_eq!(first.expect("a response").body, second.expect("a response").body);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn stream_resumes_after_lost_engine_connection() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
        let faults = Faults { drop_after_tokens: Some(7), ..Faults::default() };
        deployment.engines[0].batch.set_faults(faults);

        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), STREAM_TOKENS, None).await;
        let (tokens, completed) = read_all(stream.expect("accepted")).await;

        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn engine_crash_mid_stream_ends_stream_with_error() {
    support::run_async(async {
        let deployment = start_deployment(2, DeploymentOptions::default()).await;
        let caller = Caller::new("head-office");
        let mut stream =
            caller.stream(deployment.entry_address(0), 2_000, None).await.expect("accepted");
        let mut tokens = Vec::new();
        while tokens.len() < 10 {
            let event = stream.next().await.flatten().expect("an event");
            tokens.extend(parse_token(&event));
        }

        let running = deployment.engines.iter().find(|e| e.batch.counters().open > 0);
        running.expect("one engine runs the generation").kill().await;
        let mut error = String::new();
        while let Some(Some(event)) = stream.next().await {
            tokens.extend(parse_token(&event));
            if event.event == "error" {
                error = event.data;
            }
        }

        assert_complete(&tokens, tokens.len() as u64);
        assert!(error.contains("upstream_failed") && error.contains("\"ran\""), "{error}");
        assert_eq!(
            total_started(&deployment),
            1,
            "the generation must not be restarted on another engine"
        );
    });
}

#[test]
fn generation_refused_by_one_engine_runs_on_another() {
    support::run_async(async {
        let deployment = start_deployment(2, DeploymentOptions::default()).await;
        let faults = Faults { refuse_starts: true, ..Faults::default() };
        deployment.engines[0].batch.set_faults(faults);

        for _ in 0..4 {
            let entry = deployment.entry_address(0);
            let stream = Caller::new("head-office").stream(entry, STREAM_TOKENS, None).await;
            let (tokens, completed) = read_all(stream.expect("accepted")).await;

            assert!(completed);
            assert_complete(&tokens, STREAM_TOKENS);
        }
    });
}

#[test]
fn generation_stalled_before_first_token_is_retried_on_another_engine() {
    support::run_async(async {
        let deployment = start_deployment(2, DeploymentOptions::default()).await;
        let stalled = Faults { stall: true, ..Faults::default() };
        deployment.engines[0].batch.set_faults(stalled);
        deployment.engines[1].batch.set_faults(stalled);
        let caller = Caller::new("head-office");

        let opening = caller.stream(deployment.entry_address(0), STREAM_TOKENS, None);
        let recover_idle_engine = async {
            let started = || async { total_started(&deployment) > 0 };
            eventually("the generation starts", started).await;
            let idle = deployment.engines.iter().find(|e| e.batch.counters().started == 0);
            idle.expect("the other engine").batch.set_faults(Faults::default());
        };
        let (stream, ()) = futures::future::join(opening, recover_idle_engine).await;
        let (tokens, completed) = read_all(stream.expect("accepted")).await;

        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
        let cancelled: u64 = deployment.engines.iter().map(|e| e.batch.counters().cancelled).sum();
        assert_eq!(cancelled, 1, "only the stalled generation must be cancelled");
    });
}

#[test]
fn stream_continues_same_generation_after_stall_past_first_token() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
        let caller = Caller::new("head-office");
        let mut stream = caller
            .stream(deployment.entry_address(0), STREAM_TOKENS, None)
            .await
            .expect("accepted");
        let first = stream.next().await.flatten().expect("an event");
        let batch = deployment.engines[0].batch.clone();

        batch.set_faults(Faults { stall: true, ..Faults::default() });
        sleep(Duration::from_millis(3_000)).await;
        batch.set_faults(Faults::default());
        let (mut tokens, completed) = read_all(stream).await;

        tokens.splice(0..0, parse_token(&first));
        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn stream_resumes_at_another_entry_after_entry_crash() {
    support::run_async(async {
        let mut deployment = start_deployment(1, DeploymentOptions::default()).await;
        let caller = Caller::new("head-office");
        let mut stream = caller
            .stream(deployment.entry_address(0), STREAM_TOKENS, None)
            .await
            .expect("accepted");
        let mut tokens = Vec::new();
        let mut last_id = String::new();
        while tokens.len() < 10 {
            let event = stream.next().await.flatten().expect("an event");
            last_id = event.id.clone();
            tokens.extend(parse_token(&event));
        }

        deployment.kill_entry(0).await;
        drop(stream);
        let resumed =
            caller.stream(deployment.entry_address(1), STREAM_TOKENS, Some(&last_id)).await;
        let (rest, completed) = read_all(resumed.expect("resumed")).await;

        tokens.extend(rest);
        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
        assert_eq!(total_started(&deployment), 1);
    });
}

#[test]
fn another_workspace_cannot_resume_generation() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
        let entry = deployment.entry_address(0);
        let mut stream =
            Caller::new("head-office").stream(entry, STREAM_TOKENS, None).await.expect("accepted");
        let event = stream.next().await.flatten().expect("an event");

        let rejected = Caller::new("phuket").stream(entry, STREAM_TOKENS, Some(&event.id)).await;

        let rejected = rejected.err().expect("rejected");
        assert_eq!((rejected.status, rejected.code().as_str()), (410, "resume_gone"));
    });
}

#[test]
fn cancelled_generation_frees_kv_cache_immediately() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
        let entry = deployment.entry_address(0);
        let caller = Caller::new("head-office");
        let mut stream = caller.stream(entry, 2_000, None).await.expect("accepted");
        let event = stream.next().await.flatten().expect("an event");
        let generation = event.id.rsplit_once(':').expect("an id").0.to_string();

        let path = format!("/v1/generations/{generation}");
        let response = caller.send("DELETE", entry, &path, &[], "").await.expect("a response");

        assert_eq!(response.status, 204);
        let counters = deployment.engines[0].batch.counters();
        assert_eq!((counters.open, counters.cache_tokens_used), (0, 0));
    });
}

#[test]
fn abandoned_generation_is_cancelled_after_resume_window() {
    support::run_async(async {
        let options = DeploymentOptions { resume_window_ms: 300, ..DeploymentOptions::default() };
        let deployment = start_deployment(1, options).await;
        let entry = deployment.entry_address(0);
        let stream = Caller::new("head-office").stream(entry, 2_000, None).await;

        drop(stream);

        let freed = || async { deployment.engines[0].batch.counters().open == 0 };
        eventually("the engine frees the KV cache", freed).await;
        assert_eq!(deployment.engines[0].batch.counters().cancelled, 1);
    });
}

#[test]
fn graceful_entry_stop_drains_open_streams() {
    support::run_async(async {
        let mut deployment = start_deployment(1, DeploymentOptions::default()).await;
        let caller = Caller::new("head-office");
        // At 5 ms a token, the stream takes 6 s. That is longer than the maximum age
        // of the address list (200 ms), the margin after it (2 s) and the longest
        // lease (2.5 s) together, so that the stop has to wait for the stream.
        let length = 1_200;
        let mut stream =
            caller.stream(deployment.entry_address(0), length, None).await.expect("accepted");
        let first = stream.next().await.flatten().expect("an event");
        let entry = deployment.entries[0].take().expect("the entry runs");

        let stopping = actix_rt::spawn(async move { entry.stop().await });
        let (mut tokens, completed) = read_all(stream).await;
        stopping.await.expect("the entry stops");

        tokens.splice(0..0, parse_token(&first));
        assert!(completed);
        assert_complete(&tokens, length);
        let (_, status) = deployment.leader_status().await.expect("a leader");
        assert_eq!(status.entries.len(), 1, "the stopped entry must have left the membership");
    });
}

#[test]
fn stopping_entry_leaves_address_list_and_still_accepts_requests() {
    support::run_async(async {
        let options =
            DeploymentOptions { address_max_age_ms: 3_000, ..DeploymentOptions::default() };
        let mut deployment = start_deployment(1, options).await;
        let caller = Caller::new("head-office");
        let stopping_address = deployment.entry_address(0).to_string();
        let entry = deployment.entries[0].take().expect("the entry runs");

        let stopping = actix_rt::spawn(async move { entry.stop().await });
        let listed = || async {
            let response = caller.send("GET", deployment.entry_address(1), "/v1/entries", &[], "");
            let text = response.await.expect("a response").json().to_string();
            !text.contains(&stopping_address)
        };
        eventually("the entry leaves the list", listed).await;
        let late_stream = caller.stream(deployment.entry_address(0), STREAM_TOKENS, None).await;
        let (tokens, completed) =
            read_all(late_stream.expect("the stopping entry accepts requests")).await;
        stopping.await.expect("the entry stops");

        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
    });
}

#[test]
fn leaving_engine_gets_no_new_generations_and_drains() {
    support::run_async(async {
        let mut deployment = start_deployment(1, DeploymentOptions::default()).await;
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
        let (tokens, completed) = read_all(stream.expect("accepted")).await;

        assert_eq!(deployment.engines[0].batch.counters().started, before);
        assert!(completed);
        assert_complete(&tokens, 400);
    });
}

#[test]
fn engine_without_announcements_gets_no_new_generations_after_lease() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
        let engine = &deployment.engines[0];

        engine.announcements_paused.store(true, Ordering::Relaxed);
        let removed = || async {
            deployment.known_upstreams(0).await + deployment.known_upstreams(1).await == 0
        };
        eventually("both entries remove the engine", removed).await;
        let response =
            Caller::new("head-office").stream(deployment.entry_address(0), 5, None).await;

        let rejected = response.err().expect("rejected");
        assert_eq!(
            (rejected.verdict.as_str(), rejected.code().as_str()),
            ("not-run", "no_upstream")
        );
        assert_eq!(engine.batch.counters().started, 0);
    });
}

#[test]
fn engine_remains_routable_after_owner_entry_crash() {
    support::run_async(async {
        let mut deployment = start_deployment(2, DeploymentOptions::default()).await;
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
fn fallback_service_is_used_while_no_engine_serves_the_requested_one() {
    support::run_async(async {
        let deployment = start_deployment(1, DeploymentOptions::default()).await;
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
        deployment.publish_set("fallback", 1, set).await.expect("a reply");
        deployment.wait_until_served(2).await;

        let caller = Caller::new("head-office");
        let stream = caller.stream(deployment.entry_address(0), STREAM_TOKENS, None).await;
        let (tokens, completed) = read_all(stream.expect("accepted")).await;

        assert!(completed);
        assert_complete(&tokens, STREAM_TOKENS);
    });
}
