"""Tests of the ports that the deployments of tests and the soak use."""

import subprocess
import sys

import pytest
from deployments.ports import PORTS_PER_BLOCK, PortBlocks

FIRST_BLOCK = 70
COUNT = 2 * PORTS_PER_BLOCK + 10
TAKE_AND_WAIT = f"""
from deployments.ports import PortBlocks
blocks = PortBlocks(first_block={FIRST_BLOCK})
print(*(blocks.take() for _ in range({COUNT})), flush=True)
input()
"""


@pytest.fixture
def blocks():
    rv = PortBlocks(first_block=FIRST_BLOCK - 1)
    yield rv
    rv.close()


def test_two_processes_never_get_the_same_port(blocks):
    """Guards against a test process that takes the port of a program that is down.

    Soaks of neighbouring process ids met after some seeds, and reached the ingress
    processes and upstreams of each other.
    """
    command = [sys.executable, "-c", TAKE_AND_WAIT]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as other:
        taken = set(map(int, other.stdout.readline().split()))
        own = {blocks.take() for _ in range(COUNT)}
        other.communicate("\n")
    assert len(own) == len(taken) == COUNT
    assert not own & taken


def test_a_block_is_free_again_once_its_process_has_ended():
    first = PortBlocks(first_block=FIRST_BLOCK)
    ports = [first.take() for _ in range(PORTS_PER_BLOCK)]
    first.close()
    second = PortBlocks(first_block=FIRST_BLOCK)
    assert second.take() in ports
    second.close()
