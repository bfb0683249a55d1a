//! Answer of a model: attempts, resumptions and continuations behind one stream of tokens.

use super::ask::Ask;
use super::fault::Fault;
use crate::core::{Core, InFlight};
use crate::fleet::{Placed, Placeless, Target};
use crate::metrics::{Class as ClassMetrics, record};
use crate::teller::Decision;
use conn::Reuse;
use route::choose;
use route::queue::Rejection;
use route::retry::{self, Action, Context, Outcome};
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span, Time, rendezvous};
use upstream::engine::{self, Attempt, End, Failure, Item, RefusalReason, Run, Stream};

/// Bytes of a prompt that make up its prefix for affinity.
const PREFIX_BYTES: usize = 512;

/// Prefill time assumed per byte of prompt that is not cached; about 4 bytes a token.
const PREFILL_PER_BYTE: f64 = 12.0;

/// First-token targets an attempt may take before it is held to be lost.
const FIRST_TOKEN_FACTOR: f64 = 4.0;

/// When a shed caller may come back.
const SHED_RETRY: Span = Span::from_secs(2);

/// When a caller of a model with no replica may come back.
const ABSENT_RETRY: Span = Span::from_secs(5);

/// Stream of an attempt, at its place.
struct Running {
    stream: Stream,
    placed: Placed,
    attempt: Attempt,
}

/// Answer under way.
pub struct Answer {
    core: Arc<Core>,
    /// The request.
    pub ask: Ask,
    metrics: Arc<ClassMetrics>,
    running: Option<Running>,
    /// First item, had before the answer's head was sent.
    held: Option<Item>,
    /// End that was met among what had arrived already.
    ending: Option<End>,
    attempts: u32,
    resumes: u32,
    may_have_run: bool,
    avoid: Option<u64>,
    given: String,
    /// Tokens handed on so far.
    pub tokens: u32,
    first_at: Option<Time>,
    last_at: Time,
    late_tokens: u32,
    finished: bool,
    _in_flight: InFlight,
}

/// Starts an answer; it has its first token, or is whole, when this returns.
pub async fn start(core: &Arc<Core>, ask: Ask) -> Result<Answer, Fault> {
    let metrics = core.metrics.class(&ask.asker.caller, &ask.asker.class_name);
    core.arrived(&ask.model);
    let mut answer = Answer {
        core: core.clone(),
        metrics,
        running: None,
        held: None,
        ending: None,
        attempts: 0,
        resumes: 0,
        may_have_run: false,
        avoid: None,
        given: String::new(),
        tokens: 0,
        first_at: None,
        last_at: ask.asker.arrived,
        late_tokens: 0,
        finished: false,
        _in_flight: core.enter(),
        ask,
    };
    answer.attempt().await?;
    let item = answer.advance().await?;
    answer.held = Some(item);
    Ok(answer)
}

impl Answer {
    /// Next tokens, or the end of the whole answer.
    pub async fn next(&mut self) -> Result<Item, Fault> {
        match self.held.take() {
            Some(item) => Ok(item),
            None => self.advance().await,
        }
    }

    /// Next item if it has arrived already.
    pub fn buffered(&mut self) -> Option<Item> {
        match self.running.as_mut()?.stream.buffered()? {
            Ok(Item::End(end)) => {
                self.ending = Some(end);
                None
            }
            Ok(item) => {
                self.note(&item);
                Some(item)
            }
            // A failure is met again, and dealt with, by the next call of `next`.
            Err(_) => None,
        }
    }

    async fn advance(&mut self) -> Result<Item, Fault> {
        if let Some(end) = self.ending.take() {
            return Ok(self.end(end).await);
        }
        loop {
            let limit = self.token_limit();
            let Some(running) = &mut self.running else {
                return Err(self.fail(Outcome::Unknown, "the stream is gone".into()));
            };
            match running.stream.next(limit).await {
                Ok(Item::End(end)) => return Ok(self.end(end).await),
                Ok(item) => {
                    self.note(&item);
                    return Ok(item);
                }
                Err(failure) => self.recover(failure).await?,
            }
        }
    }

    /// Time that the next token may take.
    fn token_limit(&self) -> Duration {
        let stall = self.core.settings.limits.stall;
        if self.first_at.is_some() {
            return stall.std();
        }
        let patience = self.ask.asker.class.first_token * FIRST_TOKEN_FACTOR;
        let left = self.ask.asker.deadline().since(self.core.now());
        patience.max(stall).min(left.max(Span::from_ms(1))).std()
    }

