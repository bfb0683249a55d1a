//! Output of a model as one stream of tokens, across retries and resumed streams.

use super::error::ApiError;
use super::request::Completion;
use crate::core::{Core, InFlight};
use crate::fleet::{AcquireError, Reservation, Target};
use crate::metrics::{Class as ClassMetrics, record};
use crate::request_log::Decision;
use conn::Reuse;
use route::choose;
use route::queue::Rejection;
use route::retry::{self, Action, Context, Outcome};
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span, Time, rendezvous};
use upstream::engine::{self, Attempt, End, Failure, Item, RefusalReason, Run, Stream};

/// Length of the prompt prefix that is hashed for prefix affinity.
const PREFIX_BYTES: usize = 512;

/// Estimated prefill time per byte of uncached prompt, in microseconds; assumes 4 bytes a token.
const PREFILL_US_PER_BYTE: f64 = 12.0;

/// Multiple of the time-to-first-token target after which an attempt counts as lost.
const TTFT_TIMEOUT_FACTOR: f64 = 4.0;

/// `Retry-After` of requests that the queue rejected.
const REJECTED_RETRY_AFTER: Span = Span::from_secs(2);

/// `Retry-After` of requests to a model without a ready replica.
const UNAVAILABLE_RETRY_AFTER: Span = Span::from_secs(5);

/// Attempt with an open stream.
struct ActiveAttempt {
    stream: Stream,
    reservation: Reservation,
    attempt: Attempt,
}

/// Output of a model being generated; dropping it cancels the attempt upstream.
pub struct Generation {
    core: Arc<Core>,
    pub completion: Completion,
    class_metrics: Arc<ClassMetrics>,
    active: Option<ActiveAttempt>,
    /// First item, which is received before the response headers are sent.
    first_item: Option<Item>,
    /// End of the stream, if [`Generation::try_next`] received it.
    buffered_end: Option<End>,
    attempts: u32,
    resumes: u32,
    may_have_run: bool,
    /// Hash of the upstream of the last attempt.
    avoid: Option<u64>,
    /// Text passed on so far; a retry continues it. Empty for unrepeatable requests.
    output: String,
    /// Number of tokens passed on so far.
    pub tokens: u32,
    first_token_at: Option<Time>,
    last_token_at: Time,
    /// Tokens that exceeded the target for the time between tokens.
    late_tokens: u32,
    /// Whether the outcome has been recorded.
    finished: bool,
    _in_flight: InFlight,
}

/// Starts a generation; returns once its first item has arrived, with retries until then.
pub async fn start(core: &Arc<Core>, completion: Completion) -> Result<Generation, ApiError> {
    let class_metrics = core
        .metrics
        .class(&completion.meta.caller, &completion.meta.class_name);
    core.record_arrival(&completion.model);
    let mut generation = Generation {
        core: core.clone(),
        class_metrics,
        active: None,
        first_item: None,
        buffered_end: None,
        attempts: 0,
        resumes: 0,
        may_have_run: false,
        avoid: None,
        output: String::new(),
        tokens: 0,
        first_token_at: None,
        last_token_at: completion.meta.arrived,
        late_tokens: 0,
        finished: false,
        _in_flight: core.track_request(),
        completion,
    };
    generation.start_attempt().await?;
    let item = generation.receive().await?;
    generation.first_item = Some(item);
    Ok(generation)
}

impl Generation {
    /// Next tokens, or the end of the complete output.
    pub async fn next(&mut self) -> Result<Item, ApiError> {
        match self.first_item.take() {
            Some(item) => Ok(item),
            None => self.receive().await,
        }
    }

    /// Next tokens if they have arrived already.
    pub fn try_next(&mut self) -> Option<Item> {
        match self.active.as_mut()?.stream.buffered()? {
            Ok(Item::End(end)) => {
                self.buffered_end = Some(end);
                None
            }
            Ok(item) => {
                self.record_item(&item);
                Some(item)
            }
            // The next call of `next` gets the failure again and handles it.
            Err(_) => None,
        }
    }

