"""What a slice renewal and a receipt cost, without the platform's own time."""

from benchmarks._slopes_fit import own_cpu_seconds, report_slope
from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.budget.receipt import encode_segment, segments
from ragwortkeel.messages import RunReceipt

ROUTERS = (10, 50, 200)
SIDECARS_PER_GRANT = 16
RECEIPTS = (10, 100, 1_000)
ROUNDS = 100


def measure_budget() -> None:
    """Report the slopes of a renewal by open grants, of a flush by receipts."""
    measure_renewals()
    measure_receipts()


def measure_renewals() -> None:
    """Read, renew and write segment ledger, by the grants that it holds."""
    cpu, size = [], []
    for count in ROUTERS:
        ledger = Ledger(prepaid=10**9)
        for number in range(count):
            ledger = ledger.renew(_renewal(number, first=True))
        value = encode_ledger(ledger)
        before = own_cpu_seconds()
        for _ in range(ROUNDS):
            encode_ledger(decode_ledger(value).renew(_renewal(0, first=False)))
        used = own_cpu_seconds() - before
        cpu.append((count, used / ROUNDS * 1e6))
        size.append((count, len(value)))
    report_slope("slice_renewal_cpu", "us", "open_grant", cpu)
    report_slope("ledger_size", "bytes", "open_grant", size)


def _renewal(number: int, *, first: bool) -> Renewal:
    spent = 0 if first else 100
    names = [f"sidecar-{i:05}-0123456789ab" for i in range(SIDECARS_PER_GRANT)]
    return Renewal(
        router=f"router-{number:04}-0123456789ab",
        nonce="0123456789abcdef",
        settled=dict.fromkeys(names, spent),
        want=10_000 if first else 0,
        cap=5_000,
        demand=1_000,
        first=first,
    )


def measure_receipts() -> None:
    """Put receipts into segments and encode them, by their number."""
    cpu, size = [], []
    for count in RECEIPTS:
        receipts = [_receipt(number) for number in range(count)]
        before = own_cpu_seconds()
        for _ in range(ROUNDS):
            encoded = [
                encode_segment(segment)
                for segment in segments(writer="router-1", receipts=receipts)
            ]
        used = own_cpu_seconds() - before
        cpu.append((count, used / ROUNDS * 1e6))
        size.append((count, sum(map(len, encoded))))
    report_slope("receipt_flush_cpu", "us", "receipt", cpu)
    report_slope("receipt_size", "bytes", "receipt", size)


def _receipt(number: int) -> RunReceipt:
    return RunReceipt(
        profile="customer-17.season-dossier-review",
        request_id=f"{number:032x}",
        nonce=f"{number:032x}",
        router="router-0001-0123456789ab",
        sidecar="sidecar-00001-0123456789ab",
        tokens=400 + number,
    )
