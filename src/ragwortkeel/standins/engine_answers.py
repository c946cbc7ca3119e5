"""Answers of the engine stand-in, which only depend on the prompt.

A test can therefore check that a caller received the complete answer to its own
request, and an answer resumed at another engine continues the interrupted one.
"""

import re
from collections.abc import Iterator
from typing import Annotated
from zlib import crc32

import msgspec

TOKEN_BYTES = 4
"""Bytes of each token of an answer; all characters are ASCII."""

MIN_ANSWER_TOKENS = 16
ANSWER_TOKENS_SPAN = 32

_LENGTH_MARKER = re.compile(r"answer_tokens=(\d+)")


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: str = "user"
    content: str


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat completion request that the engine uses."""

    messages: list[ChatMessage]
    model: str = ""
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 1024
    resume_from_tokens: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def prompt(self) -> str:
        """Contents of the messages, joined by line breaks."""
        return "\n".join(message.content for message in self.messages)


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of a completion, in tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def count_tokens(text: str) -> int:
    """Return the number of tokens: the UTF-8 bytes divided by four, rounded up."""
    return -(-len(text.encode()) // TOKEN_BYTES)


def usage_of(prompt: str, completion_tokens: int) -> Usage:
    """Return the usage of a completion with that many tokens."""
    prompt_tokens = count_tokens(prompt)
    return Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
        total_tokens=prompt_tokens + completion_tokens,
    )


def natural_length(prompt: str) -> int:
    """Return the number of tokens of the answer without a limit.

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
    """Return an iterator over the tokens from `start` up to `end`."""
    seed = crc32(prompt.encode())
    return (token_at(seed, position) for position in range(start, end))


def expected_answer(prompt: str, max_tokens: int = 1024) -> str:
    """Return the complete answer to a prompt, up to `max_tokens`."""
    length = min(natural_length(prompt), max_tokens)
    return "".join(answer_tokens(prompt, 0, length))
