"""The check of streams that a kill of all ingress processes broke off."""

from collections.abc import Iterator

from soak.bounds import (
    CALM_SECONDS,
    IN_FORCE_SECONDS,
    MIN_TAKE_UPS,
    Violation,
    ready_engines,
)
from soak.history import Answer, History, Kind, Span

TAKE_UP_SECONDS = 8.0
MIN_EVENTS = 2
"""Events after which others certainly know the origin of a stream."""


def streams_go_on_after_a_kill(history: History) -> Iterator[Violation]:
    """Find that far fewer streams go on than begin after a kill of all processes.

    It binds processes that have just started.  A stream counts while two engines of its
    version have been ready since before the kill, and at most one relay has stopped.
    """
    begun: list[bool] = []
    gone_on: list[bool] = []
    for kill in history.kills_of_all:
        version_by_stream = _streams_cut_by(history, kill)
        taken_up: dict[str, bool] = {}
        for answer in _drafts_after(history, kill):
            has_events = bool(answer.draft)
            if not answer.after:
                begun.append(has_events)
            version = version_by_stream.get(answer.stream)
            since = kill.begins_at - IN_FORCE_SECONDS
            until = answer.ended_at
            if version and ready_engines(history, version, since, until) >= 2:
                known = taken_up.get(answer.stream, False)
                taken_up[answer.stream] = known or has_events
        gone_on += taken_up.values()
    if len(gone_on) < MIN_TAKE_UPS or not begun:
        return
    share, share_begun = sum(gone_on) / len(gone_on), sum(begun) / len(begun)
    if share < share_begun / 2:
        detail = f"{share:.2f} of {len(gone_on)} go on, {share_begun:.2f} begin"
        yield Violation(promise="streams go on after a kill", at=0.0, detail=detail)


def _drafts_after(history: History, kill: Span) -> Iterator[Answer]:
    """Return the answers to streams after a kill of all, up to a disturbance.

    Those of processes that the kill was about to end don't count.
    """
    for answer in history.answers:
        request = answer.request
        up_since = history.up_since(request.process, request.start)
        if up_since is None or up_since < kill.begins_at:
            continue
        in_time = request.sent_at <= kill.ends_at + TAKE_UP_SECONDS
        is_counted = request.kind is Kind.DRAFT and answer.connected and in_time
        if is_counted and not _is_kill_disturbed(history, kill, answer.ended_at):
            yield answer


def _is_kill_disturbed(history: History, kill: Span, until: float) -> bool:
    """Return whether more than the kill and planned stops disturbed processes then.

    Of the relays only one may have stopped.
    """
    near = [
        span
        for span in history.spans + history.relay_spans
        if span.begins_at <= until
        and span.ends_at >= kill.begins_at - CALM_SECONDS
        and not kill.begins_at <= span.begins_at <= span.ends_at <= kill.ends_at
    ]
    relays = {span.process for span in near if span in history.relay_spans}
    return len(relays) > 1 or any(span.cause != "stop" for span in near)


def _streams_cut_by(history: History, kill: Span) -> dict[str, str]:
    """Return the versions of the streams that a kill of all processes broke off."""
    broken = {run.request_id for run in history.runs if run.broken_by_upstream}
    broken |= history.cut_requests
    return {
        answer.stream: answer.draft[-1][1]
        for answer in history.answers
        if len(answer.draft) >= MIN_EVENTS
        and not answer.status
        and not answer.left
        and answer.request.request_id not in broken
        and answer.request.sent_at < kill.begins_at <= answer.ended_at
    }
