"""The `Dispatch` message, which makes a sidecar run a call."""

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import ServiceClass
from ragwortkeel.messages import Dispatch
from ragwortkeel.policy.facts import RequestFacts
from ragwortkeel.router.attempt import Attempt
from ragwortkeel.router.calls import Call
from ragwortkeel.router.components import Components

PRIORITY_BY_SERVICE_CLASS = {
    ServiceClass.INTERACTIVE: 0,
    ServiceClass.MUST_NOT_REPEAT: 1,
    ServiceClass.BATCH: 2,
}
"""Priorities that are sent to the engines, which serve lower numbers first."""


def build_dispatch(
    *,
    call: Call,
    body: bytes,
    idempotent: bool,
    version: int,
    facts: RequestFacts,
    attempt: Attempt,
    reservation: Reservation,
    components: Components,
    traceparent: str,
    alone: bool,
) -> Dispatch:
    """Return the message that runs `call` as `attempt` within `reservation`."""
    _, upstream_version = components.directory.upstream(attempt.upstream)
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
        budget_seconds=max(facts.deadline - components.clock(), 0.0),
        priority=PRIORITY_BY_SERVICE_CLASS[facts.service_class],
        traceparent=traceparent,
        prefix=facts.prefix,
        alone=alone,
        promised_seconds=_promised_seconds(facts),
        fingerprint=call.fingerprint,
        replayable=body is call.body,
        epoch=components.pool.views_by_upstream[attempt.upstream].load.epoch,
    )


def _promised_seconds(facts: RequestFacts) -> float:
    """Return the promised seconds to the first token; 0.0 unless interactive."""
    if facts.service_class is not ServiceClass.INTERACTIVE:
        return 0.0
    return facts.promised_first_token_seconds
