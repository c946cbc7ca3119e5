"""Durable intents: what keeps a request that must not repeat to one run.

Before such a request is dispatched, an `Intent` that names the attempt's nonce
and sidecar is created in the platform; its outcome is written there after the
run.  The decisions of a retry are pure functions here; docs/design/runs.md
gives the ways weighed.
"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ragwortkeel.exceptions import RunError
from ragwortkeel.messages import RunState

MAX_STORED_ANSWER_BYTES = 256 * 1024
"""A quarter of the platform's value limit; confirmations are far smaller."""

MAX_WRITE_ATTEMPTS = 4
"""Writes lost to other retries of one key before the caller is told to return."""

SIDECAR_UNREACHABLE = "sidecar_gone"
"""Reason of an `UNRESOLVED` outcome that the sidecar itself may still settle."""


class IntentUnreadable(RunError):
    """The platform holds bytes under an intent's name that are no intent."""


class Verdict(StrEnum):
    """What is durably known of how an intent ended."""

    ANSWERED = "answered"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNRESOLVED = "unresolved"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended.

    `ANSWERED` carries the whole answer; `RAN` says that it ran and the answer
    is lost or too large to keep; `NOT_RUN` frees the key for another attempt;
    `UNRESOLVED` waits for an operator.
    """

    verdict: Verdict
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    tokens: int = 0
    reason: str = ""


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """The one attempt that a must-not-repeat request may be running as.

    `sidecar` is an incarnation, `upstream` the name that operators know.  `epoch`
    is of that sidecar's last heartbeat before the intent was written, and goes
    with the dispatch: taken any later, a router that was paused in between would
    wake with a fresh epoch and run what a retry has taken over.
    """

    profile: str
    request_id: str
    fingerprint: str
    nonce: str
    sidecar: str
    upstream: str
    router: str
    epoch: int = 0
    outcome: Outcome | None = None


@dataclass(frozen=True, kw_only=True)
class StoredIntent:
    """An intent as read, with the platform version for conditional updates."""

    intent: Intent
    version: int


@dataclass(frozen=True, kw_only=True)
class Create:
    """Create this intent, then decide by `after_write`."""

    intent: Intent


@dataclass(frozen=True, kw_only=True)
class TakeOver:
    """Replace the intent at `version` by this one, then `after_write`."""

    intent: Intent
    version: int


@dataclass(frozen=True, kw_only=True)
class AskSidecar:
    """Send `Tombstone` for `nonce` to this incarnation, then `after_tombstone`."""

    sidecar: str
    nonce: str


@dataclass(frozen=True, kw_only=True)
class DispatchRun:
    """The intent is ours: dispatch under its nonce, once."""

    intent: Intent


@dataclass(frozen=True, kw_only=True)
class ResumeRun:
    """It runs or ran there: `Resume` the nonce from offset 0."""

    sidecar: str
    nonce: str


@dataclass(frozen=True, kw_only=True)
class ReturnOutcome:
    """Answer the caller from the outcome."""

    outcome: Outcome


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """Refuse with this status, problem outcome and reason.

    `list_for_operators` asks for the outcome `UNRESOLVED` in the intent.
    """

    status: int
    outcome: str
    reason: str
    list_for_operators: bool = False


@dataclass(frozen=True, kw_only=True)
class ReadAgain:
    """Another retry was faster, or the write's fate is open: read and decide."""


Decision = (
    Create
    | TakeOver
    | AskSidecar
    | DispatchRun
    | ResumeRun
    | ReturnOutcome
    | Refuse
    | ReadAgain
)


class WriteResult(StrEnum):
    """How a write of an intent ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    OPEN = "open"
    UNAVAILABLE = "unavailable"


def object_name(profile: str, request_id: str) -> str:
    """Return the object name; any key makes a legal name of bounded length."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return f"{profile}.{digest}"


def fingerprint_of(target: str, body: bytes) -> str:
    """Return what tells two bodies under one key apart."""
    return hashlib.sha256(target.encode() + b"\0" + body).hexdigest()


def encode(intent: Intent) -> bytes:
    """Return the stored form."""
    return msgspec.json.encode(intent)


def decode(value: bytes) -> Intent:
    """Return the intent; `IntentUnreadable` where it is none."""
    try:
        return msgspec.json.decode(value, type=Intent)
    except msgspec.DecodeError as exc:
        raise IntentUnreadable(str(exc)) from exc


