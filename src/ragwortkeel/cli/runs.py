"""List and resolve runs that must not repeat and whose outcome is unknown."""

import msgspec

from ragwortkeel.cli.objects import Objects, list_kind, unavailable_error
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.configuration import INTENTS, NODES
from ragwortkeel.exceptions import CommandError, PlatformUnavailable, RunError
from ragwortkeel.platform import Platform
from ragwortkeel.runs.intent import Intent, Outcome, Verdict, decode, object_name

BY_OPERATOR = "operator"

_VERDICT_BY_ANSWER = {"ran": Verdict.RAN, "not-run": Verdict.NOT_RUN}


class UnresolvedRow(msgspec.Struct, frozen=True, kw_only=True):
    """A run that must not repeat and whose outcome is unknown."""

    profile: str
    request_id: str
    upstream: str
    sidecar: str
    nonce: str
    reason: str


async def unresolved(platform: Platform) -> Result:
    """Return the runs that an operator has to resolve."""
    listing = await list_kind(platform, INTENTS)
    rows = []
    for name in sorted(listing.by_name):
        try:
            intent = decode(listing.by_name[name].value)
        except RunError as exc:
            raise CommandError(f"intent {name} cannot be read: {exc}") from exc
        if _is_unresolved(intent):
            rows.append(_unresolved_row(intent))
    return Result(data=rows, text=_unresolved_text(rows))


async def resolve(
    platform: Platform, profile: str, request_id: str, word: str
) -> Result:
    """Record an operator's verdict on an unresolved run.

    Parameters
    ----------
    word : str
        ``ran``, or ``not-run``, which frees the key for another attempt.
    """
    verdict = _VERDICT_BY_ANSWER.get(word)
    if verdict is None:
        raise CommandError(f"cannot resolve a run as {word}; allowed: ran or not-run")
    objects = Objects(platform=platform, kind=INTENTS, cls=Intent, noun="request")
    name = object_name(profile, request_id)
    current = await objects.find(name)
    if current is None or not _is_unresolved(current.value):
        raise CommandError(
            f"request {request_id} of {profile} is not unresolved; see "
            "`ragwortkeel unresolved`"
        )
    if verdict is Verdict.NOT_RUN:
        await _check_sidecar_deregistered(platform, current.value.sidecar)
    outcome = Outcome(verdict=verdict, reason=BY_OPERATOR)
    await objects.change(
        name,
        lambda intent: msgspec.structs.replace(intent, outcome=outcome),
        version=current.version,
    )
    row = msgspec.structs.replace(_unresolved_row(current.value), reason=word)
    return Result(data=row, text=f"request {request_id} of {profile}: {word}")


async def _check_sidecar_deregistered(platform: Platform, sidecar: str) -> None:
    # A disconnected sidecar may have run the request, or still do so; releasing the
    # key would allow a second run.  A sidecar deregisters last when it stops.
    try:
        registered = await platform.get(NODES, sidecar)
    except PlatformUnavailable as exc:
        raise unavailable_error(exc) from exc
    if registered is not None:
        raise CommandError(
            f"sidecar {sidecar} is still registered and may have run the request; "
            "stop the sidecar first, or let the caller's retry query it"
        )


def _is_unresolved(intent: Intent) -> bool:
    outcome = intent.outcome
    return outcome is not None and outcome.verdict is Verdict.UNRESOLVED


def _unresolved_row(intent: Intent) -> UnresolvedRow:
    return UnresolvedRow(
        profile=intent.profile,
        request_id=intent.request_id,
        upstream=intent.upstream,
        sidecar=intent.sidecar,
        nonce=intent.nonce,
        reason=intent.outcome.reason,
    )


def _unresolved_text(rows: list[UnresolvedRow]) -> str:
    if not rows:
        return "nothing unresolved"
    cells = [[r.profile, r.request_id, r.upstream, r.sidecar, r.reason] for r in rows]
    return format_table(("profile", "request", "upstream", "sidecar", "reason"), cells)
