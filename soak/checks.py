"""The product's promises, checked on the history of a run.

A bound in time holds for processes in touch: up, and with nothing disturbed for
`CALM_SECONDS` before.  The other promises hold at all times.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from math import inf
from signal import SIGTERM

from soak.bounds import (
    CALM_SECONDS,
    IN_FORCE_SECONDS,
    MIN_TAKE_UPS,
    Violation,
    ready_engines,
)
from soak.history import STREAM_KINDS, Answer, Change, History, Kind, Request
from soak.kill_checks import streams_go_on_after_a_kill

ENDED_BY_STOP = "process_stopped"
DRAIN_SECONDS = 2.0
"""From the confirmation that an upstream leaves to the last arrival there."""

IN_TOUCH_SECONDS = 3.0
"""Time without a disturbance after which a process is bound by `DRAIN_SECONDS`."""
CRASHES_TO_KNOW = 5
MAX_LATE_ARRIVALS = 3
MIN_COMPARED = 20
"""Requests on each side from which on shares are compared."""
BEFORE_REQUEST_SECONDS = 3.0
"""Time before a request in which a disturbance excuses its cut."""
RELOAD_SECONDS = 2.0
CHANGE_SECONDS = 3.0
"""From the confirmation of a change to the last cut that counts as beside it."""
MAX_CUTS = 3
MAX_CUT_FACTOR = 3.0
USED_SHARE = 0.7
"""Share of the time of a request after which its cut beside a change is no sign."""
TIME_LIMIT_MARGIN_SECONDS = 0.05
"""A process counts a request's time from when its event loop last woke."""
LAST_SHARE_OF_STOP = 1 / 6
MAX_SENT_SECONDS = 3.0
"""A planned stop may end a request that was sent up to so long after its begin, if its
upstream is still at work in the last share of the stop."""
LOSS_GRACE_SECONDS = 0.2
"""A request that crosses the end of an idle connection fails within this time."""


Check = Callable[[History], Iterator[Violation]]


def runs_at_most_once(history: History) -> Iterator[Violation]:
    """Find requests that must not repeat and ran twice."""
    filings = {
        answer.request.request_id
        for answer in history.answers
        if answer.request.kind is Kind.FILING
    }
    counts = Counter(run.request_id for run in history.runs)
    for run in history.runs:
        if run.request_id in filings and counts.pop(run.request_id, 1) > 1:
            yield _violation("at most once", run.at, f"{run.request_id} ran again")


def refusals_are_true(history: History) -> Iterator[Violation]:
    """Find filings that were refused as not run and ran."""
    ran_at = {run.request_id: run.at for run in history.runs}
    for answer in history.answers:
        request = answer.request
        refused = request.kind is Kind.FILING and answer.outcome == "not_run"
        if refused and request.request_id in ran_at:
            yield _violation("not run", answer.ended_at, f"{answer}")


def answers_are_own(history: History) -> Iterator[Violation]:
    """Find successes that are not the caller's own whole answer."""
    for answer in history.answers:
        if answer.status == 200 and not answer.is_own:
            yield _violation("own whole answer", answer.ended_at, f"{answer}")


def streams_keep_their_version(history: History) -> Iterator[Violation]:
    """Find streams with events of two software versions, or with a gap or repeat."""
    drafts: dict[str, list[Answer]] = {}
    for answer in history.answers:
        if answer.request.kind is Kind.DRAFT:
            drafts.setdefault(answer.stream, []).append(answer)
    for stream, answers in drafts.items():
        answers.sort(key=lambda answer: answer.request.sent_at)
        versions = {version for each in answers for _, version in each.draft}
        if len(versions) > 1:
            detail = f"{stream} has events of {sorted(versions)}"
            yield _violation("one version", answers[-1].ended_at, detail)
        for answer in answers:
            ids = [event_id for event_id, _ in answer.draft]
            if ids != list(range(answer.after + 1, answer.after + len(ids) + 1)):
                detail = f"{stream}: {ids} follow {answer.after}"
                yield _violation("order of events", answer.ended_at, detail)


