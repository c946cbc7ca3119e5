"""Tests of settings files: read completely, or refused with path and reason."""

from pathlib import Path

import msgspec
import pytest

from ragwortkeel.cli.definition import Definition
from ragwortkeel.configuration import Upstream
from ragwortkeel.exceptions import SettingsError
from ragwortkeel.settings import (
    Address,
    CommandSettings,
    IngressSettings,
    RelaySettings,
    RouterSettings,
    SidecarSettings,
    decode,
    load,
)

ROUTER = {
    "name": "router-a1",
    "zone": "maule-a",
    "address": "10.1.0.10:7100",
    "http": "10.1.0.10:8080",
    "metrics": "10.1.0.10:9100",
    "platform": "10.1.0.2:7000",
}


def _router(**changes) -> bytes:
    raw = {k: v for k, v in (ROUTER | changes).items() if v is not ...}
    return msgspec.json.encode(raw)


class TestAccepted:
    def test_defaults_are_filled_in(self):
        settings = decode(_router(), RouterSettings)
        assert settings.stop_deadline_seconds == 60.0
        assert settings.peers == ()

    def test_file_is_read(self, tmp_path):
        path = tmp_path / "command.json"
        path.write_text('{"platform": "127.0.0.1:7000"}')
        assert load(path, CommandSettings).platform == "127.0.0.1:7000"


class TestRefused:
    @pytest.mark.parametrize(
        ("changes", "path", "found", "allowed"),
        [
            ({"colour": 1}, "$.colour", "a key of no meaning", "peers"),
            ({"zone": ...}, "$.zone", "nothing", "required"),
            ({"zone": 3}, "$.zone", "3", "str"),
            ({"name": "A b"}, "$.name", '"A b"', "regex"),
            ({"address": "host:1"}, "$.address", '"host:1"', "ip:port"),
            ({"address": "1.2.3.4:0"}, "$.address", '"1.2.3.4:0"', "ip:port"),
            ({"http": "1.2.3.4:65536"}, "$.http", "65536", "ip:port"),
            ({"metrics": "256.2.3.4:1"}, "$.metrics", "256", "ip:port"),
            ({"peers": ["1.2.3.4:1", "x"]}, "$.peers[1]", '"x"', "ip:port"),
            ({"peers": ["1.2.3.4:1"] * 65}, "$.peers", "1.2.3.4", "<= 64"),
            ({"stop_deadline_seconds": 0}, "$.stop_deadline_seconds", "0", "> 0"),
            ({"stop_deadline_seconds": 1e9}, "$.stop_deadline_seconds", "1", "3600"),
            ({"log_level": "loud"}, "$.log_level", '"loud"', "debug, info, warning"),
        ],
    )
    def test_field_is_named(self, changes, path, found, allowed):
        with pytest.raises(SettingsError) as caught:
            decode(_router(**changes), RouterSettings)
        assert caught.value.path == path
        assert found in caught.value.found
        assert allowed in caught.value.allowed

    @pytest.mark.parametrize("data", [b"", b"{", b"\xff\xfe", b"nul", b"{}{}"])
    def test_bad_json(self, data):
        with pytest.raises(SettingsError) as caught:
            decode(data, RouterSettings)
        assert caught.value.allowed == "valid JSON"

    @pytest.mark.parametrize("data", [b"[]", b"1", b"null"])
    def test_other_json_values(self, data):
        with pytest.raises(SettingsError, match="object"):
            decode(data, SidecarSettings)

    def test_unreadable_file(self, tmp_path):
        with pytest.raises(SettingsError, match="no readable file"):
            load(tmp_path / "none.json", RouterSettings)


class TestAddress:
    def test_round_trip(self):
        address = Address.parse("10.1.0.10:7100")
        assert (address.host, address.port) == ("10.1.0.10", 7100)
        assert str(address) == "10.1.0.10:7100"

    @pytest.mark.parametrize("text", ["", "10.1.0.10", "localhost:1", "1.2.3.4:x"])
    def test_invalid_address(self, text):
        with pytest.raises(ValueError, match="ip:port"):
            Address.parse(text)


class TestReference:
    @pytest.mark.parametrize(
        "cls",
        [
            RouterSettings,
            SidecarSettings,
            IngressSettings,
            RelaySettings,
            CommandSettings,
            Definition,
            Upstream,
        ],
    )
    def test_every_field_is_explained(self, cls):
        page = Path(__file__).parents[1] / "docs" / "CONFIGURATION.md"
        text = page.read_text()
        assert [name for name in cls.__struct_fields__ if f"`{name}`" not in text] == [
            name for name in ("state", "retired") if name in cls.__struct_fields__
        ]
