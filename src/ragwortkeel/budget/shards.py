"""Several customers' ledgers in one object of the platform.

One conditional write renews the slices of many customers, and one read shows what is
left of all budgets.
"""

import zlib
from typing import Self

import msgspec

from ragwortkeel.budget.clocks import Stamp
from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.summary import summarized
from ragwortkeel.exceptions import LedgerUnreadable, RenewalVoid
from ragwortkeel.messages import HandedRenewals

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

    def joined(self, handed: HandedRenewals) -> Self:
        """Return the shard with what another process handed over to be written.

        Failure it guards against: a message that was held up, or whose sender gave
        up waiting and wrote by itself, is written later and undoes newer figures;
        tokens that were given back and taken by others are then spent twice.  So
        of one holder only a later stamp is taken, and only a holder that stands
        here: its grants are made and closed by writes of its own or of its
        successor, and what comes after those finds no stamp.

        Raises
        ------
        RenewalVoid
            It will never be written, by whomever.
        LedgerError, RouterSealed
            A grant does not allow it.
        """
        known = self.stamp_by_holder.get(handed.holder)
        if known is None or handed.stamp.boot <= known.boot:
            raise RenewalVoid(holder=handed.holder)
        ledgers = dict(self.ledger_by_customer)
        for customer, renewal in handed.renewal_by_customer.items():
            ledger = ledgers.get(customer)
            if ledger is None or renewal.first or renewal.router != handed.holder:
                raise RenewalVoid(holder=handed.holder)
            ledgers[customer] = _renewed_once(ledger, renewal)
        stamps = self.stamp_by_holder | {handed.holder: handed.stamp}
        return msgspec.structs.replace(
            self, ledger_by_customer=ledgers, stamp_by_holder=stamps
        )

    def summaries(self) -> dict[str, Ledger]:
        """Return all ledgers in few bytes; see `budget.summary`."""
        return {
            name: summarized(ledger) for name, ledger in self.ledger_by_customer.items()
        }


def _renewed_once(ledger: Ledger, renewal: Renewal) -> Ledger:
    """Return the ledger with a renewal that it may hold already.

    Where it does, its sender did not hear so and may have spent more since than its
    cap here: under the new stamp the cap has to cover that.
    """
    grant = ledger.grants.get(renewal.router)
    if grant is None or grant.nonce != renewal.nonce:
        return ledger.renew(renewal)
    grant = msgspec.structs.replace(grant, cap=max(grant.cap, renewal.cap))
    return msgspec.structs.replace(
        ledger, grants=ledger.grants | {renewal.router: grant}
    )


class _Packed(msgspec.Struct, frozen=True, kw_only=True):
    """A shard as the platform keeps it: JSON, compressed, in base 64."""

    packed: bytes


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Shard)
_packed_decoder = msgspec.json.Decoder(_Packed)

PACKING_LEVEL = 1
"""Of zlib.  Names of holders and fields repeat for each grant: 504 grants take 76 KB
as they are and 13 KB packed, at a millisecond.  Over a link of 5 Mbit/s that is
120 ms against 20 for each write, and as much for each refusal."""


def encode_shard(shard: Shard) -> bytes:
    """Return the value to keep in the platform."""
    packed = zlib.compress(_encoder.encode(shard), PACKING_LEVEL)
    return _encoder.encode(_Packed(packed=packed))


def decode_shard(value: bytes) -> Shard:
    """Return the shard; `LedgerUnreadable` where it is not one."""
    try:
        return _decoder.decode(zlib.decompress(_packed_decoder.decode(value).packed))
    except (msgspec.DecodeError, zlib.error) as exc:
        raise LedgerUnreadable(str(exc)) from exc
