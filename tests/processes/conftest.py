"""Fleets of processes; on a failure their last log lines are printed."""

import pytest
from deployments.fleet import Fleet


@pytest.fixture
def fleet(tmp_path):
    rv = Fleet(tmp_path)
    yield rv
    rv.close()
    print(rv.log_tails())
