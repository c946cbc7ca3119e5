"""A sidecar's side of seals: whom it serves, and what each router ran there.

A seal is first an object in the platform (kind ``seals``, named by the router's
incarnation) and then an order to the sidecars.  A sidecar registers, then reads
the seals, and only then accepts work.  With this one order of writes either the
sealer finds the sidecar or the sidecar finds the seal.  A sidecar that starts
while the platform is down can do neither, and accepts no work until it can.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class SealReport:
    """What a sealed router ran at one sidecar, in tokens by profile.

    Attributes
    ----------
    ran : dict of str to int
        Cumulative spend of the runs that have ended.
    running : dict of str to int
        Reservations still running; the figures are final once it is empty.
    """

    ran: dict[str, int]
    running: dict[str, int]

    def final(self, profile: str) -> bool:
        """Whether nothing of this profile runs any more."""
        return profile not in self.running


@dataclass(frozen=True, kw_only=True)
class _Run:
    router: str
    profile: str
    reservation: int


class SidecarAccounts:
    """What ran at one sidecar incarnation, by router incarnation and profile."""

    def __init__(self) -> None:
        self.ready = False
        self._sealed: set[str] = set()
        self._runs_by_nonce: dict[str, _Run] = {}
        self._ran: defaultdict[str, dict[str, int]] = defaultdict(dict)

    def open(self, *, seals: Iterable[str]) -> None:
        """Accept work: the sidecar is registered and read these seals after it."""
        self._sealed.update(seals)
        self.ready = True

    def admits(self, router: str) -> bool:
        """Whether work of this router incarnation may start."""
        return self.ready and router not in self._sealed

    def start(self, *, nonce: str, router: str, profile: str, reservation: int) -> None:
        """Note a run before the upstream hears of it."""
        run = _Run(router=router, profile=profile, reservation=reservation)
        self._runs_by_nonce[nonce] = run

    def finish(self, *, nonce: str, tokens: int) -> bool:
        """Note what a run cost; a second note of the same run is a no-op."""
        run = self._runs_by_nonce.pop(nonce, None)
        if run is None:
            return False
        ran = self._ran[run.router]
        ran[run.profile] = ran.get(run.profile, 0) + tokens
        return True

    def seal(self, router: str) -> SealReport:
        """Refuse the router from now on and report; may be repeated."""
        self._sealed.add(router)
        running: dict[str, int] = {}
        for run in self._runs_by_nonce.values():
            if run.router == router:
                reserved = running.get(run.profile, 0)
                running[run.profile] = reserved + run.reservation
        return SealReport(ran=dict(self._ran.get(router, {})), running=running)
