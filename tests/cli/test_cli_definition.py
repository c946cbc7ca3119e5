"""Tests of profile definitions, and of the example profiles and settings."""

from pathlib import Path

import pytest

from ragwortkeel.cli.definition import apply_flags, read_definition
from ragwortkeel.configuration import Profile, ServiceClass
from ragwortkeel.exceptions import CommandError, SettingsError
from ragwortkeel.settings import (
    CommandSettings,
    IngressSettings,
    RelaySettings,
    RouterSettings,
    SidecarSettings,
    load,
)

EXAMPLES = Path(__file__).parents[2] / "examples"
PROFILES = sorted((EXAMPLES / "profiles").glob("*.json"))
SETTINGS = sorted((EXAMPLES / "settings").glob("*.json"))
CLASS_BY_ROLE = {
    "router": RouterSettings,
    "sidecar": SidecarSettings,
    "command": CommandSettings,
    "ingress": IngressSettings,
    "relay": RelaySettings,
}


class TestExamples:
    def test_both_deployments_have_examples(self):
        for deployment in ("surco", "chaophraya"):
            assert sum(path.name.startswith(deployment) for path in PROFILES) == 5
            assert sum(path.name.startswith(deployment) for path in SETTINGS) == 8

    @pytest.mark.parametrize("path", PROFILES, ids=lambda path: path.stem)
    def test_profile(self, path):
        definition = read_definition(str(path), {})
        assert definition.name == path.stem and definition.prepaid_tokens > 0

    @pytest.mark.parametrize("path", SETTINGS, ids=lambda path: path.stem)
    def test_settings(self, path):
        load(path, CLASS_BY_ROLE[path.stem.split("-")[1]])


class TestDefinition:
    def test_flags_override_file(self):
        flags = {"spread": "wide", "customer": None, "back_ends": "a, b,"}
        definition = read_definition(str(PROFILES[0]), flags)
        assert definition.spread == "wide" and definition.back_ends == ("a", "b")
        assert definition.customer == "sathorn-solicitors"
        assert type(definition.profile()) is Profile

    @pytest.mark.parametrize(
        ("text", "path"),
        [
            ("{", "$"),
            ("[]", "$"),
            ('{"colour": 1}', "$.colour"),
            ('{"name": "a", "back_ends": ["B"]}', "$.back_ends[0]"),
        ],
    )
    def test_bad_file(self, tmp_path, text, path):
        file = tmp_path / "p.json"
        file.write_text(text)
        with pytest.raises(SettingsError) as caught:
            read_definition(str(file), {})
        assert caught.value.path == path

    @pytest.mark.parametrize("retired", [False, True])
    def test_change(self, retired):
        before = Profile(
            name="p",
            customer="c",
            service=ServiceClass.BATCH,
            deadline_seconds=1.0,
            first_token_seconds=1.0,
            back_ends=("b",),
            retired=retired,
        )
        if retired:
            with pytest.raises(CommandError):
                apply_flags(before, {"spread": "narrow"})
        else:
            assert apply_flags(before, {"spread": "narrow"}).spread == "narrow"
            assert apply_flags(before, {"spread": None}) == before
