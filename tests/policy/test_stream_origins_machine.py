"""A fleet that begins streams and takes them up, while processes and links fail.

Guards against a stream that goes on at another version than the one that began it, by
whatever a process knows, hears or infers.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ragwortkeel.policy.stream_origins import (
    HOLDER_COUNT,
    Origin,
    OriginTable,
    VersionHistory,
    nearest_peers,
    sole_version,
)

PROCESSES = 4
KEEP_SECONDS = 60.0
SERVICE = "chat"
VERSIONS = st.sampled_from(["v1", "v2", "v3"])
NUMBERS = st.integers(0, PROCESSES - 1)


class Process:
    """What one process knows; it follows the upstreams unless it is cut off."""

    def __init__(self, *, name, is_first_start):
        self.name = name
        self.table = OriginTable()
        self.history = VersionHistory(is_complete=is_first_start)
        self.versions = frozenset()
        self.is_cut_off = False

    def follow(self, versions, now):
        if not self.is_cut_off:
            self.versions = versions
            self.history.update({(SERVICE, v) for v in versions}, now=now)

    def seen(self, now):
        return self.history.seen(
            SERVICE, seconds=KEEP_SECONDS, now=now, is_current=not self.is_cut_off
        )


class StreamFleet(RuleBasedStateMachine):
    """Processes on two sides of a partition, and streams of three versions."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.versions = frozenset()
        self.version_by_key = {}
        self.continued = []
        self.cut_off_side = frozenset()

    @initialize(version=VERSIONS)
    def start(self, version):
        self.processes = [
            Process(name=f"p{number}", is_first_start=True)
            for number in range(PROCESSES)
        ]
        self.serve({version})

    def serve(self, versions):
        self.versions = frozenset(versions)
        for process in self.processes:
            process.follow(self.versions, self.now)

    def reachable(self, process):
        """Return the peers on the same side of the partition."""
        side = process.name in self.cut_off_side
        return {
            peer.name: peer
            for peer in self.processes
            if peer is not process and (peer.name in self.cut_off_side) == side
        }

    @rule(versions=st.sets(VERSIONS, min_size=1, max_size=2))
    def release(self, versions):
        self.serve(versions)

    @rule(seconds=st.sampled_from([1.0, 20.0, 61.0]))
    def wait(self, seconds):
        self.now += seconds
        if seconds > KEEP_SECONDS:
            # Callers wait for no stream that long.
            self.version_by_key.clear()

    @rule(numbers=st.sampled_from([{0}, {1}, {0, 1, 2, 3}]))
    def restart(self, numbers):
        for number in numbers:
            name = f"p{number}"
            process = self.processes[number] = Process(name=name, is_first_start=False)
            process.is_cut_off = name in self.cut_off_side
            process.follow(self.versions, self.now)

    @rule(numbers=st.sets(NUMBERS, max_size=PROCESSES - 1))
    def partition(self, numbers):
        """Cut some processes off from the platform and from the others."""
        self.cut_off_side = frozenset(f"p{number}" for number in numbers)
        for process in self.processes:
            process.is_cut_off = process.name in self.cut_off_side
            process.follow(self.versions, self.now)

    @rule(
        number=NUMBERS,
        choice=st.integers(0, 2),
        fate=st.sampled_from(["told", "not told", "ended"]),
    )
    def begin(self, number, choice, fate):
        """Begin a stream; its process tells peers, or fails to, or ends before that."""
        process = self.processes[number]
        versions = sorted(process.versions & self.versions)
        if not versions:
            return
        key = len(self.version_by_key) + int(self.now) * 1000
        version = versions[choice % len(versions)]
        origin = Origin(service=SERVICE, version=version)
        self.version_by_key[key] = version
        process.table.record(key, origin, now=self.now)
        peers = self.reachable(process) if fate == "told" else {}
        for name in nearest_peers(key, peers, count=HOLDER_COUNT):
            peers[name].table.record(key, origin, now=self.now)
        if fate == "ended":
            self.restart({number})

    @precondition(lambda self: self.version_by_key)
    @rule(number=NUMBERS, silent=st.sets(NUMBERS, max_size=1))
    def take_up(self, number, silent):
        """Take the last stream up at a process, one of whose peers may be silent."""
        key = max(self.version_by_key)
        process = self.processes[number]
        answering = [
            peer
            for name, peer in self.reachable(process).items()
            if name not in {f"p{one}" for one in silent}
        ]
        known = [one.table.get(key) for one in (process, *answering)]
        origins = [one.origin for one in known if one is not None]
        if origins:
            version = origins[0].version
        elif answering:
            version = sole_version(
                [one.seen(self.now) for one in (process, *answering)],
                seconds=KEEP_SECONDS,
                is_whole_fleet=len(answering) == PROCESSES - 1,
            )
        else:
            version = None
        if version is not None:
            self.continued.append((self.version_by_key[key], version))

    @invariant()
    def streams_go_on_at_their_version(self):
        assert all(begun == gone_on for begun, gone_on in self.continued)


StreamFleet.TestCase.settings = settings(max_examples=200, stateful_step_count=30)
TestStreamFleet = StreamFleet.TestCase
