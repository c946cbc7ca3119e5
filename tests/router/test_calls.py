"""Tests of the validation of callers' requests."""

import msgspec
import pytest

from ragwortkeel.configuration import Profile, ServiceClass
from ragwortkeel.exceptions import BadRequest
from ragwortkeel.httpio import Request
from ragwortkeel.router.calls import (
    CHAT_PATH,
    ChatCall,
    ServiceCall,
    parse_call,
    profile_of,
)

PROFILE = Profile(
    name="advisor-chat",
    customer="coop",
    service=ServiceClass.INTERACTIVE,
    deadline_seconds=20,
    first_token_seconds=1.5,
    back_ends=("assistant",),
    max_output_tokens=100,
    call_tokens=7,
)
CHAT = {"model": "advisor-chat", "messages": [{"role": "user", "content": "hola"}]}


def post(path, body, **headers):
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return Request(method="POST", path=path, query={}, headers=headers, body=raw)


class TestProfileOf:
    def test_chat_names_the_profile_in_the_body(self):
        assert profile_of(post(CHAT_PATH, CHAT)) == "advisor-chat"

    def test_service_names_the_profile_in_the_path(self):
        assert profile_of(post("/v1/profiles/claims/calls", {})) == "claims"

    @pytest.mark.parametrize(
        ("method", "path", "body", "status"),
        [
            ("GET", CHAT_PATH, b"", 405),
            ("POST", "/v2/else", b"{}", 404),
            ("POST", CHAT_PATH, b"", 400),
            ("POST", CHAT_PATH, b"{not json", 400),
            ("POST", CHAT_PATH, b"\xff\xfe", 400),
            ("POST", CHAT_PATH, b"[]", 400),
            ("POST", CHAT_PATH, b'{"model": 3, "messages": []}', 400),
            ("POST", CHAT_PATH, b'{"model": "a", "messages": []}', 400),
            ("POST", CHAT_PATH, b'{"model":"a","messages":[{"role":"u"}]}', 400),
        ],
    )
    def test_bad_request_is_refused_with_a_4xx_status(self, method, path, body, status):
        request = Request(method=method, path=path, query={}, headers={}, body=body)
        with pytest.raises(BadRequest) as caught:
            profile_of(request)
        assert caught.value.status == status


class TestParseCall:
    def test_the_bound_covers_prompt_bytes_and_output_limit(self):
        call = parse_call(post(CHAT_PATH, CHAT), PROFILE)
        assert isinstance(call.kind, ChatCall)
        assert call.bound_tokens == len(call.body) + 100

    @pytest.mark.parametrize(
        ("asked", "sent"), [(None, 100), (5, 5), (100, 100), (5_000, 100)]
    )
    def test_output_is_limited_by_the_profile(self, asked, sent):
        chat = CHAT | ({"max_tokens": asked} if asked else {})
        call = parse_call(post(CHAT_PATH, chat), PROFILE)
        assert msgspec.json.decode(call.body)["max_tokens"] == sent

    def test_escapes_do_not_shrink_the_bound_below_the_text(self):
        thai = "\u0e01" * 50
        body = msgspec.json.encode(CHAT).replace(b"hola", b"\\u0e01" * 50)
        call = parse_call(post(CHAT_PATH, body), PROFILE)
        assert call.bound_tokens >= len(thai.encode()) + 100

    def test_stream_requests_its_usage(self):
        call = parse_call(post(CHAT_PATH, CHAT | {"stream": True}), PROFILE)
        fields = msgspec.json.decode(call.body)
        assert call.stream
        assert fields["stream_options"] == {"include_usage": True}

    def test_bound_of_a_service_call_is_from_the_profile(self):
        call = parse_call(post("/v1/profiles/advisor-chat/calls", {"a": 1}), PROFILE)
        assert isinstance(call.kind, ServiceCall)
        assert call.bound_tokens == 7

    def test_request_without_a_key_gets_a_generated_id(self):
        first, second = (parse_call(post(CHAT_PATH, CHAT), PROFILE) for _ in "ab")
        assert not first.key_given
        assert first.request_id != second.request_id

    def test_given_key_is_the_request_id(self):
        call = parse_call(post(CHAT_PATH, CHAT, **{"idempotency-key": "k1"}), PROFILE)
        assert (call.request_id, call.key_given) == ("k1", True)

    @pytest.mark.parametrize("key", ["x" * 201, "ключ", "a\tb"])
    def test_a_bad_key_is_refused(self, key):
        with pytest.raises(BadRequest):
            parse_call(post(CHAT_PATH, CHAT, **{"idempotency-key": key}), PROFILE)

    def test_calls_that_begin_alike_share_a_prefix(self):
        long = "x" * 3000
        first, second = (
            parse_call(
                post(
                    CHAT_PATH,
                    CHAT | {"messages": [{"role": "user", "content": long + end}]},
                ),
                PROFILE,
            )
            for end in "ab"
        )
        assert first.kind == second.kind
        assert first.fingerprint != second.fingerprint
