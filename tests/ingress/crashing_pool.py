"""Engines that crash on some blocks of a prompt, and the callers of one fleet."""

from random import Random
from time import monotonic

import curio
from tests.ingress.in_process import (
    END,
    ScriptedUpstream,
    chunk,
    events,
    run_ingress,
    stream_head,
)

from ragwortkeel.exceptions import RagwortkeelError
from ragwortkeel.ingress.configuration import UPSTREAMS_KIND

RESTART_SECONDS = 2.0
STREAM_SECONDS = 0.2
"""Duration of a sound stream."""

STABLE_SECONDS = 3.0
"""Time after a change in which the users' rules allow the fleet to react."""

SOUND_BLOCKS = "common:800,{subject}:400,own{number}:50"


class CrashingPool:
    """The engines of a fleet; each crashes when it begins to answer a bad block.

    A crashed engine resets its connections, refuses new ones and starts again after
    `RESTART_SECONDS`, at the same port under a new name.

    Attributes
    ----------
    crashed_at : list of float
        Monotonic seconds of the crashes.
    bad_at : list of float
        Monotonic seconds at which requests with a bad block reached an engine.
    """

    def __init__(self, *, size=9, bad=("bad",), written_events=2):
        self.fleet = None
        self.bad = set(bad)
        self.crashed_at = []
        self.bad_at = []
        self._size = size
        self._written_events = written_events
        self._starts = 0

    def run(self, scenario, **options):
        """Run ``scenario(fleet, pool)`` in a fleet whose only engines are these."""

        async def with_pool(fleet):
            self.fleet = fleet
            return await scenario(fleet, self)

        names = [f"e{number}" for number in range(self._size)]
        scripts = dict.fromkeys(names, self.answer) | {"u1": self.answer}
        return run_ingress(with_pool, scripts=scripts, **options)

    async def answer(self, seen, sock):
        """Answer a request, or crash."""
        if self.bad.isdisjoint(_block_ids(seen)):
            return await _stream_slowly(seen, sock)
        self.bad_at.append(monotonic())
        if self._written_events:
            written = chunk(events(1, self._written_events))
            await sock.sendall(stream_head(seen) + written)
        await self.crash(seen.headers["x-for-instance"])
        return False

    async def crash(self, name):
        """Crash an engine, and start it again later."""
        server = self.fleet.upstreams.pop(name, None)
        if server is None:
            return
        self.crashed_at.append(monotonic())
        await server.crash()
        await curio.spawn(self._restart, server, daemon=True)

    async def _restart(self, crashed):
        await curio.sleep(RESTART_SECONDS)
        self._starts += 1
        server = ScriptedUpstream(
            name=f"e-again-{self._starts}", service="pool", script=self.answer
        )
        await server.start(crashed.port)
        self.fleet.upstreams[server.name] = server
        await self.fleet.register(server)
        stored = await self.fleet.platform.get(UPSTREAMS_KIND, crashed.name)
        await self.fleet.platform.delete(UPSTREAMS_KIND, crashed.name, stored.version)

    @property
    def known_at(self):
        """Monotonic second of the fifth crash; of the last one if there are fewer."""
        return self.crashed_at[:5][-1]

    def late_arrivals(self):
        """Return how many bad requests arrived `STABLE_SECONDS` after five crashes."""
        if len(self.crashed_at) < 5:
            return 0
        return sum(at > self.known_at + STABLE_SECONDS for at in self.bad_at)


def _block_ids(seen):
    blocks = seen.headers.get("x-prompt-parts", "").split(",")
    return {block.partition(":")[0] for block in blocks}


async def _stream_slowly(seen, sock):
    after = int(seen.headers.get("last-event-id", 0))
    await sock.sendall(stream_head(seen) + chunk(events(after + 1, after + 2)))
    await curio.sleep(STREAM_SECONDS)
    await sock.sendall(chunk(events(after + 3, 9)) + END)
    return True


class Load:
    """Callers that send requests at a steady rate to any process.

    Attributes
    ----------
    statuses : list of (float, int or None)
        Monotonic second of sending and status of each request; None if it broke off.
    """

    def __init__(self, *, fleet, per_second, blocks, path="/chat/1"):
        self.statuses = []
        self._fleet = fleet
        self._interval = 1.0 / per_second
        self._blocks = blocks
        self._path = path
        self._random = Random(7)
        self._number = 0

    async def run(self, seconds):
        """Send requests for a time, and wait for the answers."""
        end_at = monotonic() + seconds
        async with curio.TaskGroup() as group:
            while monotonic() < end_at:
                await group.spawn(self._send)
                await curio.sleep(self._interval)

    async def _send(self):
        self._number += 1
        number, sent_at = self._number, monotonic()
        subject = f"subject{self._random.randrange(6)}"
        blocks = self._blocks.format(subject=subject, number=number)
        process = self._random.randrange(len(self._fleet.addresses))
        try:
            response = await self._fleet.ask(
                self._path,
                process=process,
                body=f"{self._blocks} {number}".encode(),
                x_prompt_parts=blocks,
            )
            self.statuses.append((sent_at, response.status))
        except (RagwortkeelError, OSError):
            self.statuses.append((sent_at, None))

    def served_share(self, since, until=float("inf")):
        """Return the share of requests served of those sent in a time."""
        statuses = [status for at, status in self.statuses if since <= at < until]
        return statuses.count(200) / max(1, len(statuses))


async def run_loads(*loads, seconds):
    """Run several loads at the same time."""
    async with curio.TaskGroup() as group:
        for load in loads:
            await group.spawn(load.run, seconds)