def streams_go_on(history: History) -> Iterator[Violation]:
    """Find that far fewer streams go on than begin, at processes in touch.

    A stream counts while two engines of its version have been ready for a while.
    """
    version_by_stream = {
        answer.stream: answer.draft[0][1] for answer in history.answers if answer.draft
    }
    begun, gone_on = [], []
    for answer in history.answers:
        if answer.request.kind is not Kind.DRAFT or not _in_touch(
            history, answer.request
        ):
            continue
        if not answer.after:
            begun.append(bool(answer.draft))
        elif _engines(history, version_by_stream[answer.stream], answer) >= 2:
            gone_on.append(bool(answer.draft))
    if len(gone_on) < MIN_TAKE_UPS or not begun:
        return
    share, share_begun = sum(gone_on) / len(gone_on), sum(begun) / len(begun)
    if share < share_begun / 2:
        detail = f"{share:.2f} of {len(gone_on)} go on, {share_begun:.2f} begin"
        yield _violation("streams go on", 0.0, detail)


def _engines(history: History, version: str, answer: Answer) -> int:
    """Return how many engines of the version were ready before and during a request."""
    since = answer.request.sent_at - IN_FORCE_SECONDS
    return ready_engines(history, version, since, answer.ended_at)


def crashing_blocks_are_refused(history: History) -> Iterator[Violation]:
    """Find blocks that reach engines long after five engines crashed under them.

    Processes that are not in touch may send what they do not know of.
    """
    for block, crashes in history.bad_crashes_by_block.items():
        if len(crashes) < CRASHES_TO_KNOW:
            continue
        known_at = sorted(crashes)[CRASHES_TO_KNOW - 1]
        late = [
            arrival
            for arrival in history.bad_arrivals
            if arrival.block == block
            and arrival.at > known_at + CALM_SECONDS
            and _in_touch(history, arrival.request)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            detail = f"{block}: {len(late)} arrivals, {len(crashes)} crashes"
            yield _violation("crashing block", late[-1].at, detail)


def sound_streams_begin(history: History) -> Iterator[Violation]:
    """Find that sound streams begin rarely while a block that crashes engines comes."""
    spans = []
    for block, crashes in history.bad_crashes_by_block.items():
        known_at = sorted(crashes)[:CRASHES_TO_KNOW][-1]
        ends_at = history.bad_until_by_block.get(block, known_at)
        spans.append((crashes[0], known_at + 2 * CALM_SECONDS, ends_at))
    inside, outside = [], []
    for answer in _counted_streams(history):
        sent_at = answer.request.sent_at
        if any(since <= sent_at <= until for _, since, until in spans):
            inside.append(answer.events > 0)
        elif not any(begins <= sent_at <= until for begins, _, until in spans):
            outside.append(answer.events > 0)
    yield from _compare("sound streams begin", inside, outside, least=0.5)


def rushes_are_served(history: History) -> Iterator[Violation]:
    """Find that requests are served rarely while one process gets most of them."""
    inside, outside = [], []
    for answer in _counted_streams(history):
        sent_at, served = answer.request.sent_at, answer.status == 200
        if any(
            r.begins_at + CALM_SECONDS <= sent_at <= r.ends_at for r in history.rushes
        ):
            inside.append(served)
        elif not any(r.begins_at <= sent_at <= r.ends_at for r in history.rushes):
            outside.append(served)
    yield from _compare("rushes are served", inside, outside, least=0.75)


def _counted_streams(history: History) -> Iterator[Answer]:
    """Return streams from processes in touch that budget and upstream allow."""
    for answer in history.answers:
        request = answer.request
        if request.kind is not Kind.CHAT or answer.status in (401, 402):
            continue
        was_cut = request.request_id in history.cut_requests
        if not was_cut and _in_touch(history, request):
            yield answer


def _compare(
    promise: str, inside: list[bool], outside: list[bool], *, least: float
) -> Iterator[Violation]:
    if min(len(inside), len(outside)) < MIN_COMPARED:
        return
    share, usual = sum(inside) / len(inside), sum(outside) / len(outside)
    if share < least * usual:
        detail = f"{share:.2f} of {len(inside)}, {usual:.2f} of {len(outside)} else"
        yield _violation(promise, 0.0, detail)


def budgets_hold(history: History) -> Iterator[Violation]:
    """Find budgets that were overspent, or whose ledger misses what was delivered."""
    ran = {run.request_id for run in history.runs}
    used: Counter[str] = Counter()
    for answer in history.answers:
        request = answer.request
        is_stream = request.kind in STREAM_KINDS
        if is_stream and request.request_id in ran:
            used[request.customer] += history.prompt_tokens
            used[request.customer] += answer.events * history.event_tokens
    for customer, prepaid in history.prepaid_by_customer.items():
        spent = history.spent_by_customer.get(customer, 0)
        if not used[customer] <= spent <= prepaid:
            detail = f"{customer}: used {used[customer]}, {spent=}, {prepaid=}"
            yield _violation("budget", 0.0, detail)


def changes_are_in_force(history: History) -> Iterator[Violation]:
    """Find answers by an older version than the bound allows."""
    for answer in history.answers:
        request = answer.request
        if not _in_touch(history, request):
            continue
        removed = _removed_before(history, answer.ended_at)
        for change in _settled_changes(history, request):
            if _contradicts(answer, change, removed):
                late = request.sent_at - change.confirmed_at
                detail = f"revision {change.revision}, {late:.2f} s before: {answer}"
                yield _violation("change in force", answer.ended_at, detail)


def changes_never_revert(history: History) -> Iterator[Violation]:
    """Find processes that served a new route and later had none."""
    served_at: dict[tuple[str, int, str], float] = {}
    removed = {name for change in history.changes for name in change.removes}
    for answer in sorted(history.answers, key=lambda answer: answer.ended_at):
        request = answer.request
        seen = (request.process, request.start, request.route)
        if answer.status == 200:
            served_at.setdefault(seen, answer.ended_at)
            continue
        served_before = served_at.get(seen, request.sent_at) < request.sent_at
        if answer.status == 404 and request.route not in removed and served_before:
            yield _violation("no way back", answer.ended_at, f"{answer}")


def valid_requests_are_not_denied(history: History) -> Iterator[Violation]:
    """Find final refusals of what each version allows, by any process."""
    for answer in history.answers:
        refused = _finally_refused(answer)
        if refused and refused not in history.changed:
            yield _violation("valid request denied", answer.ended_at, f"{answer}")


def leaving_upstreams_get_nothing(history: History) -> Iterator[Violation]:
    """Find new requests at an upstream that leaves, from processes in touch."""
    left_at = {
        change.leaves: change.confirmed_at
        for change in history.changes
        if change.leaves
    }
    request_by_id = {
        answer.request.request_id: answer.request for answer in history.answers
    }
    for run in history.runs:
        request = request_by_id.get(run.request_id)
        if request is None or run.upstream not in left_at:
            continue
        late = run.at - left_at[run.upstream]
        if late > DRAIN_SECONDS and _is_bound(history, request, run.at):
            yield _violation("leaving upstream", run.at, f"{late:.2f} s: {request}")


def planned_stops_cut_nothing(history: History) -> Iterator[Violation]:
    """Find requests that a process had read and a planned stop cut."""
    stops = [span for span in history.spans if span.cause == "stop"]
    ran = {run.request_id for run in history.runs}
    for answer in _cut_answers(history):
        request = answer.request
        crossed = answer.ended_at - request.sent_at <= LOSS_GRACE_SECONDS
        if request.request_id not in ran and crossed:
            continue
        if any(_cut_by(history, answer, stop) for stop in stops):
            yield _violation("planned stop", answer.ended_at, f"{answer}")


def ends_of_stops_are_rare(history: History) -> Iterator[Violation]:
    """Find requests that the end of a stop answered without a refusal or an answer.

    Only those may be whose upstream would have gone on beyond the end of the stop.
    """
    for answer in history.answers:
        ended = answer.status and answer.reason == ENDED_BY_STOP
        if (
            ended
            and not _is_disturbed(history, answer)
            and not _outlasts(history, answer)
        ):
            yield _violation("end of a stop", answer.ended_at, f"{answer}")


def _outlasts(history: History, answer: Answer) -> bool:
    """Return whether a stop may end a request whose upstream is still at work."""
    request = answer.request
    begun = [run.at for run in history.runs if run.request_id == request.request_id]
    run_ended_at = history.run_ended_at_by_id.get(request.request_id, 0.0)
    for stop in history.spans:
        if stop.cause != "stop" or stop.process != request.process:
            continue
        if not stop.begins_at <= answer.ended_at <= stop.ends_at:
            continue
        last_share_at = (
            stop.begins_at + (1 - LAST_SHARE_OF_STOP) * history.stop_deadline_seconds
        )
        in_time = request.sent_at <= stop.begins_at + MAX_SENT_SECONDS
        has_begun = min(begun, default=inf) < last_share_at
        at_work = has_begun and min(run_ended_at, answer.ended_at) >= last_share_at
        if in_time and at_work:
            return True
    return False


def answers_are_not_cut(history: History) -> Iterator[Violation]:
    """Find requests that were read and whose connection ended without an answer.

    A silent upstream excuses nothing.  Beside planned work each of them counts, at
    other times more than some of those that were passed on.
    """
    ran = {run.request_id for run in history.runs}
    cuts = list(_cut_answers(history))
    for answer in cuts:
        request = answer.request
        crossed = answer.ended_at - request.sent_at <= LOSS_GRACE_SECONDS
        if crossed and request.request_id not in ran:
            continue
        work = _planned_work(history, answer)
        if work and not _is_disturbed(history, answer):
            yield _violation(f"cut beside a {work}", answer.ended_at, f"{answer}")
    passed_on = [
        answer
        for answer in cuts
        if answer.request.request_id in ran
        and answer.idle_seconds is not None
        and _is_bound(history, answer.request, answer.ended_at)
    ]
    counted = list(_without_changes(history, passed_on))
    if len(counted) > MAX_CUTS:
        detail = f"{len(counted)} cuts, the last one: {counted[-1]}"
        yield _violation("answers are cut", counted[-1].ended_at, detail)


def _cut_answers(history: History) -> Iterator[Answer]:
    """Return answers that ended early, neither by the caller nor by an upstream."""
    broken = {run.request_id for run in history.runs if run.broken_by_upstream}
    broken |= history.cut_requests
    for answer in history.answers:
        if answer.status or not answer.connected or answer.left:
            continue
        request = answer.request
        used_seconds = answer.ended_at - request.sent_at
        limit_seconds = request.time_limit_seconds or history.time_limit_seconds
        least_seconds = limit_seconds - TIME_LIMIT_MARGIN_SECONDS
        if request.request_id in broken or used_seconds >= least_seconds:
            continue
        if not _outlasts(history, answer):
            yield answer


def _planned_work(history: History, answer: Answer) -> str:
    """Return the planned work that a cut was beside; empty if there was none."""
    request, ended_at = answer.request, answer.ended_at
    for span in history.spans:
        is_stop = span.cause == "stop" and span.process == request.process
        if is_stop and span.begins_at <= ended_at <= span.ends_at:
            return "stop"
    for reload in history.reloads:
        is_own = reload.process == request.process
        sent_in_time = request.sent_at <= reload.begins_at + RELOAD_SECONDS
        if is_own and sent_in_time and ended_at >= reload.begins_at:
            return "reload"
    return "change" if _is_beside_change(history, ended_at) else ""


def _is_beside_change(history: History, at: float) -> bool:
    return any(
        change.sent_at <= at <= change.confirmed_at + CHANGE_SECONDS
        for change in history.changes
        if change.revision
    )


def _is_disturbed(history: History, answer: Answer) -> bool:
    """Return whether something unplanned disturbed the process of a request."""
    since = answer.request.sent_at - BEFORE_REQUEST_SECONDS
    return any(
        span.process in ("", answer.request.process)
        and span.cause != "stop"
        and span.begins_at <= answer.ended_at
        and span.ends_at >= since
        for span in history.spans
    )


def _without_changes(history: History, cuts: list[Answer]) -> Iterator[Answer]:
    """Return cuts but those beside changes that are about as frequent at other times.

    Beside a change, cuts of requests that have used most of their time count nowhere.
    """
    beside, others = defaultdict(list), defaultdict(list)
    for answer in cuts:
        process = answer.request.process
        if not _is_beside_change(history, answer.ended_at):
            others[process].append(answer)
        elif (
            answer.ended_at - answer.request.sent_at
            < USED_SHARE * history.time_limit_seconds
        ):
            beside[process].append(answer)
    requests_beside, requests_at_others = Counter(), Counter()
    for answer in history.answers:
        if _is_bound(history, answer.request, answer.ended_at):
            is_beside = _is_beside_change(history, answer.ended_at)
            counter = requests_beside if is_beside else requests_at_others
            counter[answer.request.process] += 1
    for found in others.values():
        yield from found
    for process, found in beside.items():
        # Compared without a division, as there may be no requests at other times.
        rate = len(found) * requests_at_others[process]
        usual = len(others[process]) * requests_beside[process]
        if rate > MAX_CUT_FACTOR * usual or not others[process]:
            yield from found


def planned_stops_leave_nothing(history: History) -> Iterator[Violation]:
    """Find planned stops that did not end in time, or left something undone.

    In a disturbance slices may be left to the next start, which exit code 1 says.  A
    start that was never ready has accepted nothing, and a TERM may end it at once.
    """
    for end in history.exits:
        if history.up_since(end.process, end.start) is None and end.code == -SIGTERM:
            continue
        calm = not any(
            span.process in ("", end.process)
            and span.cause != "stop"
            and span.begins_at <= end.ended_at
            and span.ends_at >= end.stopped_at - CALM_SECONDS
            for span in history.spans
        )
        if end.code not in ((0,) if calm else (0, 1)):
            yield _violation("planned stop", end.ended_at, f"{end}")


def _cut_by(history: History, answer: Answer, stop) -> bool:
    request = answer.request
    if request.process != stop.process:
        return False
    if not stop.begins_at <= answer.ended_at <= stop.ends_at:
        return False
    others = [span for span in history.spans if span is not stop]
    begins_at = request.sent_at - CALM_SECONDS
    return not any(
        span.process in ("", request.process)
        and span.begins_at <= answer.ended_at
        and span.ends_at >= begins_at
        for span in others
    )


def _in_touch(history: History, request: Request) -> bool:
    up_since = history.up_since(request.process, request.start)
    if up_since is None or request.sent_at - up_since < CALM_SECONDS:
        return False
    return history.is_calm(
        request.process, request.sent_at - CALM_SECONDS, request.sent_at
    )


def _is_bound(history: History, request: Request, at: float) -> bool:
    """Return whether a process had been in touch when it sent a request on."""
    up_since = history.up_since(request.process, request.start)
    since = request.sent_at - IN_TOUCH_SECONDS
    if up_since is None or since < up_since:
        return False
    return history.is_calm(request.process, since, at)


def _settled_changes(history: History, request: Request) -> Iterator[Change]:
    for change in history.changes:
        if request.sent_at > change.confirmed_at + IN_FORCE_SECONDS:
            yield change


def _finally_refused(answer: Answer) -> str:
    """Return the route or key that a final refusal does not know, else nothing."""
    match answer.status:
        case 404:
            return answer.request.route
        case 401:
            return answer.request.key
        case _:
            return ""


def _removed_before(history: History, at: float) -> frozenset[str]:
    sent = [change.removes for change in history.changes if change.sent_at <= at]
    return frozenset().union(*sent)


def _contradicts(answer: Answer, change: Change, removed: frozenset[str]) -> bool:
    names = {answer.request.route, answer.request.key}
    if names & change.removes:
        return answer.status == 200
    refused = _finally_refused(answer)
    return refused in change.adds and not names & removed


def _violation(promise: str, at: float, detail: str) -> Violation:
    return Violation(promise=promise, at=at, detail=detail)


CHECKS: tuple[Check, ...] = (
    runs_at_most_once,
    refusals_are_true,
    answers_are_own,
    streams_keep_their_version,
    streams_go_on,
    streams_go_on_after_a_kill,
    crashing_blocks_are_refused,
    sound_streams_begin,
    rushes_are_served,
    budgets_hold,
    changes_are_in_force,
    changes_never_revert,
    valid_requests_are_not_denied,
    leaving_upstreams_get_nothing,
    planned_stops_cut_nothing,
    ends_of_stops_are_rare,
    answers_are_not_cut,
    planned_stops_leave_nothing,
)


def violations(history: History) -> list[Violation]:
    """Return all broken promises, and what the run itself noticed."""
    found = [_violation("run", 0.0, problem) for problem in history.problems]
    return found + [violation for check in CHECKS for violation in check(history)]
