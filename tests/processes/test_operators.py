"""Tests of the command line against a running fleet."""

from deployments.deployment import CHAT_PROFILE, chat_deployment
from deployments.fleet import TIMEOUT_SECONDS


class TestRaces:
    def test_concurrent_changes_are_preserved(self, fleet):
        """Guards against lost changes when four commands run concurrently.

        Of two changes to one profile, one takes effect and the other is refused as
        a conflict.  Both top-ups add their tokens once.
        """
        deployment = chat_deployment(fleet, routers=1)
        before = fleet.command("profile", "show", CHAT_PROFILE)
        pinned = f"--version={before['version']}"
        commands = [
            ("profile", "change", CHAT_PROFILE, pinned, "--deadline_seconds=41"),
            ("profile", "change", CHAT_PROFILE, pinned, "--deadline_seconds=42"),
            ("profile", "top-up", CHAT_PROFILE, 1_000),
            ("profile", "top-up", CHAT_PROFILE, 2_000),
        ]
        started = [fleet.start_command(*arguments) for arguments in commands]
        codes = [popen.wait(TIMEOUT_SECONDS) for popen in started]
        assert sorted(codes[:2]) == [0, 3]
        assert codes[2:] == [0, 0]
        after = fleet.command("profile", "show", CHAT_PROFILE)
        expected_seconds = 41 if codes[0] == 0 else 42
        assert after["profile"]["deadline_seconds"] == expected_seconds
        added = after["budget"]["prepaid"] - before["budget"]["prepaid"]
        assert added == 3_000
        assert deployment.chat("router-1", "still served").status == 200


class TestRetired:
    def test_retired_profile_is_refused_by_all_routers(self, fleet):
        """Guards against a router that starts later and serves a retired profile."""
        deployment = chat_deployment(fleet)
        fleet.command("profile", "retire", CHAT_PROFILE, "--wait=30")
        fresh = fleet.router("router-9")
        deployment.routers["router-9"] = fresh
        fleet.wait_ready(fresh)
        for router in deployment.routers:
            answer = deployment.chat(router, "hello")
            assert (answer.status, answer.json["outcome"]) == (410, "not_run")
