"""Random messages between processes, of all types, with plausible and wrong values."""

import math
from random import Random
from types import NoneType, UnionType
from typing import Union, get_args, get_origin, get_type_hints

import msgspec

from ragwortkeel.messages import AnyMessage

INTEGERS = (0, 1, 2, 5, 1000, -1, 2**31, 2**63 - 1, -(2**63))
NUMBERS = (0.0, 0.3, 1.0, -1.0, 1e9, 1e308, -1e308, math.inf, -math.inf, math.nan)
BYTES = (b"", b"null", b"{}", b"[]", b"\xff", b'{"a":"\\ud800"}', b"[" * 2000)
MAX_ITEMS = 3


class RandomMessages:
    """Draws messages from a seed.

    Parameters
    ----------
    texts : tuple of str
        Names that mean something to the receiver.
    """

    def __init__(self, *, seed, texts):
        self._random = Random(seed)
        self._texts = (*texts, "", "x", "a/b/c", "127.0.0.1:99999", "no address")

    def message(self):
        """Return a message of any type."""
        return self._struct(self._random.choice(get_args(AnyMessage)))

    def integer(self):
        """Return any integer."""
        return self._random.choice(INTEGERS)

    def of_all_types(self):
        """Return one message of each type."""
        return [self._struct(cls) for cls in get_args(AnyMessage)]

    def _struct(self, cls):
        hints = get_type_hints(cls)
        values = {}
        for field in msgspec.structs.fields(cls):
            if not field.required and self._random.random() < 0.3:
                continue
            values[field.name] = self._value(hints[field.name])
        return cls(**values)

    def _value(self, kind):
        draw = self._random
        origin, args = get_origin(kind), get_args(kind)
        if origin is not None:
            return self._composite(origin, args)
        if kind is NoneType:
            return None
        if issubclass(kind, msgspec.Struct):
            return self._struct(kind)
        choices = {
            bool: (False, True),
            int: INTEGERS,
            float: NUMBERS,
            bytes: BYTES,
            str: self._texts,
        }
        return draw.choice(choices[kind] if kind in choices else list(kind))

    def _composite(self, origin, args):
        count = self._random.randint(0, MAX_ITEMS)
        if origin in (Union, UnionType):
            return self._value(self._random.choice(args))
        if origin is dict:
            return {self._value(args[0]): self._value(args[1]) for _ in range(count)}
        if args[-1] is Ellipsis:
            return tuple(self._value(args[0]) for _ in range(count))
        return tuple(self._value(arg) for arg in args)
