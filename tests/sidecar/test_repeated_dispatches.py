"""Recorded events in which a request that ran was reported as not run."""

from test_runs_machine import MustNotRepeat

EVENTS = [
    ("submit_and_go", 10),
    ("deliver_all", 10),
    ("engine_ends", 10),
    ("deliver_all", 10),
    ("submit_and_go", 0),
    ("deliver_newest", 10),
    ("step", 0),
    ("restart_sidecar", 10),
    ("deliver_newest", 10),
    ("step", 0),
    ("deliver_newest", 10),
    ("deliver_newest", 10),
    ("step", 0),
]


def test_a_request_that_ran_is_not_reported_as_not_run():
    """Guards against a false `not_run` after a sidecar's restart.

    The first copy of the dispatch ran.  The restarted sidecar refuses the second copy
    as for another incarnation and the third one as tombstoned, and the router receives
    the later refusal first.
    """
    machine = MustNotRepeat()
    for name, pick in EVENTS:
        machine.happen(name=name, pick=pick, slot=0, mode="ok")
    assert machine.world.engine_runs
    machine.shown_outcomes_are_true()
    machine.runs_at_most_once()
