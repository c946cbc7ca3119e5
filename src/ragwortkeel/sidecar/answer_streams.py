"""Forwarding of answers to the followers of runs, and replays from an offset."""

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


class AnswerStreams:
    """Holds answers, their followers, and the final messages of ended runs.

    Parameters
    ----------
    answers
        Stores the bytes of the answers.
    """

    def __init__(self, *, answers: AnswerStore) -> None:
        self.answers = answers
        self._followers_by_nonce: dict[str, set[Peer]] = defaultdict(set)
        self._ended_by_nonce: dict[str, Finished | Failed] = {}

    def end_of(self, nonce: str) -> Finished | Failed | None:
        """Return the final message of a run, None where it runs or is discarded."""
        return self._ended_by_nonce.get(nonce)

    def add_follower(self, peer: Peer, nonce: str) -> None:
        """Send further messages of a run to the peer."""
        self._followers_by_nonce[nonce].add(peer)

    def start_answer(self, started: Started) -> list[Send]:
        """Start an answer and send its head to the followers."""
        self.answers.open(
            started.nonce, status=started.status, content_type=started.content_type
        )
        return self._send_to_followers(started.nonce, started)

    def append_chunk(self, nonce: str, data: bytes) -> list[Send]:
        """Append to an answer and send the bytes to the followers.

        Raises
        ------
        AnswerTooLarge
            The answer exceeds the limit of the store.
        """
        offset = self.answers.append(nonce, data)
        return self._send_to_followers(
            nonce, Chunk(nonce=nonce, offset=offset, data=data)
        )

    def end_answer(self, message: Finished | Failed, *, pinned: bool) -> list[Send]:
        """End an answer; a pinned answer is stored until it is unpinned."""
        nonce = message.nonce
        self._ended_by_nonce[nonce] = message
        self.answers.finish(nonce, pinned=pinned)
        return self.send_last(nonce, message)

    def send_last(self, nonce: str, message: AnyMessage) -> list[Send]:
        """Send the final message of a run to its followers, and remove them."""
        rv = self._send_to_followers(nonce, message)
        self._followers_by_nonce.pop(nonce, None)
        return rv

    def replay(self, nonce: str, offset: int, *, tokens: int) -> list[AnyMessage]:
        """Return the messages that repeat an answer from `offset` on."""
        answer = self.answers.get(nonce)
        ended = self._ended_by_nonce.get(nonce)
        if answer is None:
            if isinstance(ended, Finished):
                return [lost_answer_failure(nonce, tokens=tokens)]
            return [] if ended is None else [ended]
        rv: list[AnyMessage] = [
            Started(nonce=nonce, status=answer.status, content_type=answer.content_type)
        ]
        for start, data in answer.chunks(offset):
            rv.append(Chunk(nonce=nonce, offset=start, data=data))
        return rv if ended is None else [*rv, ended]

    def discard(self, nonces: list[str]) -> None:
        """Discard the answers and final messages of these runs."""
        for nonce in nonces:
            self.answers.remove(nonce)
            self._ended_by_nonce.pop(nonce, None)

    def remove_peer(self, peer: Peer) -> None:
        """Remove a disconnected peer from the followers of every run."""
        for followers in self._followers_by_nonce.values():
            followers.discard(peer)

    def _send_to_followers(self, nonce: str, message: AnyMessage) -> list[Send]:
        followers = self._followers_by_nonce.get(nonce, ())
        return [Send(peer=peer, message=message) for peer in sorted(followers)]


def lost_answer_failure(nonce: str, *, tokens: int) -> Failed:
    """Return the failure of a run whose answer is not stored here."""
    return Failed(
        nonce=nonce,
        reason=FailureReason.ANSWER_LOST,
        tokens=tokens,
        may_have_run=True,
    )
