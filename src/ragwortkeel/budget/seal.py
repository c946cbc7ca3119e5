"""Seals at a sidecar: the routers it serves and the spend of each router.

A seal is first an object in the platform (kind ``seals``, named by the router's
incarnation) and then a message to the sidecars.  A sidecar registers, then reads the
seals, and only then accepts requests.  With this order either the sealer finds the
sidecar or the sidecar finds the seal.  A sidecar that starts while the platform is
unreachable can do neither, and accepts no requests until it can.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class SealReport:
    """A sealed router's spend at one sidecar, in tokens by profile.

    Attributes
    ----------
    ran : dict of str to int
        Cumulative spend of ended runs.
    running : dict of str to int
        Reservations of runs that haven't ended; without any the spend is final.
    """

    ran: dict[str, int]
    running: dict[str, int]

    def final(self, profile: str) -> bool:
        """Return whether no run of this profile is left."""
        return profile not in self.running


@dataclass(frozen=True, kw_only=True)
class _Run:
    router: str
    profile: str
    reservation: int


class SidecarAccounts:
    """Spend at one sidecar incarnation, by router incarnation and profile."""

    def __init__(self) -> None:
        self.ready = False
        self._sealed: set[str] = set()
        self._runs_by_nonce: dict[str, _Run] = {}
        self._ran: defaultdict[str, dict[str, int]] = defaultdict(dict)

    def open(self, *, seals: Iterable[str]) -> None:
        """Accept requests; the sidecar has registered and then read these seals."""
        self._sealed.update(seals)
        self.ready = True

    def admits(self, router: str) -> bool:
        """Return whether runs of this router incarnation may start."""
        return self.ready and router not in self._sealed

    def start(self, *, nonce: str, router: str, profile: str, reservation: int) -> None:
        """Record a run before it is sent to the upstream."""
        run = _Run(router=router, profile=profile, reservation=reservation)
        self._runs_by_nonce[nonce] = run

    def finish(self, *, nonce: str, tokens: int) -> bool:
        """Record the spend of a run; return False if it ended already."""
        run = self._runs_by_nonce.pop(nonce, None)
        if run is None:
            return False
        ran = self._ran[run.router]
        ran[run.profile] = ran.get(run.profile, 0) + tokens
        return True

    def seal(self, router: str) -> SealReport:
        """Refuse the router from now on and return its spend; idempotent."""
        self._sealed.add(router)
        running: dict[str, int] = {}
        for run in self._runs_by_nonce.values():
            if run.router == router:
                reserved = running.get(run.profile, 0)
                running[run.profile] = reserved + run.reservation
        return SealReport(ran=dict(self._ran.get(router, {})), running=running)
