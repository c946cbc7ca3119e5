"""Durable intents, which restrict a request that must not repeat to one run.

Before such a request is dispatched, an `Intent` that names the attempt's nonce and
sidecar is created in the platform; after the run the outcome is written to it.  The
decisions of a retry are pure functions in this module; docs/design/runs.md describes
the alternatives.
"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ragwortkeel.exceptions import RunError
from ragwortkeel.messages import RunState

MAX_STORED_ANSWER_BYTES = 256 * 1024
"""Maximum size of an answer stored in an intent, a quarter of the platform's value
limit; confirmations are far smaller."""

MAX_WRITE_ATTEMPTS = 4
"""Writes that fail because of other retries of one key before the caller is refused."""

SIDECAR_UNREACHABLE = "sidecar_gone"
"""Reason of an `UNRESOLVED` outcome that the sidecar itself may still settle."""


class IntentUnreadable(RunError):
    """The platform has bytes under an intent's name that are not an intent."""


class Verdict(StrEnum):
    """Durable knowledge of how an intent ended."""

    ANSWERED = "answered"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNRESOLVED = "unresolved"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt.

    `ANSWERED` includes the complete answer; `RAN` means that the request ran and the
    answer is lost or too large to store; `NOT_RUN` releases the key for another
    attempt; `UNRESOLVED` requires an operator.
    """

    verdict: Verdict
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    tokens: int = 0
    reason: str = ""


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """The one attempt as which a must-not-repeat request may be running.

    `sidecar` is an incarnation, `upstream` the name that operators know.  `epoch` is
    from that sidecar's last heartbeat before the intent was written, and is sent with
    the dispatch.  With a later epoch, a router that was paused in between would
    continue with a current epoch and run a request that a retry has taken over.
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
    """Create this intent, then continue with `after_write`."""

    intent: Intent


@dataclass(frozen=True, kw_only=True)
class TakeOver:
    """Replace the intent at `version` by this one, then continue with `after_write`."""

    intent: Intent
    version: int


@dataclass(frozen=True, kw_only=True)
class AskSidecar:
    """Send `Tombstone` for `nonce` to this incarnation, then use `after_tombstone`."""

    sidecar: str
    nonce: str


@dataclass(frozen=True, kw_only=True)
class DispatchRun:
    """Dispatch under the nonce of this attempt's intent, once."""

    intent: Intent


@dataclass(frozen=True, kw_only=True)
class ResumeRun:
    """Resume the nonce, which runs or ran at this sidecar, from offset 0."""

    sidecar: str
    nonce: str


@dataclass(frozen=True, kw_only=True)
class ReturnOutcome:
    """Answer the caller from the stored outcome."""

    outcome: Outcome


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """Refuse with this status, problem outcome and reason.

    `list_for_operators` requests the outcome `UNRESOLVED` in the intent.
    """

    status: int
    outcome: str
    reason: str
    list_for_operators: bool = False


@dataclass(frozen=True, kw_only=True)
class ReadAgain:
    """Read and decide again after a lost race or an unknown write result."""


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
    """Result of writing an intent."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    OPEN = "open"
    UNAVAILABLE = "unavailable"


def object_name(profile: str, request_id: str) -> str:
    """Return the object name of an intent; legal and of bounded length for any key."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return f"{profile}.{digest}"


def fingerprint_of(target: str, body: bytes) -> str:
    """Return the fingerprint that distinguishes two bodies under one key."""
    return hashlib.sha256(target.encode() + b"\0" + body).hexdigest()


def encode(intent: Intent) -> bytes:
    """Return the stored form of an intent."""
    return msgspec.json.encode(intent)


def decode(value: bytes) -> Intent:
    """Return the intent of a stored form.

    Raises
    ------
    IntentUnreadable
        The value is not an intent.
    """
    try:
        return msgspec.json.decode(value, type=Intent)
    except msgspec.DecodeError as exc:
        raise IntentUnreadable(str(exc)) from exc


def after_read(wanted: Intent, stored: StoredIntent | None) -> Decision:
    """Decide from the intent that the platform has under the key.

    Parameters
    ----------
    wanted : Intent
        The intent of this attempt, with its own nonce.
    stored : StoredIntent or None
        The intent that was read; None if there is none.
    """
    if stored is None:
        return Create(intent=wanted)
    found = stored.intent
    if found.fingerprint != wanted.fingerprint:
        return Refuse(status=422, outcome="not_run", reason="key_reused")
    if found.nonce == wanted.nonce and found.outcome is None:
        # This attempt's own write, whose response was lost: the nonce is unique.
        return DispatchRun(intent=found)
    if found.outcome is not None:
        return _after_outcome(wanted, stored)
    return AskSidecar(sidecar=found.sidecar, nonce=found.nonce)