def after_read(wanted: Intent, held: StoredIntent | None) -> Decision:
    """Decide from what the platform holds under the key.

    Parameters
    ----------
    wanted
        The intent of this attempt, with a nonce of its own.
    held
        What was read, or None where there is nothing.
    """
    if held is None:
        return Create(intent=wanted)
    found = held.intent
    if found.fingerprint != wanted.fingerprint:
        return Refuse(status=422, outcome="not_run", reason="key_reused")
    if found.nonce == wanted.nonce and found.outcome is None:
        # Our own write, whose answer was lost: the nonce is ours alone.
        return DispatchRun(intent=found)
    if found.outcome is not None:
        return _after_outcome(wanted, held)
    return AskSidecar(sidecar=found.sidecar, nonce=found.nonce)


def _after_outcome(wanted: Intent, held: StoredIntent) -> Decision:
    outcome = held.intent.outcome
    match outcome.verdict:
        case Verdict.ANSWERED:
            return ReturnOutcome(outcome=outcome)
        case Verdict.RAN:
            return Refuse(status=502, outcome="failed", reason="answer_lost")
        case Verdict.NOT_RUN:
            return TakeOver(intent=wanted, version=held.version)
        case Verdict.UNRESOLVED if outcome.reason == SIDECAR_UNREACHABLE:
            # It was perhaps only cut off; back in reach it knows the truth.
            return AskSidecar(sidecar=held.intent.sidecar, nonce=held.intent.nonce)
        case Verdict.UNRESOLVED:
            return Refuse(status=409, outcome="unknown", reason="awaits_operator")


def after_tombstone(
    wanted: Intent, held: StoredIntent, state: RunState | None
) -> Decision:
    """Decide from the sidecar's answer to `Tombstone`.

    Parameters
    ----------
    state
        None where that incarnation is gone or can't be reached.
    """
    found = held.intent
    match state:
        case RunState.RUNNING | RunState.FINISHED:
            return ResumeRun(sidecar=found.sidecar, nonce=found.nonce)
        case RunState.TOMBSTONED:
            # Failure: two retries hold the promise and both run.  The update
            # names the version read, so only one of them gets the intent.
            return TakeOver(intent=wanted, version=held.version)
        case RunState.FAILED:
            reason = "run_failed"
        case _:
            reason = "sidecar_gone"
    return Refuse(status=409, outcome="unknown", reason=reason, list_for_operators=True)


def after_write(
    wanted: Intent, result: WriteResult, *, first: bool, write_attempts: int
) -> Decision:
    """Decide from how the write of `wanted` ended.

    Parameters
    ----------
    first
        Whether this is certainly the first attempt under the key, as when the
        router minted the key itself.
    rounds
        Writes tried so far for this attempt.
    """
    if result is WriteResult.WRITTEN:
        return DispatchRun(intent=wanted)
    if result is WriteResult.UNAVAILABLE:
        return without_platform(first=first)
    if write_attempts >= MAX_WRITE_ATTEMPTS:
        return Refuse(status=503, outcome="unknown", reason="contended")
    return ReadAgain()


def without_platform(*, first: bool) -> Refuse:
    """Decide where the intent can be neither read nor written.

    Failure: a filing ran, its router died, and the retry meets an outage; a
    plain `not_run` would be a lie.  Only a first attempt is surely not run.
    """
    return Refuse(
        status=503,
        outcome="not_run" if first else "unknown",
        reason="platform_unavailable",
    )


def after_refusal(intent: Intent) -> Intent:
    """Return the intent to write once its sidecar has refused the dispatch.

    The refusal is the sidecar's promise never to run the nonce, and the intent
    let no other nonce run meanwhile, so `not_run` is certain.  Written down,
    it spares the retry from asking a sidecar that may be gone by then.
    """
    return msgspec.structs.replace(intent, outcome=Outcome(verdict=Verdict.NOT_RUN))


def unresolved(held: StoredIntent, reason: str) -> Intent:
    """Return the intent to write at `held.version` to list it for operators."""
    outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=reason)
    return msgspec.structs.replace(held.intent, outcome=outcome)


def may_settle(found: Intent, nonce: str) -> bool:
    """Whether the sidecar that ran `nonce` may still write its outcome."""
    if found.nonce != nonce:
        return False
    outcome = found.outcome
    return outcome is None or (
        outcome.verdict is Verdict.UNRESOLVED and outcome.reason == SIDECAR_UNREACHABLE
    )


def with_outcome(intent: Intent, outcome: Outcome) -> Intent:
    """Return the intent with how its run ended; large answers are left out."""
    if len(outcome.body) > MAX_STORED_ANSWER_BYTES:
        outcome = Outcome(verdict=Verdict.RAN, tokens=outcome.tokens)
    return msgspec.structs.replace(intent, outcome=outcome)
