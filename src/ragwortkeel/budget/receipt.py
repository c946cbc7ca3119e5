"""Receipts in create-only segments, and the bill that is computed from them.

A segment is named by its writer and a digest of its content, so a repeated write finds
it and changes nothing.  A receipt may be stored twice, by the router and by the
sidecar; the bill charges one for each request, in whatever order they are added.
"""

import hashlib
from collections.abc import Iterable, Iterator

import msgspec

from ragwortkeel.messages import RunReceipt

MAX_SEGMENT_RECEIPTS = 1000
"""Receipts in one segment.

At about 400 bytes each, a segment is below half of the platform's size limit.
"""


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of receipts as the platform stores it."""

    writer: str
    receipts: tuple[RunReceipt, ...]

    @property
    def name(self) -> str:
        """Object name under kind ``receipts``; equal segments have equal names."""
        digest = hashlib.sha256(encode_segment(self)).hexdigest()
        return f"{self.writer}.{digest[:24]}"


def segments(*, writer: str, receipts: Iterable[RunReceipt]) -> Iterator[Segment]:
    """Yield the receipts in segments; equal receipts give equal segments."""
    by_nonce = {receipt.nonce: receipt for receipt in receipts}
    ordered = [by_nonce[nonce] for nonce in sorted(by_nonce)]
    for start in range(0, len(ordered), MAX_SEGMENT_RECEIPTS):
        batch = tuple(ordered[start : start + MAX_SEGMENT_RECEIPTS])
        yield Segment(writer=writer, receipts=batch)


class Bill:
    """The tokens that callers pay: one receipt for each profile and request id.

    Of several runs of one request the cheapest billable one is charged, so a rerun
    after a crash never costs the caller more.  The other runs are `absorbed`.
    """

    def __init__(self) -> None:
        self._runs: dict[str, RunReceipt] = {}

    def add(self, receipt: RunReceipt) -> None:
        """Add a receipt; the same one again changes nothing."""
        self._runs[receipt.nonce] = receipt

    def add_segment(self, segment: Segment) -> None:
        """Add all receipts of a segment."""
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
        """Return the tokens that a profile is billed."""
        return sum(
            receipt.tokens
            for (name, _), receipt in self.by_request.items()
            if name == profile
        )

    def absorbed(self, profile: str) -> int:
        """Return the tokens that a profile's runs spent and that are not billed."""
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
    """Return the segment as the platform stores it."""
    return _encoder.encode(segment)


def decode_segment(value: bytes) -> Segment:
    """Return the segment that the platform stores as this value.

    Raises
    ------
    msgspec.DecodeError
        The value is no segment.
    """
    return _decoder.decode(value)
