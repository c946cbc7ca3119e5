"""Compute the bills of ``ragwortkeel bill`` from the receipts in the platform."""

import msgspec

from ragwortkeel.budget.receipt import Bill, decode_segment
from ragwortkeel.cli.objects import list_kind
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.configuration import RECEIPTS
from ragwortkeel.exceptions import CommandError
from ragwortkeel.platform import Platform


class RequestRow(msgspec.Struct, frozen=True, kw_only=True):
    """One billed request."""

    profile: str
    request_id: str
    tokens: int
    sidecar: str


class BillRow(msgspec.Struct, frozen=True, kw_only=True):
    """The tokens billed to one profile; `absorbed` tokens were used but not billed."""

    profile: str
    requests: int
    tokens: int
    absorbed: int


async def read_bill(platform: Platform) -> Bill:
    """Return the bill over all receipts stored in the platform."""
    listing = await list_kind(platform, RECEIPTS)
    bill = Bill()
    for stored in listing.by_name.values():
        try:
            bill.add_segment(decode_segment(stored.value))
        except msgspec.DecodeError as exc:
            # Skipping an unreadable receipt would make the bill too low.
            raise CommandError(
                f"cannot compute the bill: receipts {stored.name} cannot be read: {exc}"
            ) from exc
    return bill


async def bill(platform: Platform, profile: str) -> Result:
    """Return the bill of all profiles, or the billed requests of `profile`."""
    found = await read_bill(platform)
    if profile:
        rows = _request_rows(found, profile)
        cells = [[row.request_id, row.tokens, row.sidecar] for row in rows]
        return Result(
            data=rows, text=format_table(("request", "tokens", "sidecar"), cells)
        )
    rows = _bill_rows(found)
    cells = [[row.profile, row.requests, row.tokens, row.absorbed] for row in rows]
    headings = ("profile", "requests", "tokens", "absorbed")
    return Result(data=rows, text=format_table(headings, cells))


def _request_rows(found: Bill, profile: str) -> list[RequestRow]:
    return [
        RequestRow(
            profile=profile,
            request_id=request_id,
            tokens=receipt.tokens,
            sidecar=receipt.sidecar,
        )
        for (name, request_id), receipt in sorted(found.by_request.items())
        if name == profile
    ]


def _bill_rows(found: Bill) -> list[BillRow]:
    requests_by_profile: dict[str, int] = {}
    for profile, _ in found.by_request:
        requests_by_profile[profile] = requests_by_profile.get(profile, 0) + 1
    return [
        BillRow(
            profile=profile,
            requests=requests,
            tokens=found.charged(profile),
            absorbed=found.absorbed(profile),
        )
        for profile, requests in sorted(requests_by_profile.items())
    ]