    async fn receive(&mut self) -> Result<Item, ApiError> {
        if let Some(end) = self.buffered_end.take() {
            return Ok(self.finish(end).await);
        }
        loop {
            let limit = self.token_timeout();
            let Some(active) = &mut self.active else {
                return Err(self.fail(Outcome::Unknown, "the stream is gone".into()));
            };
            match active.stream.next(limit).await {
                Ok(Item::End(end)) => return Ok(self.finish(end).await),
                Ok(item) => {
                    self.record_item(&item);
                    return Ok(item);
                }
                Err(failure) => self.recover(failure).await?,
            }
        }
    }

    /// Timeout for the next token.
    fn token_timeout(&self) -> Duration {
        let stall = self.core.settings.limits.stall_timeout;
        if self.first_token_at.is_some() {
            return stall.std();
        }
        let ttft_timeout = self.completion.meta.class.first_token * TTFT_TIMEOUT_FACTOR;
        let remaining = self.completion.meta.deadline().since(self.core.now());
        ttft_timeout
            .max(stall)
            .min(remaining.max(Span::from_ms(1)))
            .std()
    }

    /// Records the latency of an item, and keeps its text for retries.
    fn record_item(&mut self, item: &Item) {
        let now = self.core.now();
        let Item::Tokens { text, count } = item else {
            return;
        };
        match self.first_token_at {
            None => {
                self.first_token_at = Some(now);
                let delay = now.since(self.completion.meta.arrived);
                record(&self.class_metrics.ttft, delay);
                if let Some(active) = &self.active {
                    let delay = now.since(active.reservation.reserved_at);
                    active
                        .reservation
                        .record_first_response(delay, self.completion.meta.class.first_token);
                }
            }
            Some(_) => {
                let gap = now.since(self.last_token_at);
                record(&self.class_metrics.inter_token, gap);
                if gap > self.completion.meta.class.between_tokens {
                    self.late_tokens += 1;
                }
            }
        }
        self.last_token_at = now;
        self.tokens += count;
        if self.completion.meta.repeatable {
            self.output.push_str(text);
        }
    }

    /// Records the completed request and releases its placement.
    async fn finish(&mut self, end: End) -> Item {
        self.finished = true;
        let meta = &self.completion.meta;
        let met_targets = self.has_met_targets();
        let percent = meta.bundle.intent.limits.retry_percent;
        self.core.earn_retry(&meta.caller, percent);
        self.core
            .record_completion(&self.completion.model, met_targets);
        self.class_metrics.record_outcome(Outcome::Complete);
        match met_targets {
            true => self.class_metrics.attained.increment(1),
            false => self.class_metrics.missed.increment(1),
        }
        let reason = format!("{} tokens were handed on.", self.tokens);
        self.core
            .request_log
            .record_outcome(&meta.id, Outcome::Complete, &reason);
        if let Some(active) = self.active.take() {
            self.core.request_log.record_attempt_end(&meta.id, "whole.");
            let elapsed = self.core.now().since(active.reservation.reserved_at);
            let ttft = self
                .first_token_at
                .unwrap_or(active.reservation.reserved_at);
            let ttft = ttft.since(active.reservation.reserved_at);
            active
                .reservation
                .record_completion(ttft, elapsed, Some(end.load));
            count_dropped(&self.core, &active.stream);
            active.stream.finish().await;
        }
        Item::End(end)
    }

    /// Whether the first token met its target, and at most 5 % of the tokens were late.
    fn has_met_targets(&self) -> bool {
        let meta = &self.completion.meta;
        let first = self.first_token_at.unwrap_or(self.core.now());
        let in_time = first.since(meta.arrived) <= meta.class.first_token;
        in_time && self.late_tokens * 20 <= self.tokens
    }