    /// Notes an item in histograms, and keeps the text for a continuation.
    fn note(&mut self, item: &Item) {
        let now = self.core.now();
        let Item::Tokens { text, count } = item else {
            return;
        };
        match self.first_at {
            None => {
                self.first_at = Some(now);
                let delay = now.since(self.ask.asker.arrived);
                record(&self.metrics.first_token, delay);
                if let Some(running) = &self.running {
                    let delay = now.since(running.placed.at);
                    running
                        .placed
                        .answered(delay, self.ask.asker.class.first_token);
                }
            }
            Some(_) => {
                let gap = now.since(self.last_at);
                record(&self.metrics.between_tokens, gap);
                if gap > self.ask.asker.class.between_tokens {
                    self.late_tokens += 1;
                }
            }
        }
        self.last_at = now;
        self.tokens += count;
        if self.ask.asker.repeatable {
            self.given.push_str(text);
        }
    }

    /// Notes the end of the whole answer and gives the place up.
    async fn end(&mut self, end: End) -> Item {
        self.finished = true;
        let asker = &self.ask.asker;
        let met = self.has_met_targets();
        let percent = asker.bundle.intent.limits.retry_percent;
        self.core.earn(&asker.caller, percent);
        self.core.ended(&self.ask.model, met);
        self.metrics.outcome(Outcome::Complete);
        match met {
            true => self.metrics.attained.increment(1),
            false => self.metrics.missed.increment(1),
        }
        let reason = format!("{} tokens were handed on.", self.tokens);
        self.core
            .teller
            .ended(&asker.request, Outcome::Complete, &reason);
        if let Some(running) = self.running.take() {
            self.core.teller.attempt_ended(&asker.request, "whole.");
            let took = self.core.now().since(running.placed.at);
            let first = self.first_at.unwrap_or(running.placed.at);
            let first = first.since(running.placed.at);
            running.placed.ended(first, took, Some(end.load));
            count_dropped(&self.core, &running.stream);
            running.stream.finish().await;
        }
        Item::End(end)
    }

    /// Whether the first token came in time, and 95 in 100 of the others.
    fn has_met_targets(&self) -> bool {
        let asker = &self.ask.asker;
        let first = self.first_at.unwrap_or(self.core.now());
        let in_time = first.since(asker.arrived) <= asker.class.first_token;
        in_time && self.late_tokens * 20 <= self.tokens
    }

    /// Deals with the failure of a running attempt: its stream goes on, or the request ends.
    async fn recover(&mut self, failure: Failure) -> Result<(), Fault> {
        let mut failure = failure;
        loop {
            let (end, text) = self.ended(failure);
            let known = Context {
                repeatable: self.ask.asker.repeatable,
                attempts: self.attempts,
                resumes: self.resumes,
                may_have_run: self.may_have_run,
                deadline: self.ask.asker.deadline(),
            };
            match retry::decide(&known, end, self.core.now()) {
                Action::Resume => match self.resume().await {
                    Ok(()) => return Ok(()),
                    Err(again) => failure = again,
                },
                Action::Retry if self.core.spend(&self.ask.asker.caller) => {
                    self.abandon();
                    return self.attempt().await;
                }
                Action::Retry => {
                    let text = format!("{text}; the caller's retry budget is spent");
                    return Err(self.fail(self.true_outcome(), text));
                }
                Action::GiveUp(outcome) => return Err(self.fail(outcome, text)),
            }
        }
    }

    /// Leaves the running attempt, if there is one, and cancels it upstream.
    fn abandon(&mut self) {
        if let Some(running) = self.running.take() {
            cancel(&self.core, running.placed.addr, running.attempt);
        }
    }

    /// Outcome that is true of the request so far, if it ended now.
    fn true_outcome(&self) -> Outcome {
        Outcome::without_answer(self.may_have_run)
    }

    /// Notes how an attempt ended, for routing, for the record and for what follows.
    fn ended(&mut self, failure: Failure) -> (retry::Failure, String) {
        let placed = self.running.as_ref().map(|r| &r.placed);
        let (end, text) = match failure {
            Failure::Unsent(e) => {
                placed.inspect(|p| p.failed());
                (retry::Failure::NotRun, format!("not run: {e}"))
            }
            Failure::Refused(RefusalReason::UnknownStream) => (
                retry::Failure::UnknownStream,
                "lost: the engine does not know the stream any more".into(),
            ),
            Failure::Refused(cause) => {
                placed.inspect(|p| p.refused(cause));
                (
                    retry::Failure::NotRun,
                    format!("not run: the engine refused ({cause:?})"),
                )
            }
            Failure::Lost(why) => {
                placed.inspect(|p| p.failed());
                (retry::Failure::Lost, format!("lost: {why}"))
            }
        };
        self.may_have_run |= end != retry::Failure::NotRun;
        self.core
            .teller
            .attempt_ended(&self.ask.asker.request, &text);
        (end, text)
    }

