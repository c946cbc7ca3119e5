"""Read and write operators' objects without losing concurrent changes.

Every write names the version that it is based on.  After a lost answer, the object is
read again: its value shows whether the write took effect.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from ragwortkeel.exceptions import (
    AlreadyExists,
    CommandConflict,
    CommandError,
    CommandUnavailable,
    CommandUncertain,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.platform import Listing, Platform, Stored

MAX_WRITE_ATTEMPTS = 4
"""Bounds the attempts at one write whose answers are lost.  Repeats are harmless
because each write is conditional."""

Value = TypeVar("Value", bound=msgspec.Struct)


@dataclass(frozen=True, kw_only=True)
class VersionedObject(Generic[Value]):
    """An object, and the version that the next change has to name."""

    value: Value
    version: int


class Objects(Generic[Value]):
    """The operators' objects of one kind.

    Parameters
    ----------
    kind : str
        Kind of the objects in the platform.
    cls : type
        Type that the stored values decode to.
    noun : str
        Name of the kind in messages to operators.
    """

    def __init__(
        self, *, platform: Platform, kind: str, cls: type[Value], noun: str
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._noun = noun
        self._decoder = msgspec.json.Decoder(cls)

    async def read(self, name: str) -> VersionedObject[Value]:
        """Return the object, or raise `CommandError` if there is none."""
        current = await self.find(name)
        if current is None:
            raise CommandError(
                f"no {self._noun} {name}; see `ragwortkeel {self._noun} list`"
            )
        return current

    async def find(self, name: str) -> VersionedObject[Value] | None:
        """Return the object, or None if there is none."""
        try:
            stored = await self._platform.get(self._kind, name)
        except PlatformUnavailable as exc:
            raise unavailable_error(exc) from exc
        return None if stored is None else self._decode(stored)

    async def all(self) -> dict[str, VersionedObject[Value]]:
        """Return all objects of the kind by name, in order of name."""
        listing = await list_kind(self._platform, self._kind)
        by_name = listing.by_name
        return {name: self._decode(by_name[name]) for name in sorted(by_name)}

    async def create(self, name: str, value: Value) -> int:
        """Create the object and return its version."""
        data = msgspec.json.encode(value)
        try:
            return await self._write_with_retries(name, data, None)
        except AlreadyExists as exc:
            raise CommandConflict(
                f"{self._noun} {name} exists already; choose another name: "
                "names of retired objects are not used again"
            ) from exc

    async def change(
        self,
        name: str,
        transition: Callable[[Value], Value],
        *,
        version: int | None = None,
    ) -> VersionedObject[Value]:
        """Replace the object by the result of `transition`.

        Parameters
        ----------
        version : int, optional
            Version that the change is based on; any other version is a conflict.
        """
        current = await self.read(name)
        if version is not None and current.version != version:
            raise self._conflict_error(
                name, VersionConflict(f"found {current.version}")
            )
        value = transition(current.value)
        data = msgspec.json.encode(value)
        try:
            changed = await self._write_with_retries(name, data, current.version)
        except (VersionConflict, ObjectNotFound) as exc:
            raise self._conflict_error(name, exc) from exc
        return VersionedObject(value=value, version=changed)

    async def remove(self, name: str) -> None:
        """Delete the current version, or raise `CommandError` if there is none."""
        try:
            stored = await self._platform.get(self._kind, name)
            if stored is None:
                raise CommandError(f"no {self._noun} {name}")
            await self._platform.delete(self._kind, name, stored.version)
        except PlatformUnavailable as exc:
            raise unavailable_error(exc) from exc
        except OutcomeUnknown as exc:
            raise self._uncertain_error(name) from exc
        except (VersionConflict, ObjectNotFound) as exc:
            raise self._conflict_error(name, exc) from exc

    async def _write_with_retries(
        self, name: str, data: bytes, version: int | None
    ) -> int:
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return await self._write(name, data, version)
            except OutcomeUnknown:
                # The write may have taken effect.  The same bytes at another
                # version come from this write or an equal one.  The old version
                # shows that the write did not take effect and can be repeated.
                found = await self._read_again(name)
                if found is not None and found.version != version:
                    if found.value == data:
                        return found.version
                    raise self._conflict_error(name, None) from None
            except PlatformUnavailable as exc:
                raise unavailable_error(exc) from exc
            except ValueRefused as exc:
                raise CommandError(
                    f"the platform refused to store the object: {exc}"
                ) from exc
        raise self._uncertain_error(name)

    async def _write(self, name: str, data: bytes, version: int | None) -> int:
        if version is None:
            return await self._platform.create(self._kind, name, data)
        return await self._platform.update(self._kind, name, data, version)

    async def _read_again(self, name: str) -> Stored | None:
        try:
            return await self._platform.get(self._kind, name)
        except PlatformUnavailable as exc:
            raise self._uncertain_error(name) from exc

    def _decode(self, stored: Stored) -> VersionedObject[Value]:
        try:
            value = self._decoder.decode(stored.value)
        except msgspec.DecodeError as exc:
            raise CommandError(
                f"{self._noun} {stored.name} cannot be decoded by this release: {exc}"
            ) from exc
        return VersionedObject(value=value, version=stored.version)

    def _conflict_error(self, name: str, exc: Exception | None) -> CommandConflict:
        detail = f" ({exc})" if exc else ""
        return CommandConflict(
            f"{self._noun} {name} was changed by somebody else meanwhile{detail}; "
            f"nothing was written: see `ragwortkeel {self._noun} show {name}`, "
            "then run this again"
        )

    def _uncertain_error(self, name: str) -> CommandUncertain:
        return CommandUncertain(
            f"the platform's answer was lost: {self._noun} {name} may or may not be "
            f"changed; see `ragwortkeel {self._noun} show {name}` before running "
            "this again"
        )


async def list_kind(platform: Platform, kind: str, prefix: str = "") -> Listing:
    """Return all objects of a kind, or raise `CommandUnavailable`."""
    try:
        return await platform.list(kind, prefix)
    except PlatformUnavailable as exc:
        raise unavailable_error(exc) from exc


def unavailable_error(exc: Exception) -> CommandUnavailable:
    """Return the error for a platform that does not answer."""
    return CommandUnavailable(
        f"the platform does not answer ({exc}); nothing was changed: check "
        "--platform or run this again once it is back"
    )
