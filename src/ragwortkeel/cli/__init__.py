"""Provide ``ragwortkeel``, the operators' command line."""

from ragwortkeel.cli.command import main

__all__ = ["main"]
