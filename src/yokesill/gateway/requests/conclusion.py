"""Decides when a request gets its final answer, and which answer that is.

A request to a single service ends with its call: with the server's answer, with the last failure response
of a server, or with a refusal. A request that gathers from many services ends

- when all calls are finished, or when none is pending and the deferred ones are not needed;
- at its objective (``deadlines``) if enough replies have arrived, otherwise as soon as they have;
- with a refusal, as soon as too few replies can still arrive;
- at its deadline, when all open calls expire.

The verdict of a refusal is the join of the calls' verdicts, that is, the verdict of the call that progressed
furthest.
"""

from yokesill.gateway.documents import Gather
from yokesill.gateway.events import FinalAnswer, Gathered, PassOn, Refuse
from yokesill.gateway.messages import RequestSummary
from yokesill.gateway.requests import refusal
from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.merge import greatest_records
from yokesill.verdict import Verdict, join


def final_answer(fan_out: FanOut, now: float) -> FinalAnswer | None:
    """Return the final answer if the request ends now, or ``None`` while it continues."""
    destination = fan_out.route.destination
    if not isinstance(destination, Gather):
        return _single_answer(fan_out, now)
    if not fan_out.coverage_met:
        return _refusal(fan_out, now) if fan_out.coverage_unreachable else None
    if fan_out.pending and now < fan_out.objective_at_s:
        return None
    return _gathered_answer(fan_out, destination, now)


def expire_open_calls(fan_out: FanOut) -> None:
    """Close all open calls because the request's deadline has passed."""
    for call in fan_out.calls:
        if call.open:
            call.expire()
            fan_out.count_if_finished(call)


def verdict_of(fan_out: FanOut) -> Verdict:
    """Return the verdict on whether the request has or may have run on any server."""
    return join(call.verdict for call in fan_out.calls)


def summarize(fan_out: FanOut, now: float) -> RequestSummary:
    """Return a summary of the request's progress so far."""
    calls = fan_out.calls
    return RequestSummary(
        route=fan_out.route.name,
        version=fan_out.version,
        verdict=verdict_of(fan_out),
        elapsed_s=now - fan_out.request.arrived_at_s,
        covered=sum(call.reply is not None for call in calls),
        asked=len(calls),
        attempts=sum(call.attempts for call in calls),
        extra_attempts=sum(call.extra_attempts for call in calls),
        missing=tuple(call.service for call in calls if call.reply is None),
        left_out=tuple(call.service for call in calls if not call.attempts),
        waited_s=max(call.waited_s for call in calls),
        late=now > fan_out.late_after_s,
    )


def _single_answer(fan_out: FanOut, now: float) -> FinalAnswer | None:
    call = fan_out.calls[0]
    if call.open:
        return None
    reply = call.reply or call.fallback
    if reply is None:
        return _refusal(fan_out, now)
    return PassOn(fan_out.request.key, reply, summarize(fan_out, now))


def _gathered_answer(fan_out: FanOut, gather: Gather, now: float) -> Gathered:
    replies = [call.reply for call in fan_out.calls if call.reply is not None]
    records = greatest_records((reply.body for reply in replies), gather.greatest)
    signatures = tuple(reply.signature for reply in replies if reply.signature is not None)
    missing = len(fan_out.calls) - len(replies)
    return Gathered(fan_out.request.key, records, signatures, missing, summarize(fan_out, now))


def _refusal(fan_out: FanOut, now: float) -> Refuse:
    failures = [call.failure for call in fan_out.calls if call.failure is not None]
    verdict = verdict_of(fan_out)
    retry_after_ms = refusal.FAILED_RETRY_AFTER_MS
    if verdict is Verdict.NOT_RUN:
        retry_after_ms = _retry_after_ms(fan_out, now)
    failure = refusal.request_refused(failures, verdict, retry_after_ms)
    return Refuse(fan_out.request.key, failure, summarize(fan_out, now))


def _retry_after_ms(fan_out: FanOut, now: float) -> int:
    available_at_s = (call.available_at_s(now) for call in fan_out.calls)
    source = fan_out.context.random_source
    return refusal.retry_after_ms(available_at_s, fan_out.required, now, fan_out.deadline_at_s, source)
