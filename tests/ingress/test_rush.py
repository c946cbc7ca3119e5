"""A balancer that hands most new connections to one process."""

from dataclasses import dataclass, field
from random import Random
from time import monotonic

import curio
from tests.ingress.in_process import plain, run_ingress

from ragwortkeel.exceptions import RagwortkeelError
from ragwortkeel.settings import InstanceCapacity

LINK_BYTES_PER_SECOND = 120_000.0
ANSWER_BYTES = 4_000
REQUESTS_PER_SECOND = 50
"""They take 0.6 of each link if the processes share them, and 1.8 of one."""

CALM_SECONDS = 3.0
RUSH_SECONDS = 8.0
STABLE_SECONDS = 3.0
MIN_SERVED_RATIO = 0.75
"""The users' rule: how often requests are served at the first attempt that a process
has read, compared with the time before."""


WORK_SECONDS = 0.5


async def answer_large(seen, sock):
    await curio.sleep(WORK_SECONDS)
    await sock.sendall(plain(seen, body=b"x" * ANSWER_BYTES))
    return True


@dataclass(kw_only=True)
class Callers:
    """Callers that open a connection for each request.

    Attributes
    ----------
    hot : int or None
        Process that gets nearly all first connections.
    statuses : list of (float, int)
        Monotonic second, and status of the first attempt that was read.
    """

    fleet: object
    hot: int | None = None
    statuses: list = field(default_factory=list)
    random: Random = field(default_factory=lambda: Random(46))

    async def run(self, seconds):
        end_at = monotonic() + seconds
        async with curio.TaskGroup() as group:
            while monotonic() < end_at:
                await group.spawn(self._send)
                await curio.sleep(1.0 / REQUESTS_PER_SECOND)

    async def _send(self):
        sent_at = monotonic()
        first = self._first_process()
        others = [i for i in range(len(self.fleet.addresses)) if i != first]
        for process in (first, self.random.choice(others)):
            try:
                response = await self.fleet.ask("/lookup/1", process=process)
            except (RagwortkeelError, OSError):
                continue
            self.statuses.append((sent_at, response.status))
            return
        self.statuses.append((sent_at, 0))

    def _first_process(self):
        if self.hot is None or self.random.random() < 0.05:
            return self.random.randrange(len(self.fleet.addresses))
        return self.hot

    def served_share(self, since, until=float("inf")):
        statuses = [status for at, status in self.statuses if since <= at < until]
        return statuses.count(200) / len(statuses)


def test_a_rush_to_one_process_is_served_by_all():
    """Guards against a process that reads and refuses what its peers could serve."""

    async def scenario(fleet):
        callers = Callers(fleet=fleet)
        await callers.run(CALM_SECONDS)
        rush_at = monotonic()
        callers.hot = 0
        await callers.run(RUSH_SECONDS)
        before = callers.served_share(0.0, rush_at)
        return before, callers.served_share(rush_at + STABLE_SECONDS)

    capacity = InstanceCapacity(
        link_bytes_per_second=LINK_BYTES_PER_SECOND, memory_bytes=500_000_000
    )
    scripts = dict.fromkeys(("u1", "u2", "u3"), answer_large)
    before, during = run_ingress(
        scenario, scripts=scripts, processes=3, capacity=capacity
    )
    assert before > 0.95
    assert during >= MIN_SERVED_RATIO * before
