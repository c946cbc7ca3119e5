"""Answers on their way out: who follows which run, and replays from an offset."""

from collections import defaultdict

from ragwortkeel.messages import (
    AnyMessage,
    Chunk,
    Failed,
    FailureReason,
    Finished,
    Started,
)
from ragwortkeel.runs.answer import AnswerStore
from ragwortkeel.sidecar.effects import Peer, Send


class Outlet:
    """Answers, their followers, and how ended runs ended.

    Parameters
    ----------
    answers
        Where the answers' bytes are kept.
    """

    def __init__(self, *, answers: AnswerStore) -> None:
        self.answers = answers
        self._followers_by_nonce: dict[str, set[Peer]] = defaultdict(set)
        self._ended_by_nonce: dict[str, Finished | Failed] = {}

    def ended(self, nonce: str) -> Finished | Failed | None:
        """Return how a run ended, None where it has not or is forgotten."""
        return self._ended_by_nonce.get(nonce)

    def follow(self, peer: Peer, nonce: str) -> None:
        """Tell the peer how a running run goes on."""
        self._followers_by_nonce[nonce].add(peer)

    def begin(self, started: Started) -> list[Send]:
        """Begin an answer."""
        self.answers.open(
            started.nonce, status=started.status, content_type=started.content_type
        )
        return self._tell(started.nonce, started)

    def add(self, nonce: str, data: bytes) -> list[Send]:
        """Add to an answer; `AnswerTooLarge` where it won't fit."""
        offset = self.answers.append(nonce, data)
        return self._tell(nonce, Chunk(nonce=nonce, offset=offset, data=data))

    def end(self, message: Finished | Failed, *, pinned: bool) -> list[Send]:
        """End an answer; a pinned one stays until it is unpinned."""
        nonce = message.nonce
        self._ended_by_nonce[nonce] = message
        self.answers.finish(nonce, pinned=pinned)
        return self.dismiss(nonce, message)

    def dismiss(self, nonce: str, message: AnyMessage) -> list[Send]:
        """Tell followers the last they will hear of a run."""
        rv = self._tell(nonce, message)
        self._followers_by_nonce.pop(nonce, None)
        return rv

    def replay(self, nonce: str, offset: int, *, tokens: int) -> list[AnyMessage]:
        """Return all that is known of an answer from `offset` on."""
        answer = self.answers.get(nonce)
        ended = self._ended_by_nonce.get(nonce)
        if answer is None:
            if isinstance(ended, Finished):
                return [answer_lost(nonce, tokens=tokens)]
            return [] if ended is None else [ended]
        rv: list[AnyMessage] = [
            Started(nonce=nonce, status=answer.status, content_type=answer.content_type)
        ]
        for start, data in answer.chunks(offset):
            rv.append(Chunk(nonce=nonce, offset=start, data=data))
        return rv if ended is None else [*rv, ended]

    def forget(self, nonces: list[str]) -> None:
        """Drop what is kept of these runs."""
        for nonce in nonces:
            self.answers.remove(nonce)
            self._ended_by_nonce.pop(nonce, None)

    def peer_lost(self, peer: Peer) -> None:
        """Forget a peer that is not connected any more."""
        for followers in self._followers_by_nonce.values():
            followers.discard(peer)

    def _tell(self, nonce: str, message: AnyMessage) -> list[Send]:
        followers = self._followers_by_nonce.get(nonce, ())
        return [Send(peer=peer, message=message) for peer in sorted(followers)]


def answer_lost(nonce: str, *, tokens: int) -> Failed:
    """Return the truth about a run whose answer is not here (any more)."""
    return Failed(
        nonce=nonce,
        reason=FailureReason.ANSWER_LOST,
        tokens=tokens,
        may_have_run=True,
    )
