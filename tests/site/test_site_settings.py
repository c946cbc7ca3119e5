"""Tests of the users' settings file and of the boundary of the adapter."""

import platform
import re
import subprocess
import sys
from pathlib import Path

import pytest

from ragwortkeel.exceptions import SettingsError
from ragwortkeel_site.settings_file import ingress_settings, relay_settings

ROOT = Path(__file__).parents[2]
TEXT = """\
nodeName=front-maule-a-1
ip=10.1.0.40
zone=maule-a
zones.maule-a=maule
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
portRange=7340,7355
seeds=10.1.0.40:8229,10.2.0.29:8229
bounds.graceS=8
platform.address=10.200.1.7:8223
some.new.field=1
a line without a value
"""


class TestSettings:
    def test_fields_are_converted(self):
        found = ingress_settings(TEXT)
        assert found.name == "front-maule-a-1"
        assert found.http == "10.1.0.40:8227"
        assert found.metrics == "10.1.0.40:8220"
        assert found.address == "10.1.0.40:7340"
        assert found.peers == ("10.1.0.40:7340", "10.2.0.29:7340")
        assert found.platform == "10.200.1.7:8223"
        assert found.stop_deadline_seconds == 7.5
        assert found.region_by_zone == {"maule-a": "maule"}

    def test_the_capacity_has_the_limits_of_the_machine(self):
        lines = "limits.linkMbps=8\nlimits.memoryMb=300\n"
        plain = ingress_settings(f"{TEXT}{lines}").capacity
        assert (plain.memory_bytes, plain.max_descriptors) == (300_000_000, None)
        limited = ingress_settings(f"{TEXT}{lines}limits.maxFds=4100\n").capacity
        assert limited.max_descriptors == 4100

    @pytest.mark.parametrize(
        ("line", "first_start"), [("bootstrap=true", True), ("bootstrap=false", False)]
    )
    def test_the_first_start_of_the_fleet_is_known(self, line, first_start):
        """Guards against a restart that takes an empty history for a complete one."""
        assert ingress_settings(f"{TEXT}{line}\n").first_start is first_start
        assert not ingress_settings(TEXT).first_start

    def test_empty_seeds_give_no_peers(self):
        text = re.sub(r"seeds=.*", "seeds=", TEXT)
        assert ingress_settings(text).peers == ()

    def test_relay_needs_no_address_for_callers(self):
        text = re.sub(r"listen.*\n", "", TEXT)
        found = relay_settings(text)
        assert found.address == "10.1.0.40:7340"
        assert found.metrics == "10.1.0.40:7355"

    @pytest.mark.parametrize("key", ["nodeName", "ip", "listen.front", "portRange"])
    def test_error_names_the_missing_field(self, key):
        text = "\n".join(line for line in TEXT.splitlines() if not line.startswith(key))
        with pytest.raises(SettingsError, match=re.escape(key)):
            ingress_settings(text)


USERS_NAMES = re.compile(
    r"server-seal|prefix-hash|not-executed|kv-hold|token-usage|expect-instance"
    r"|RAGWORTKEEL_BOOT|fleetbench|/ragwortkeel/objects|apiKeys|pathPrefix",
    re.IGNORECASE,
)


class TestBoundary:
    def test_users_names_occur_only_in_the_adapter(self):
        found = [
            str(path.relative_to(ROOT))
            for path in (ROOT / "src").rglob("*.py")
            if USERS_NAMES.search(path.read_text())
        ]
        assert found == []

    def test_folder_does_not_shadow_the_standard_module(self):
        assert Path(platform.__file__).name == "platform.py"
        assert hasattr(platform, "python_version")

    def test_folder_does_not_shadow_it_for_a_program_started_there(self):
        code = "import platform; print(platform.python_version())"
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT / "platform",
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.startswith("3.")