    /// Resumes or retries after the failure of a running attempt, or fails the request.
    async fn recover(&mut self, failure: Failure) -> Result<(), ApiError> {
        let mut failure = failure;
        loop {
            let (kind, text) = self.record_failure(failure);
            let context = Context {
                repeatable: self.completion.meta.repeatable,
                attempts: self.attempts,
                resumes: self.resumes,
                may_have_run: self.may_have_run,
                deadline: self.completion.meta.deadline(),
            };
            match retry::decide(&context, kind, self.core.now()) {
                Action::Resume => match self.resume().await {
                    Ok(()) => return Ok(()),
                    Err(next) => failure = next,
                },
                Action::Retry if self.core.spend_retry(&self.completion.meta.caller) => {
                    self.cancel_active();
                    return self.start_attempt().await;
                }
                Action::Retry => {
                    let text = format!("{text}; the caller's retry budget is spent");
                    return Err(self.fail(self.outcome_without_answer(), text));
                }
                Action::GiveUp(outcome) => return Err(self.fail(outcome, text)),
            }
        }
    }

    /// Cancels the active attempt, if any, upstream.
    fn cancel_active(&mut self) {
        if let Some(active) = self.active.take() {
            cancel(&self.core, active.reservation.addr, active.attempt);
        }
    }

    /// Outcome of the request if it ended now.
    fn outcome_without_answer(&self) -> Outcome {
        Outcome::without_answer(self.may_have_run)
    }

    /// Records the failure of an attempt at its replica and in the request's record, and classifies
    /// it for the retry decision.
    fn record_failure(&mut self, failure: Failure) -> (retry::Failure, String) {
        let reservation = self.active.as_ref().map(|active| &active.reservation);
        let (kind, text) = match failure {
            Failure::Unsent(e) => {
                reservation.inspect(|p| p.record_failure());
                (retry::Failure::NotRun, format!("not run: {e}"))
            }
            Failure::Refused(RefusalReason::Unknown) => (
                retry::Failure::UnknownStream,
                "lost: the engine does not know the stream any more".into(),
            ),
            Failure::Refused(reason) => {
                reservation.inspect(|p| p.record_refusal(reason));
                (
                    retry::Failure::NotRun,
                    format!("not run: the engine refused ({reason:?})"),
                )
            }
            Failure::Lost(reason) => {
                reservation.inspect(|p| p.record_failure());
                (retry::Failure::Lost, format!("lost: {reason}"))
            }
        };
        self.may_have_run |= kind != retry::Failure::NotRun;
        self.core
            .request_log
            .record_attempt_end(&self.completion.meta.id, &text);
        (kind, text)
    }

    /// Resumes the stream of the active attempt at the same engine.
    async fn resume(&mut self) -> Result<(), Failure> {
        self.resumes += 1;
        let counter = self.core.metrics.counter("coveford_resumes_total", &[]);
        counter.increment(1);
        let Some(active) = &mut self.active else {
            return Err(Failure::Lost("the stream is gone".into()));
        };
        let offset = active.stream.offset();
        let mut run = engine_run(&self.completion, active.attempt.clone());
        run.resume_at = Some(offset);
        let limit = self.core.settings.limits.stall_timeout.std();
        let addr = active.reservation.addr;
        // The attempt runs already, so a failure to reach the engine means lost, not "not run".
        let resumed = engine::start(&self.core.pool, addr, Reuse::Fresh, &run, limit).await;
        active.stream = resumed.map_err(|failure| match failure {
            Failure::Unsent(e) => Failure::Lost(e.to_string()),
            Failure::Refused(_) => Failure::Refused(RefusalReason::Unknown),
            lost => lost,
        })?;
        Ok(())
    }

