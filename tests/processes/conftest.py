"""A fixture for a fleet of processes; pytest shows their logs on a failure."""

import pytest
from deployments.fleet import Fleet


@pytest.fixture
def fleet(tmp_path):
    rv = Fleet(tmp_path)
    yield rv
    rv.close()
    print(rv.log_tails())
