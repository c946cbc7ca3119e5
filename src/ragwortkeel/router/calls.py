"""Validation of callers' HTTP requests, which become `Call` objects."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated, Any
from uuid import uuid4

import msgspec

from ragwortkeel.configuration import Profile
from ragwortkeel.exceptions import BadRequest
from ragwortkeel.httpio import Request

CHAT_PATH = "/v1/chat/completions"
CALLS_PREFIX = "/v1/profiles/"
CALLS_SUFFIX = "/calls"
SERVICE_TARGET = "/calls"

KEY_HEADER = "idempotency-key"
MAX_KEY_CHARACTERS = 200

PREFIX_BYTES = 2048
"""Length of the beginning of the messages that determines a call's prefix.

Prompts that agree this far share cached prefixes at an engine.
"""


class _ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    role: str
    content: Any


class _ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat request that the router reads."""

    model: str
    messages: Annotated[list[_ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    stream: bool = False


@dataclass(frozen=True, kw_only=True)
class ChatCall:
    """A call of a model; calls whose prompts begin alike have the same `prefix`."""

    prefix: str


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A call of a plain service."""


@dataclass(frozen=True, kw_only=True)
class Call:
    """A caller's validated request, with a bound on its tokens.

    Attributes
    ----------
    request_id : str
        The caller's idempotency key, or a generated one.
    key_given : bool
        Whether the caller sent the key, and so can retry the request.
    target : str
        Path of the request to the upstream.
    body : bytes
        Body of the request to the upstream.
    bound_tokens : int
        Greatest number of tokens that a run can spend: the prompt's bound plus the
        output limit, or the profile's `call_tokens` for a service.
    fingerprint : str
        Digest of the caller's body; a key that is reused with another body is refused.
    """

    kind: ChatCall | ServiceCall
    profile: str
    request_id: str
    key_given: bool
    target: str
    body: bytes
    stream: bool
    bound_tokens: int
    fingerprint: str
    traceparent: str


def profile_of(request: Request) -> str:
    """Return the name of the profile that a request names.

    Raises
    ------
    BadRequest
        The request names no profile, or its path or method is not supported.
    """
    if request.path == CHAT_PATH:
        _require_post(request)
        return _decode_chat(request.body).model
    if _is_service_path(request.path):
        _require_post(request)
        return request.path[len(CALLS_PREFIX) : -len(CALLS_SUFFIX)]
    raise BadRequest(status=404, reason="no_such_path", detail=request.path)


def parse_call(request: Request, profile: Profile) -> Call:
    """Return the validated call.

    Raises
    ------
    BadRequest
        The caller has to change the request.
    """
    request_id, key_given = _parse_request_id(request)
    if request.path == CHAT_PATH:
        kind, body, stream, bound_tokens = _parse_chat(request, profile)
        target = CHAT_PATH
    else:
        _decode_object(request.body)
        kind, body, stream, bound_tokens = (
            ServiceCall(),
            request.body,
            False,
            profile.call_tokens,
        )
        target = SERVICE_TARGET
    return Call(
        kind=kind,
        profile=profile.name,
        request_id=request_id,
        key_given=key_given,
        target=target,
        body=body,
        stream=stream,
        bound_tokens=bound_tokens,
        fingerprint=blake2b(request.body, digest_size=16).hexdigest(),
        traceparent=request.headers.get("traceparent", ""),
    )


def _is_service_path(path: str) -> bool:
    return path.startswith(CALLS_PREFIX) and path.endswith(CALLS_SUFFIX)


def _require_post(request: Request) -> None:
    if request.method != "POST":
        raise BadRequest(
            status=405, reason="method_not_allowed", detail="only POST is served here"
        )


def _parse_request_id(request: Request) -> tuple[str, bool]:
    key = request.headers.get(KEY_HEADER, "")
    if not key:
        return uuid4().hex, False
    if len(key) > MAX_KEY_CHARACTERS or not key.isascii() or not key.isprintable():
        raise BadRequest(
            status=400,
            reason="bad_idempotency_key",
            detail=f"at most {MAX_KEY_CHARACTERS} printable ASCII characters",
        )
    return key, True


def _decode_chat(body: bytes) -> _ChatBody:
    try:
        return msgspec.json.decode(body, type=_ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRequest(status=400, reason="bad_body", detail=str(exc)) from exc


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRequest(status=400, reason="bad_body", detail=str(exc)) from exc


def _parse_chat(
    request: Request, profile: Profile
) -> tuple[ChatCall, bytes, bool, int]:
    chat = _decode_chat(request.body)
    limit = min(chat.max_tokens or profile.max_output_tokens, profile.max_output_tokens)
    fields = _decode_object(request.body)
    fields["max_tokens"] = limit
    if chat.stream:
        fields["stream_options"] = {"include_usage": True}
    body = msgspec.json.encode(fields)
    first = msgspec.json.encode(chat.messages)[:PREFIX_BYTES]
    prefix = blake2b(first, digest_size=8).hexdigest()
    # The length of the body bounds the tokens of the prompt: a token takes at least
    # one byte, and the JSON around a message is longer than the tokens that a chat
    # template adds.
    return ChatCall(prefix=prefix), body, chat.stream, len(body) + limit
