"""Tests of the counts of platform calls by operation, kind and outcome."""

import curio
import pytest

from ragwortkeel.exceptions import PlatformUnavailable, VersionConflict
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform_counts import CountedPlatform
from ragwortkeel.standins.local_platform import LocalPlatform


def counted():
    platform, metrics = LocalPlatform(), Metrics()
    return platform, metrics, CountedPlatform(platform=platform, metrics=metrics)


def test_each_outcome_is_counted():
    platform, metrics, client = counted()

    async def main():
        version = await client.create("kind", "name", b"1")
        await client.update("kind", "name", b"2", version)
        with pytest.raises(VersionConflict):
            await client.update("kind", "name", b"3", version)
        await client.get("kind", "name", stale=True)
        platform.switches.down = True
        with pytest.raises(PlatformUnavailable):
            await client.get("kind", "name")

    curio.run(main)
    text = metrics.render().decode()
    for operation, outcome in (
        ("create", "done"),
        ("update", "done"),
        ("update", "conflict"),
        ("get_stale", "done"),
        ("get", "unavailable"),
    ):
        labels = f'kind="kind",operation="{operation}",outcome="{outcome}"'
        assert f"ragwortkeel_platform_calls_total{{{labels}}} 1.0" in text
