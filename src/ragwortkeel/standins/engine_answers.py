"""What the engine stand-in answers: a function of the prompt alone.

A test can therefore check that a caller got the whole answer to its own
request, and an answer resumed elsewhere continues the one that broke off.
"""

import re
from collections.abc import Iterator
from typing import Annotated
from zlib import crc32

import msgspec

TOKEN_BYTES = 4
"""Every token of an answer is four ASCII characters."""

MIN_ANSWER_TOKENS = 16
ANSWER_TOKENS_SPAN = 32

_LENGTH_MARKER = re.compile(r"answer_tokens=(\d+)")


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: str = "user"
    content: str


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat completion request that the engine heeds."""

    messages: list[ChatMessage]
    model: str = ""
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 1024
    resume_from_tokens: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def prompt(self) -> str:
        """The messages' text, a line each."""
        return "\n".join(message.content for message in self.messages)


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What a completion cost, in tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def count_tokens(text: str) -> int:
    """Return the tokens of a text: its UTF-8 bytes over four, rounded up."""
    return -(-len(text.encode()) // TOKEN_BYTES)


def usage_of(prompt: str, completion_tokens: int) -> Usage:
    """Return what a completion of that many tokens cost."""
    prompt_tokens = count_tokens(prompt)
    return Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
        total_tokens=prompt_tokens + completion_tokens,
    )


def natural_length(prompt: str) -> int:
    """Return how many tokens the answer has when nothing limits it.

    A prompt that holds ``answer_tokens=N`` is answered with N tokens.
    """
    marker = _LENGTH_MARKER.search(prompt)
    if marker:
        return int(marker[1])
    return MIN_ANSWER_TOKENS + crc32(prompt.encode()) % ANSWER_TOKENS_SPAN


def token_at(seed: int, position: int) -> str:
    """Return the token at a position of the answer with that seed."""
    return f"{crc32(b'%d' % position, seed) & 0xFFF:03x} "


def answer_tokens(prompt: str, start: int, end: int) -> Iterator[str]:
    """Yield the tokens of the answer from `start` up to `end`."""
    seed = crc32(prompt.encode())
    return (token_at(seed, position) for position in range(start, end))


def expected_answer(prompt: str, max_tokens: int = 1024) -> str:
    """Return the whole answer to a prompt under a limit."""
    length = min(natural_length(prompt), max_tokens)
    return "".join(answer_tokens(prompt, 0, length))
