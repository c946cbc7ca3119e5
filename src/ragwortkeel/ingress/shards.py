"""Several customers' ledgers in one object of the platform.

One conditional write renews the slices of many customers, and one read shows what is
left of all budgets.
"""

from typing import Self

import msgspec

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.exceptions import LedgerUnreadable
from ragwortkeel.ingress.clocks import Stamp

SHARDS_KIND = "customer-ledgers"

USABLE_SHARE = 0.99
"""Of what is prepaid; the rest covers tokens that an upstream makes between the
last event a caller got and the close of a broken stream."""


class Shard(msgspec.Struct, frozen=True, kw_only=True):
    """Some customers' ledgers, and the configuration that set their budgets."""

    revision: int = 0
    ledger_by_customer: dict[str, Ledger] = {}
    stamp_by_holder: dict[str, Stamp] = {}

    def provisioned(self, prepaid_by_customer: dict[str, int], revision: int) -> Self:
        """Return the shard with the budgets of a configuration.

        Of an older configuration nothing is taken over: a process that lags
        would undo a top-up.
        """
        if revision <= self.revision:
            return self
        ledgers = dict(self.ledger_by_customer)
        for name, prepaid in prepaid_by_customer.items():
            ledger = ledgers.get(name, Ledger())
            usable = int(prepaid * USABLE_SHARE)
            ledgers[name] = msgspec.structs.replace(ledger, prepaid=usable)
        return msgspec.structs.replace(
            self, revision=revision, ledger_by_customer=ledgers
        )


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Shard)


def encode_shard(shard: Shard) -> bytes:
    """Return the value to keep in the platform."""
    return _encoder.encode(shard)


def decode_shard(value: bytes) -> Shard:
    """Return the shard; `LedgerUnreadable` where it is not one."""
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as exc:
        raise LedgerUnreadable(str(exc)) from exc