def _after_outcome(wanted: Intent, stored: StoredIntent) -> Decision:
    outcome = stored.intent.outcome
    match outcome.verdict:
        case Verdict.ANSWERED:
            return ReturnOutcome(outcome=outcome)
        case Verdict.RAN:
            return Refuse(status=502, outcome="failed", reason="answer_lost")
        case Verdict.NOT_RUN:
            return TakeOver(intent=wanted, version=stored.version)
        case Verdict.UNRESOLVED if outcome.reason == SIDECAR_UNREACHABLE:
            # The sidecar may only have been unreachable and may know the outcome.
            return AskSidecar(sidecar=stored.intent.sidecar, nonce=stored.intent.nonce)
        case Verdict.UNRESOLVED:
            return Refuse(status=409, outcome="unknown", reason="awaits_operator")


def after_tombstone(
    wanted: Intent, stored: StoredIntent, state: RunState | None
) -> Decision:
    """Decide from the sidecar's answer to `Tombstone`.

    Parameters
    ----------
    wanted : Intent
        The intent of this attempt, with its own nonce.
    stored : StoredIntent
        The intent that names the sidecar.
    state : RunState or None
        None if that incarnation has stopped or is unreachable.
    """
    found = stored.intent
    match state:
        case RunState.RUNNING | RunState.FINISHED:
            return ResumeRun(sidecar=found.sidecar, nonce=found.nonce)
        case RunState.TOMBSTONED:
            # Failure: two retries receive the promise and both run.  The update is
            # conditional on the version read, so only one of them succeeds.
            return TakeOver(intent=wanted, version=stored.version)
        case RunState.FAILED:
            reason = "run_failed"
        case _:
            reason = "sidecar_gone"
    return Refuse(status=409, outcome="unknown", reason=reason, list_for_operators=True)


def after_write(
    wanted: Intent, result: WriteResult, *, first: bool, write_attempts: int
) -> Decision:
    """Decide from the result of writing `wanted`.

    Parameters
    ----------
    wanted : Intent
        The intent that was written.
    result : WriteResult
        The result of the write.
    first : bool
        Whether this is certainly the first attempt under the key, for example
        because the router generated the key itself.
    write_attempts : int
        Number of writes of this attempt so far.
    """
    if result is WriteResult.WRITTEN:
        return DispatchRun(intent=wanted)
    if result is WriteResult.UNAVAILABLE:
        return without_platform(first=first)
    if write_attempts >= MAX_WRITE_ATTEMPTS:
        return Refuse(status=503, outcome="unknown", reason="contended")
    return ReadAgain()


def without_platform(*, first: bool) -> Refuse:
    """Decide while the intent can be neither read nor written.

    Failure: a request ran, its router crashed, and the retry coincides with an outage;
    an unconditional `not_run` would be wrong.  Only a first attempt has certainly not
    run.
    """
    return Refuse(
        status=503,
        outcome="not_run" if first else "unknown",
        reason="platform_unavailable",
    )


def after_refusal(intent: Intent) -> Intent:
    """Return the intent to write after its sidecar refused the dispatch.

    The refusal is the sidecar's promise never to run the nonce, and the intent allowed
    no other nonce to run meanwhile, so `not_run` is certain.  Stored, it saves the
    retry from asking a sidecar that may have stopped by then.
    """
    return msgspec.structs.replace(intent, outcome=Outcome(verdict=Verdict.NOT_RUN))


def unresolved(stored: StoredIntent, reason: str) -> Intent:
    """Return the intent to write at `stored.version` to list it for operators."""
    outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=reason)
    return msgspec.structs.replace(stored.intent, outcome=outcome)


def may_settle(found: Intent, nonce: str) -> bool:
    """Return whether the sidecar that ran `nonce` may still write its outcome."""
    if found.nonce != nonce:
        return False
    outcome = found.outcome
    return outcome is None or (
        outcome.verdict is Verdict.UNRESOLVED and outcome.reason == SIDECAR_UNREACHABLE
    )


def with_outcome(intent: Intent, outcome: Outcome) -> Intent:
    """Return the intent with the outcome of its run; large answers are left out."""
    if len(outcome.body) > MAX_STORED_ANSWER_BYTES:
        outcome = Outcome(verdict=Verdict.RAN, tokens=outcome.tokens)
    return msgspec.structs.replace(intent, outcome=outcome)
