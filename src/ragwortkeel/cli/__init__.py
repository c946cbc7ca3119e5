"""The operators' command line: ``ragwortkeel``."""

from ragwortkeel.cli.command import main

__all__ = ["main"]
