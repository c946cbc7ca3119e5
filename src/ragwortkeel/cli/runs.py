"""Runs that must not repeat and of which nobody knows whether they ran."""

import msgspec

from ragwortkeel.cli.objects import Objects, list_kind, unavailable
from ragwortkeel.cli.output import Result, table
from ragwortkeel.configuration import INTENTS, NODES
from ragwortkeel.exceptions import CommandError, PlatformUnavailable, RunError
from ragwortkeel.platform import Platform
from ragwortkeel.runs.intent import Intent, Outcome, Verdict, decode, object_name

BY_OPERATOR = "operator"

_VERDICT_BY_WORD = {"ran": Verdict.RAN, "not-run": Verdict.NOT_RUN}


class UnresolvedRow(msgspec.Struct, frozen=True, kw_only=True):
    """A run that must not repeat, of which nobody knows whether it ran."""

    profile: str
    request_id: str
    upstream: str
    sidecar: str
    nonce: str
    reason: str


async def unresolved(platform: Platform) -> Result:
    """Return the runs that wait for an operator's word."""
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
    """Write down an operator's word on an unresolved run.

    Parameters
    ----------
    word : str
        ``ran``, or ``not-run``, which frees the key for another attempt.
    """
    verdict = _VERDICT_BY_WORD.get(word)
    if verdict is None:
        raise CommandError(f"found {word}; allowed: ran or not-run")
    objects = Objects(platform=platform, kind=INTENTS, cls=Intent, noun="request")
    name = object_name(profile, request_id)
    held = await objects.find(name)
    if held is None or not _is_unresolved(held.value):
        raise CommandError(
            f"request {request_id} of {profile} is not unresolved; see "
            "`ragwortkeel unresolved`"
        )
    if verdict is Verdict.NOT_RUN:
        await _check_sidecar_gone(platform, held.value.sidecar)
    outcome = Outcome(verdict=verdict, reason=BY_OPERATOR)
    await objects.change(
        name,
        lambda intent: msgspec.structs.replace(intent, outcome=outcome),
        version=held.version,
    )
    row = msgspec.structs.replace(_unresolved_row(held.value), reason=word)
    return Result(data=row, text=f"request {request_id} of {profile}: {word}")


async def _check_sidecar_gone(platform: Platform, sidecar: str) -> None:
    # A sidecar that was only cut off may have run it, or hold it still; freeing
    # the key would let it run twice.  Its registration is the last to go.
    try:
        registered = await platform.get(NODES, sidecar)
    except PlatformUnavailable as exc:
        raise unavailable(exc) from exc
    if registered is not None:
        raise CommandError(
            f"sidecar {sidecar} is still registered and may have run it; stop it "
            "first, or let the caller's retry ask it"
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
    return table(("profile", "request", "upstream", "sidecar", "reason"), cells)