    /// Starts an attempt, which continues the output passed on so far.
    async fn start_attempt(&mut self) -> Result<(), ApiError> {
        loop {
            let reservation = self.place().await?;
            self.attempts += 1;
            self.resumes = 0;
            if self.attempts > 1 {
                let counter = self.core.metrics.counter("coveford_retries_total", &[]);
                counter.increment(1);
            }
            let attempt = Attempt {
                request: self.completion.meta.id.clone(),
                number: self.attempts,
            };
            self.record_decision(&reservation);
            self.avoid = Some(rendezvous::hash(reservation.upstream.as_bytes()));
            let mut run = engine_run(&self.completion, attempt.clone());
            run.given.clone_from(&self.output);
            run.given_tokens = self.tokens;
            let reuse = match self.completion.meta.repeatable {
                true => Reuse::Pooled,
                false => Reuse::Fresh,
            };
            let limit = self.token_timeout();
            let addr = reservation.addr;
            // Cancels the attempt if the caller disconnects before the response headers arrive.
            let guard = CancelGuard::new(&self.core, addr, attempt.clone());
            let started = engine::start(&self.core.pool, addr, reuse, &run, limit).await;
            guard.disarm();
            match started {
                Ok(stream) => {
                    self.active = Some(ActiveAttempt {
                        stream,
                        reservation,
                        attempt,
                    });
                    return Ok(());
                }
                Err(failure) => {
                    let retry = self
                        .handle_failed_start(failure, reservation, attempt)
                        .await?;
                    if !retry {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Handles an attempt that failed to start. Returns whether to make another; false if its
    /// stream could be resumed.
    async fn handle_failed_start(
        &mut self,
        failure: Failure,
        reservation: Reservation,
        attempt: Attempt,
    ) -> Result<bool, ApiError> {
        let is_lost = matches!(failure, Failure::Lost(_));
        match &failure {
            Failure::Refused(reason) => reservation.record_refusal(*reason),
            _ => reservation.record_failure(),
        }
        let (kind, text) = self.record_failure(failure);
        let resumed = is_lost && self.try_resume(reservation, attempt).await;
        if resumed {
            return Ok(false);
        }
        let context = Context {
            repeatable: self.completion.meta.repeatable,
            attempts: self.attempts,
            resumes: u32::MAX,
            may_have_run: self.may_have_run,
            deadline: self.completion.meta.deadline(),
        };
        match retry::decide(&context, kind, self.core.now()) {
            Action::Retry if self.core.spend_retry(&self.completion.meta.caller) => Ok(true),
            Action::GiveUp(outcome) => Err(self.fail(outcome, text)),
            _ => {
                let text = format!("{text}; the caller's retry budget is spent");
                Err(self.fail(self.outcome_without_answer(), text))
            }
        }
    }

    /// Tries to resume a stream whose response headers were lost, since the engine may be running it.
    async fn try_resume(&mut self, reservation: Reservation, attempt: Attempt) -> bool {
        let mut run = engine_run(&self.completion, attempt.clone());
        run.resume_at = Some(self.tokens);
        let limit = self.core.settings.limits.stall_timeout.std();
        let resumed =
            engine::start(&self.core.pool, reservation.addr, Reuse::Fresh, &run, limit).await;
        let Ok(stream) = resumed else {
            return false;
        };
        self.resumes += 1;
        self.active = Some(ActiveAttempt {
            stream,
            reservation,
            attempt,
        });
        true
    }

    async fn place(&mut self) -> Result<Reservation, ApiError> {
        let meta = &self.completion.meta;
        let target = Target::Model {
            model: self.completion.model.clone(),
            adapter: self.completion.adapter.clone(),
        };
        let request = meta.fleet_request(
            target,
            choose::Request {
                prefix: Some(prefix_hash(&self.completion.model, &self.completion.prompt)),
                prefill: Span((self.completion.prompt.len() as f64 * PREFILL_US_PER_BYTE) as u64),
                avoid: self.avoid,
            },
        );
        let max_queued = meta.bundle.intent.limits.queue as usize;
        let queued_at = self.core.now();
        let reservation = self.core.fleet.acquire(request, max_queued).await;
        let waited = self.core.now().since(queued_at);
        record(&self.class_metrics.queue_time, waited);
        self.core
            .request_log
            .update(&meta.id, |record| record.waited += waited);
        reservation.map_err(|error| self.placement_error(error))
    }

    fn placement_error(&mut self, error: AcquireError) -> ApiError {
        let outcome = self.outcome_without_answer();
        let (code, message, retry_after) = match error {
            AcquireError::Rejected(Rejection::Full) => (
                "overloaded",
                "The queue is full of requests that go before this one.",
                REJECTED_RETRY_AFTER,
            ),
            AcquireError::Rejected(Rejection::Expired) => (
                "too_late",
                "The request cannot be answered before its deadline.",
                REJECTED_RETRY_AFTER,
            ),
            AcquireError::Unavailable => (
                "model_not_ready",
                "No upstream holds this model ready at the moment.",
                UNAVAILABLE_RETRY_AFTER,
            ),
        };
        let counter = self
            .core
            .metrics
            .counter("coveford_shed_total", &[("reason", code)]);
        counter.increment(1);
        self.record_end(outcome, message);
        match outcome {
            Outcome::NotRun => ApiError::unavailable(code, message, retry_after),
            _ => ApiError::upstream_failure(outcome, message),
        }
    }

    fn record_decision(&self, reservation: &Reservation) {
        let meta = &self.completion.meta;
        let decision = Decision {
            after: self.core.now().since(meta.arrived),
            attempt: self.attempts,
            upstream: reservation.upstream.clone(),
            weighed: reservation.evaluations.clone(),
            ended: String::new(),
        };
        self.core.request_log.record_decision(&meta.id, decision);
    }

    fn fail(&mut self, outcome: Outcome, text: String) -> ApiError {
        self.record_end(outcome, &text);
        ApiError::upstream_failure(outcome, format!("The answer could not be had ({text})."))
    }

    /// Records the outcome of a request without a complete response.
    fn record_end(&mut self, outcome: Outcome, text: &str) {
        self.finished = true;
        self.core.record_completion(&self.completion.model, false);
        self.class_metrics.record_outcome(outcome);
        self.class_metrics.missed.increment(1);
        self.core
            .request_log
            .record_outcome(&self.completion.meta.id, outcome, text);
    }
}

impl Drop for Generation {
    /// Cancels upstream, and records a request whose caller disconnected.
    fn drop(&mut self) {
        self.cancel_active();
        if !self.finished {
            self.record_end(Outcome::Unknown, "the caller went away");
        }
    }
}

/// Cancels an attempt if dropped before it is disarmed.
struct CancelGuard<'a> {
    core: &'a Arc<Core>,
    target: Option<(std::net::SocketAddr, Attempt)>,
}

impl<'a> CancelGuard<'a> {
    fn new(core: &'a Arc<Core>, addr: std::net::SocketAddr, attempt: Attempt) -> CancelGuard<'a> {
        CancelGuard {
            core,
            target: Some((addr, attempt)),
        }
    }

    fn disarm(mut self) {
        self.target = None;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some((addr, attempt)) = self.target.take() {
            cancel(self.core, addr, attempt);
        }
    }
}

fn cancel(core: &Arc<Core>, addr: std::net::SocketAddr, attempt: Attempt) {
    let pool = core.pool.clone();
    let counter = core.metrics.counter("coveford_cancels_total", &[]);
    counter.increment(1);
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            let _ = engine::cancel(&pool, addr, &attempt).await;
        });
    }
}

fn count_dropped(core: &Core, stream: &Stream) {
    let count = |kind, n| {
        if n > 0 {
            let counter = core
                .metrics
                .counter("coveford_events_dropped_total", &[("kind", kind)]);
            counter.increment(n);
        }
    };
    count("foreign", stream.foreign);
    count("doubled", stream.duplicates);
}

/// Hash of a model and a prompt's prefix, for prefix affinity.
pub fn prefix_hash(model: &Name, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let end = bytes.len().min(PREFIX_BYTES);
    rendezvous::hash(model.as_bytes()) ^ rendezvous::hash(&bytes[..end])
}

fn engine_run(completion: &Completion, attempt: Attempt) -> Run {
    Run {
        attempt,
        model: completion.model.clone(),
        version: None,
        adapter: completion.adapter.clone(),
        prompt: completion.prompt.clone(),
        given: String::new(),
        given_tokens: 0,
        resume_at: None,
        max_tokens: completion.max_tokens,
        priority: completion.meta.class.priority,
        sampling: completion.sampling.clone(),
    }
}
