"""The message that has a sidecar run a call."""

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import ServiceClass
from ragwortkeel.messages import Dispatch
from ragwortkeel.policy.facts import RequestFacts
from ragwortkeel.router.attempt import Attempt
from ragwortkeel.router.calls import Call
from ragwortkeel.router.parts import Parts

PRIORITIES = {
    ServiceClass.INTERACTIVE: 0,
    ServiceClass.MUST_NOT_REPEAT: 1,
    ServiceClass.BATCH: 2,
}
"""Engines serve smaller numbers first."""


def build_dispatch(
    *,
    call: Call,
    body: bytes,
    idempotent: bool,
    version: int,
    facts: RequestFacts,
    attempt: Attempt,
    reservation: Reservation,
    parts: Parts,
    traceparent: str,
    alone: bool,
) -> Dispatch:
    """Return the order to run `call` as `attempt` within `reservation`."""
    _, upstream_version = parts.directory.upstream(attempt.upstream)
    return Dispatch(
        request_id=call.request_id,
        nonce=attempt.nonce,
        profile=call.profile,
        profile_version=version,
        upstream_version=upstream_version,
        sidecar=attempt.sidecar,
        reservation=reservation.tokens,
        idempotent=idempotent,
        target=call.target,
        body=body,
        stream=call.stream,
        budget_seconds=max(facts.deadline - parts.clock(), 0.0),
        priority=PRIORITIES[facts.service_class],
        traceparent=traceparent,
        prefix=facts.prefix,
        alone=alone,
        promised_seconds=_promise(facts),
        fingerprint=call.fingerprint,
        replayable=body is call.body,
        epoch=parts.pool.views_by_upstream[attempt.upstream].load.epoch,
    )


def _promise(facts: RequestFacts) -> float:
    """Return the promise of the first token, which binds interactive work only."""
    if facts.service_class is not ServiceClass.INTERACTIVE:
        return 0.0
    return facts.promised_first_token_seconds