    /// Takes the same attempt's stream up again at its engine.
    async fn resume(&mut self) -> Result<(), Failure> {
        self.resumes += 1;
        let counter = self.core.metrics.counter("coveford_resumes_total", &[]);
        counter.increment(1);
        let Some(running) = &mut self.running else {
            return Err(Failure::Lost("the stream is gone".into()));
        };
        let offset = running.stream.offset();
        let mut run = run(&self.ask, running.attempt.clone());
        run.resume_at = Some(offset);
        let limit = self.core.settings.limits.stall.std();
        let addr = running.placed.addr;
        // A resumption starts nothing, so what failed to reach the engine is still lost, not "not run".
        let resumed = engine::start(&self.core.pool, addr, Reuse::Fresh, &run, limit).await;
        running.stream = resumed.map_err(|failure| match failure {
            Failure::Unsent(e) => Failure::Lost(e.to_string()),
            Failure::Refused(_) => Failure::Refused(RefusalReason::UnknownStream),
            lost => lost,
        })?;
        Ok(())
    }

    /// Makes another attempt; what was handed on already is given to it to continue.
    async fn attempt(&mut self) -> Result<(), Fault> {
        loop {
            let placed = self.place().await?;
            self.attempts += 1;
            self.resumes = 0;
            if self.attempts > 1 {
                let counter = self.core.metrics.counter("coveford_retries_total", &[]);
                counter.increment(1);
            }
            let attempt = Attempt {
                request: self.ask.asker.request.clone(),
                number: self.attempts,
            };
            self.decided(&placed);
            self.avoid = Some(rendezvous::hash(placed.upstream.as_bytes()));
            let mut run = run(&self.ask, attempt.clone());
            run.given.clone_from(&self.given);
            run.given_tokens = self.tokens;
            let reuse = match self.ask.asker.repeatable {
                true => Reuse::Kept,
                false => Reuse::Fresh,
            };
            let limit = self.token_limit();
            let addr = placed.addr;
            // A caller that leaves while the head is awaited must not leave the engine at work.
            let guard = Cancel::new(&self.core, addr, attempt.clone());
            let started = engine::start(&self.core.pool, addr, reuse, &run, limit).await;
            guard.disarm();
            match started {
                Ok(stream) => {
                    self.running = Some(Running {
                        stream,
                        placed,
                        attempt,
                    });
                    return Ok(());
                }
                Err(failure) => {
                    let again = self.unstarted(failure, placed, attempt).await?;
                    if !again {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Deals with an attempt that did not start; tells whether to make another.
    async fn unstarted(
        &mut self,
        failure: Failure,
        placed: Placed,
        attempt: Attempt,
    ) -> Result<bool, Fault> {
        let lost = matches!(failure, Failure::Lost(_));
        match &failure {
            Failure::Refused(cause) => placed.refused(*cause),
            _ => placed.failed(),
        }
        let (end, text) = self.ended(failure);
        let resumable = lost && self.take_up(placed, attempt).await;
        if resumable {
            return Ok(false);
        }
        let known = Context {
            repeatable: self.ask.asker.repeatable,
            attempts: self.attempts,
            resumes: u32::MAX,
            may_have_run: self.may_have_run,
            deadline: self.ask.asker.deadline(),
        };
        match retry::decide(&known, end, self.core.now()) {
            Action::Retry if self.core.spend(&self.ask.asker.caller) => Ok(true),
            Action::GiveUp(outcome) => Err(self.fail(outcome, text)),
            _ => {
                let text = format!("{text}; the caller's retry budget is spent");
                Err(self.fail(self.true_outcome(), text))
            }
        }
    }

    /// Tries to take up a stream whose head was lost; the engine may be running it.
    async fn take_up(&mut self, placed: Placed, attempt: Attempt) -> bool {
        let mut run = run(&self.ask, attempt.clone());
        run.resume_at = Some(self.tokens);
        let limit = self.core.settings.limits.stall.std();
        let taken = engine::start(&self.core.pool, placed.addr, Reuse::Fresh, &run, limit).await;
        let Ok(stream) = taken else {
            return false;
        };
        self.resumes += 1;
        self.running = Some(Running {
            stream,
            placed,
            attempt,
        });
        true
    }

    async fn place(&mut self) -> Result<Placed, Fault> {
        let asker = &self.ask.asker;
        let target = Target::Model {
            model: self.ask.model.clone(),
            adapter: self.ask.adapter.clone(),
        };
        let want = asker.want(
            target,
            choose::Request {
                prefix: Some(prefix(&self.ask.model, &self.ask.prompt)),
                prefill: Span((self.ask.prompt.len() as f64 * PREFILL_PER_BYTE) as u64),
                avoid: self.avoid,
            },
        );
        let most = asker.bundle.intent.limits.queue as usize;
        let from = self.core.now();
        let placed = self.core.fleet.acquire(want, most).await;
        let waited = self.core.now().since(from);
        record(&self.metrics.wait, waited);
        self.core
            .teller
            .change(&asker.request, |record| record.waited += waited);
        placed.map_err(|placeless| self.placeless(placeless))
    }

    fn placeless(&mut self, placeless: Placeless) -> Fault {
        let outcome = self.true_outcome();
        let (code, message, retry) = match placeless {
            Placeless::Shed(Rejection::Full) => (
                "overloaded",
                "The queue is full of requests that go before this one.",
                SHED_RETRY,
            ),
            Placeless::Shed(Rejection::Expired) => (
                "too_late",
                "The request cannot be answered before its deadline.",
                SHED_RETRY,
            ),
            Placeless::Absent => (
                "model_not_ready",
                "No upstream holds this model ready at the moment.",
                ABSENT_RETRY,
            ),
        };
        let counter = self
            .core
            .metrics
            .counter("coveford_shed_total", &[("reason", code)]);
        counter.increment(1);
        self.close(outcome, message);
        match outcome {
            Outcome::NotRun => Fault::busy(code, message, retry),
            _ => Fault::lost(outcome, message),
        }
    }

    fn decided(&self, placed: &Placed) {
        let asker = &self.ask.asker;
        let decision = Decision {
            after: self.core.now().since(asker.arrived),
            attempt: self.attempts,
            upstream: placed.upstream.clone(),
            weighed: placed.weighed.clone(),
            ended: String::new(),
        };
        self.core.teller.decided(&asker.request, decision);
    }

    fn fail(&mut self, outcome: Outcome, text: String) -> Fault {
        self.close(outcome, &text);
        Fault::lost(outcome, format!("The answer could not be had ({text})."))
    }

    /// Notes the outcome of a request that was not answered whole.
    fn close(&mut self, outcome: Outcome, text: &str) {
        self.finished = true;
        self.core.ended(&self.ask.model, false);
        self.metrics.outcome(outcome);
        self.metrics.missed.increment(1);
        self.core
            .teller
            .ended(&self.ask.asker.request, outcome, text);
    }
}

impl Drop for Answer {
    /// A caller that goes away cancels upstream.
    fn drop(&mut self) {
        self.abandon();
        if !self.finished {
            self.close(Outcome::Unknown, "the caller went away");
        }
    }
}

/// Cancels an attempt when dropped before it is disarmed.
struct Cancel<'a> {
    core: &'a Arc<Core>,
    of: Option<(std::net::SocketAddr, Attempt)>,
}

impl<'a> Cancel<'a> {
    fn new(core: &'a Arc<Core>, addr: std::net::SocketAddr, attempt: Attempt) -> Cancel<'a> {
        Cancel {
            core,
            of: Some((addr, attempt)),
        }
    }

    fn disarm(mut self) {
        self.of = None;
    }
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        if let Some((addr, attempt)) = self.of.take() {
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
    count("doubled", stream.doubled);
}

/// Hash of a model and the beginning of a prompt.
pub fn prefix(model: &Name, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let end = bytes.len().min(PREFIX_BYTES);
    rendezvous::hash(model.as_bytes()) ^ rendezvous::hash(&bytes[..end])
}

fn run(ask: &Ask, attempt: Attempt) -> Run {
    Run {
        attempt,
        model: ask.model.clone(),
        version: None,
        adapter: ask.adapter.clone(),
        prompt: ask.prompt.clone(),
        given: String::new(),
        given_tokens: 0,
        resume_at: None,
        max_tokens: ask.max_tokens,
        priority: ask.asker.class.priority,
        sampling: ask.sampling.clone(),
    }
}
