"""Checks which tests fail when a guard of the ingress is removed.

Each guard is removed from a copy of the sources, one at a time, and the tests run
against the copy: ``python -m benchmarks.guards_left_out [RULE]``. Each line names a
guard and the tests that fail without it; a guard without such a test is untested.
"""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from shutil import copytree
from tempfile import TemporaryDirectory

ROOT = Path(__file__).parents[1]
SOURCES = ROOT / "src" / "ragwortkeel"
TESTS = ("tests/ingress", "tests/site", "tests/budget")
BUDGET_TESTS = "tests/budget/test_allowance_machine.py"
"""Takes long and checks only the rule ``prepaid``, so it runs only for that."""

RUN_SECONDS = 240
"""Without a guard a test may hang; the tests normally take 30 s."""

COPIES = 4
"""Copies tested at the same time; the tests use little CPU time."""


@dataclass(frozen=True, kw_only=True)
class Guard:
    """A text in a module under `SOURCES` that guards a rule, and its replacement."""

    rule: str
    name: str
    module: str
    text: str
    instead: str


def _guard(rule: str, name: str, module: str, text: str, instead: str) -> Guard:
    return Guard(rule=rule, name=name, module=module, text=text, instead=instead)


GUARDS = (
    _guard(
        "DRAIN",
        "leaving is final",
        "ingress/directory.py",
        "if left_started_ms is not None and upstream.started_ms <= left_started_ms:",
        "if False:",
    ),
    _guard(
        "DRAIN",
        "leaving is kept after a deletion",
        "ingress/directory.py",
        "upstream=None, left_started_ms=entry.left_started_ms)",
        "upstream=None)",
    ),
    _guard(
        "DRAIN",
        "announcements of leaving are obeyed",
        "ingress/announcements.py",
        "self._leaving.record_answer(upstream)",
        "pass",
    ),
    _guard(
        "DRAIN",
        "peers learn announcements of leaving",
        "ingress/leaving_tracker.py",
        'self._record(name, started_ms, source="peer")',
        "pass",
    ),
    _guard(
        "DRAIN",
        "watches do not wait in an outage",
        "ingress/following.py",
        "return WATCH_TIMEOUT_SECONDS if self._reachable else 0.0",
        "return WATCH_TIMEOUT_SECONDS",
    ),
    _guard(
        "PAUSE",
        "pauses are obeyed",
        "ingress/placement.py",
        "and self._pauses.may_send(_instance(upstream), now=now)",
        "and True",
    ),
    _guard(
        "PAUSE",
        "an assigned request is not sent into a pause",
        "ingress/attempt.py",
        "if self._is_paused():",
        "if False:",
    ),
    _guard(
        "PAUSE",
        "requests are refused when all upstreams pause for too long",
        "ingress/dispatch.py",
        "if self._must_wait_beyond(latest_start, job, tried_upstreams, ahead):",
        "if False:",
    ),
    _guard(
        "PAUSE",
        "a pause is only that of a 503",
        "ingress/announcements.py",
        "if head.status == UNAVAILABLE else None",
        "if True else None",
    ),
    _guard(
        "DRAIN",
        "entries only go up in version",
        "ingress/directory.py",
        "if known is not None and known.version > version:\n            return []",
        "if False:\n            return []",
    ),
    _guard(
        "DRAIN",
        "a leaving upstream gets nothing",
        "ingress/directory.py",
        "return self.upstream is not None and "
        "self.upstream.state is UpstreamState.READY",
        "return self.upstream is not None",
    ),
    _guard(
        "DRAIN",
        "a leaving entry that lapses is not kept",
        "ingress/directory.py",
        "if now < self._outage_until and known.usable:",
        "if now < self._outage_until:",
    ),
    _guard(
        "DRAIN",
        "lapsed entries end",
        "ingress/directory.py",
        "if entry.expires_at is None:\n                continue",
        "if True:\n                continue",
    ),
    _guard(
        "LOST",
        "new connections are taken until the balancer has noticed",
        "ingress/worker.py",
        "await curio.sleep(BALANCER_NOTICE_SECONDS)",
        "await curio.sleep(0)",
    ),
    _guard(
        "LOST",
        "open requests end before the process does",
        "ingress/worker.py",
        "while self._server.open_exchanges and monotonic() < deadline:",
        "while False:",
    ),
    _guard(
        "LOST",
        "idle connections are closed in a stop",
        "ingress/worker.py",
        "await self._server.close_idle()",
        "pass",
    ),
    _guard(
        "LOST",
        "a request that comes too late is refused",
        "ingress/front.py",
        "if self._is_refusing:\n            return STOPPING",
        "if False:\n            return STOPPING",
    ),
    _guard(
        "LOST",
        "a caller's idle connection outlasts the caller's patience",
        "ingress/worker.py",
        "limits.idle_seconds * IDLE_TIMEOUT_FACTOR",
        "limits.idle_seconds * 0.5",
    ),
    _guard(
        "GONE",
        "a request ends with its caller's connection",
        "ingress/worker.py",
        "cancels_disconnected=True",
        "cancels_disconnected=False",
    ),
    _guard(
        "CONFIG",
        "it never reverts",
        "ingress/worker.py",
        "if configuration.revision <= self.revision():\n            return",
        "if False:\n            return",
    ),
    _guard(
        "CONFIG",
        "it is pushed to peers",
        "ingress/worker.py",
        "await self._peers.send_configuration(self.configuration_object())",
        "pass",
    ),
    _guard(
        "CONFIG",
        "a peer that links up gets it",
        "ingress/peers.py",
        "        if configuration is None:\n            return\n        message",
        "        if True:\n            return\n        message",
    ),
    _guard(
        "CONFIG",
        "lost history leads to a new list",
        "ingress/following.py",
        "            return None\n        for change",
        "            return changes.revision\n        for change",
    ),
    _guard(
        "CONFIG",
        "the route's time ends a request",
        "ingress/front.py",
        "min(_deadline(headers.get(names.deadline)), route.timeout_seconds)",
        "_deadline(headers.get(names.deadline))",
    ),
    _guard(
        "TWICE",
        "no second run of what must not repeat",
        "ingress/exchange.py",
        "if not route.repeatable or self._runs >= route.max_attempts:",
        "if self._runs >= 3:",
    ),
    _guard(
        "TWICE",
        "no connection that may be about to close",
        "ingress/attempt.py",
        "fresh = not self._call.route.repeatable",
        "fresh = False",
    ),
    _guard(
        "TWICE",
        "a kept connection that said something is not used",
        "ingress/upstream_connection.py",
        "if not connection.expired and not stale and connection.is_quiet():",
        "if not connection.expired and not stale:",
    ),
    _guard(
        "REFUSED",
        "what may have run is not told that it has not",
        "ingress/exchange.py",
        "        if self._ran:\n            return BROKEN\n        return OVERLOADED",
        "        return OVERLOADED",
    ),
    _guard(
        "MIXED",
        "a success needs its signature",
        "ingress/attempt.py",
        "if head.status < 300 and not head.get(self._names.proof):",
        "if False:",
    ),
    _guard(
        "MIXED",
        "an encoded body is spoiled",
        "ingress/attempt.py",
        'if head.get("content-encoding"):',
        "if False:",
    ),
    _guard(
        "MIXED",
        "an answer belongs to the request whose id it echoes",
        "ingress/upstream_connection.py",
        "if echoed == request_id:",
        "if True:",
    ),
    _guard(
        "MIXED",
        "bytes left over end a connection",
        "ingress/upstream_connection.py",
        "return done and not self._conn.trailing_data[0] and self._framed",
        "return done and self._framed",
    ),
    _guard(
        "MIXED",
        "an answer without a length ends its connection",
        "ingress/upstream_connection.py",
        "return done and not self._conn.trailing_data[0] and self._framed",
        "return done and not self._conn.trailing_data[0]",
    ),
    _guard(
        "ORDER",
        "events follow each other",
        "ingress/events.py",
        "if self.last_id is not None and event_id != self.last_id + 1:",
        "if False:",
    ),
    _guard(
        "ORDER",
        "part of an event is no end",
        "ingress/attempt.py",
        "if self._caller_response.splitter.has_partial_event:",
        "if False:",
    ),
    _guard(
        "ORDER",
        "a new run forgets part of an event",
        "ingress/attempt.py",
        "        splitter.discard_partial_event()\n",
        "",
    ),
    _guard(
        "ORDER",
        "a broken stream looks broken",
        "ingress/exchange.py",
        "        await self._responder.abort()\n        return None",
        "        await self._responder.finish()\n        return None",
    ),
    _guard(
        "UNASKED",
        "callers can't set what is ours",
        "ingress/attempt.py",
        "if k not in names.dropped]",
        "if k not in HOP_BY_HOP]",
    ),
    _guard(
        "ROUTE",
        "the instance is named",
        "ingress/attempt.py",
        "fields.append((names.expect_instance, self._assignment.upstream.name))",
        "pass",
    ),
    _guard(
        "ROUTE",
        "another instance has not run it",
        "ingress/attempt.py",
        "if head.status == MISDIRECTED or head.get(self._names.not_run):",
        "if head.get(self._names.not_run):",
    ),
    _guard(
        "DENIED",
        "no configuration is no refusal for good",
        "ingress/front.py",
        "            return NO_CONFIGURATION",
        "            return NO_ROUTE",
    ),
    _guard(
        "BUDGET",
        "retries share a budget",
        "ingress/exchange.py",
        "return self._time_left() > 0 and self._components.retries.take()",
        "return self._time_left() > 0",
    ),
    _guard(
        "BUDGET",
        "no more upstreams than the route allows",
        "ingress/exchange.py",
        "if not route.repeatable or self._runs >= route.max_attempts:",
        "if not route.repeatable:",
    ),
    _guard(
        "BUDGET",
        "a request that crashed upstreams is not tried on",
        "ingress/exchange.py",
        "if self._components.crashes.is_quarantined(accepted.fingerprint):",
        "if False:",
    ),
    _guard(
        "BUDGET",
        "upstreams get the time that is left",
        "ingress/attempt.py",
        "str(max(1, int(seconds_left * 1000)))",
        "str(60_000)",
    ),
    _guard(
        "handed",
        "a message that was held up is void",
        "budget/delegation.py",
        "if last_stamp is not None and delegated.stamp.boot <= last_stamp.boot:",
        "if False:",
    ),
    _guard(
        "handed",
        "who has no stamp comes in by a start only",
        "budget/delegation.py",
        "if last_stamp is None and delegated.start is None:",
        "if False:",
    ),
    _guard(
        "handed",
        "a late start closes no living process",
        "budget/delegation.py",
        "if any(entry.holder not in start.predecessors for entry in stopped):",
        "if False:",
    ),
    _guard(
        "handed",
        "under a new stamp the cap covers what is exposed",
        "budget/delegation.py",
        "cap=max(grant.cap, renewal.cap)",
        "cap=grant.cap",
    ),
    _guard(
        "handed",
        "nobody renews in another's name",
        "budget/delegation.py",
        "if ledger is None or renewal.router != holder:",
        "if ledger is None:",
    ),
    _guard(
        "handed",
        "what a peer may still write is not taken back",
        "ingress/renewals.py",
        "if not self._ledgers.in_doubt and not self._attempts.any_open:",
        "if not self._ledgers.in_doubt:",
    ),
    _guard(
        "handed",
        "a try whose answer is lost counts",
        "budget/write_attempts.py",
        "self._open_by_boot[reading.boot] = _Attempt(\n"
        "            reading=reading, delegated=delegated\n"
        "        )",
        "self._last_success = self._last_success or reading",
    ),
    _guard(
        "handed",
        "the version of the last try never goes back",
        "ingress/ledger_store.py",
        "self._newest_version_tried = max(self._newest_version_tried, version)",
        "self._newest_version_tried = version",
    ),
    _guard(
        "prepaid",
        "a late renewal is not withdrawn",
        "ingress/ledger_store.py",
        "self.writes_superseded = version > self._newest_version_tried",
        "self.writes_superseded = True",
    ),
    _guard(
        "prepaid",
        "tokens that wait to be recalled are given back",
        "budget/account.py",
        "give_back = max(give_back, self._recalled)",
        "pass",
    ),
    _guard(
        "prepaid",
        "the clocks of more than half of the fleet",
        "ingress/fleet_time.py",
        "if answers < MIN_PEERS or 2 * (answers + 1) <= self._peer_count() + 1:",
        "if not answers:",
    ),
)


