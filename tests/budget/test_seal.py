"""Seals at a sidecar."""

import pytest

from ragwortkeel.budget.seal import SidecarAccounts


@pytest.fixture
def accounts():
    accounts = SidecarAccounts()
    accounts.open(seals=())
    accounts.start(nonce="a", router="r1", profile="p", reservation=10)
    return accounts


class TestJoining:
    def test_sidecar_that_has_not_read_the_seals_admits_no_router(self):
        assert not SidecarAccounts().admits("r1")

    def test_seal_from_before_the_start_applies(self):
        """Guards against a sealed router that resumes and finds a new sidecar."""
        accounts = SidecarAccounts()
        accounts.open(seals=("r1",))
        assert not accounts.admits("r1")
        assert accounts.admits("r2")

    def test_seal_message_received_before_opening_applies(self):
        accounts = SidecarAccounts()
        accounts.seal("r1")
        accounts.open(seals=())
        assert not accounts.admits("r1")


class TestReport:
    def test_spend_is_final_once_nothing_runs(self, accounts):
        assert not accounts.seal("r1").final("p")
        assert accounts.seal("r1").running == {"p": 10}
        accounts.finish(nonce="a", tokens=7)
        assert accounts.seal("r1").final("p")
        assert accounts.seal("r1").ran == {"p": 7}

    def test_run_counts_once(self, accounts):
        assert accounts.finish(nonce="a", tokens=7)
        assert not accounts.finish(nonce="a", tokens=7)
        assert accounts.seal("r1").ran == {"p": 7}
