"""Writes and reads of the ledgers that the platform refuses."""

import curio
import pytest
from tests.ingress.test_renewals import PATIENCE, Process

from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    ValueRefused,
)
from ragwortkeel.exceptions import PlatformError as ClientError
from ragwortkeel.standins.local_platform import LocalPlatform


class RefusingPlatform(LocalPlatform):
    """A platform that raises `error` for writes, or for reads, of the ledgers."""

    error = None
    read_error = None

    async def get(self, kind, name, *, stale=False):
        if self.read_error is not None:
            raise self.read_error
        return await super().get(kind, name, stale=stale)

    async def update(self, kind, name, value, version):
        if self.error is not None:
            raise self.error
        return await super().update(kind, name, value, version)


def run_process(scenario, *, rank=0):
    """Run a scenario of a process whose ledgers' platform may refuse."""

    async def main():
        platform = RefusingPlatform()
        process = Process(platform, name="a", rank=rank)
        try:
            async with curio.timeout_after(PATIENCE):
                return await scenario(platform, process)
        finally:
            await process.task.cancel()

    return curio.run(main)


@pytest.mark.parametrize(
    "error",
    [
        ValueRefused("over 1 MB"),
        ObjectNotFound("deleted"),
        AlreadyExists("created"),
        ClientError("another"),
    ],
    ids=["too large", "deleted", "exists", "other"],
)
class TestRefusedWrites:
    def test_a_refused_write_ends_no_process(self, error):
        """Guards against all processes ending as the ledgers are over 1 MB."""

        async def scenario(platform, process):
            await process.start()
            platform.error = error
            await process.renewals.wake()
            await curio.sleep(0.3)
            platform.error = None
            await process.served(60_000)
            return process.task.terminated

        assert not run_process(scenario)

    def test_a_stop_with_a_refused_write_is_a_stop(self, error):
        """Guards against a planned stop that ends with an error."""

        async def scenario(platform, process):
            await process.start()
            platform.error = error
            return await process.renewals.close()

        assert run_process(scenario) is False

    def test_a_refused_read_ends_no_process(self, error):
        """Guards against the end of a process by the error that a relay reports."""

        async def scenario(platform, process):
            platform.read_error = error
            process.task = await curio.spawn(process.renewals.run, daemon=True)
            await curio.sleep(0.6)
            ended = process.task.terminated
            platform.read_error = None
            while not process.account.slice.in_ledger and not ended:
                await curio.sleep(0.01)
            return ended

        assert not run_process(scenario)