def failing_tests(guard: Guard) -> list[str]:
    """Return the tests that fail without the guard."""
    with TemporaryDirectory() as folder:
        copy = Path(folder) / "ragwortkeel"
        copytree(SOURCES, copy)
        module = copy / guard.module
        source = module.read_text()
        if source.count(guard.text) != 1:
            raise SystemExit(f"{guard.module}: found not once: {guard.text}")
        module.write_text(source.replace(guard.text, guard.instead))
        return _run_tests(folder, with_budgets=guard.rule == "prepaid")


def _run_tests(folder: str, *, with_budgets: bool) -> list[str]:
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *TESTS]
    if not with_budgets:
        command += ["--ignore", BUDGET_TESTS]
    environment = os.environ | {"PYTHONPATH": folder}
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return ["a test that never ends"]
    lines = done.stdout.splitlines()
    failed = [line.split("::")[-1] for line in lines if line.startswith("FAILED")]
    return [name.partition(" - ")[0] for name in failed]


def main() -> None:
    """Remove the guards of the named rules, or all guards, one at a time."""
    rules = set(sys.argv[1:]) or {guard.rule for guard in GUARDS}
    guards = [guard for guard in GUARDS if guard.rule in rules]
    with ThreadPoolExecutor(COPIES) as copies:
        results = copies.map(failing_tests, guards)
        for guard, failed in zip(guards, results, strict=True):
            found = ", ".join(failed) if failed else "NO TEST FAILS"
            print(f"{guard.rule:8} {guard.name}: {len(failed)}: {found}", flush=True)


if __name__ == "__main__":
    main()
