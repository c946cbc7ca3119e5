"""Receipts in create-only segments, and the bill as a set of them.

A segment is named by its writer and a digest of what it holds, so writing it
again finds it there and changes nothing.  A receipt may reach the platform
twice, from the router and from the sidecar: the bill takes one for each
request, whichever order they come in.
"""

import hashlib
from collections.abc import Iterable, Iterator

import msgspec

from ragwortkeel.messages import RunReceipt

MAX_SEGMENT_RECEIPTS = 1000
"""At some 400 bytes each a segment stays under half of the platform's limit."""


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of receipts as it is kept in the platform."""

    writer: str
    receipts: tuple[RunReceipt, ...]

    @property
    def name(self) -> str:
        """The name under kind ``receipts``; equal segments have equal names."""
        digest = hashlib.sha256(encode_segment(self)).hexdigest()
        return f"{self.writer}.{digest[:24]}"


def segments(*, writer: str, receipts: Iterable[RunReceipt]) -> Iterator[Segment]:
    """Yield the receipts in segments, the same ones for the same receipts."""
    by_nonce = {receipt.nonce: receipt for receipt in receipts}
    ordered = [by_nonce[nonce] for nonce in sorted(by_nonce)]
    for start in range(0, len(ordered), MAX_SEGMENT_RECEIPTS):
        batch = tuple(ordered[start : start + MAX_SEGMENT_RECEIPTS])
        yield Segment(writer=writer, receipts=batch)


class Bill:
    """What callers owe: one receipt for each profile and request id.

    Of several runs of one request the cheapest billable one counts, so a rerun
    after a crash never costs its caller more; the rest is `absorbed`.
    """

    def __init__(self) -> None:
        self._runs: dict[str, RunReceipt] = {}

    def add(self, receipt: RunReceipt) -> None:
        """Take a receipt in; the same one again changes nothing."""
        self._runs[receipt.nonce] = receipt

    def add_segment(self, segment: Segment) -> None:
        """Take all receipts of a segment in."""
        for receipt in segment.receipts:
            self.add(receipt)

    @property
    def by_request(self) -> dict[tuple[str, str], RunReceipt]:
        """The receipt that is charged, by profile and request id."""
        charged: dict[tuple[str, str], RunReceipt] = {}
        for receipt in self._runs.values():
            if not receipt.billable:
                continue
            key = (receipt.profile, receipt.request_id)
            charged[key] = min(charged.get(key, receipt), receipt, key=_billing_order)
        return charged

    def charged(self, profile: str) -> int:
        """Return the tokens billed under a profile."""
        return sum(
            receipt.tokens
            for (name, _), receipt in self.by_request.items()
            if name == profile
        )

    def absorbed(self, profile: str) -> int:
        """Return the tokens that ran under a profile and are billed to nobody."""
        run_tokens = sum(
            receipt.tokens
            for receipt in self._runs.values()
            if receipt.profile == profile
        )
        return run_tokens - self.charged(profile)


def _billing_order(receipt: RunReceipt) -> tuple[int, str]:
    return receipt.tokens, receipt.nonce


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Segment)


def encode_segment(segment: Segment) -> bytes:
    """Return the value to keep in the platform."""
    return _encoder.encode(segment)


def decode_segment(value: bytes) -> Segment:
    """Return the segment; `msgspec.DecodeError` where it is not one."""
    return _decoder.decode(value)
