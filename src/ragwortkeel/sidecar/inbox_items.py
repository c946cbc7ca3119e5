"""What the sidecar's main task hears besides links, runs and the platform."""

from dataclasses import dataclass

from ragwortkeel.exceptions import RagwortkeelError
from ragwortkeel.messages import VersionedObject


class SidecarFailed(RagwortkeelError):
    """A task of the sidecar ended by a fault; the process has to start anew."""


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Time to look at what is due."""


@dataclass(frozen=True, kw_only=True)
class ObjectsReceived:
    """Configuration objects that may be newer than those known."""

    objects: tuple[VersionedObject, ...]


@dataclass(frozen=True, kw_only=True)
class Stop:
    """Refuse new work and end once nothing is left in flight."""


@dataclass(frozen=True, kw_only=True)
class TaskFailed:
    """A task ended by a fault of the program."""

    error: Exception


@dataclass(frozen=True, kw_only=True)
class Leftover:
    """What a planned stop left undone at its deadline; zeros are a clean stop."""

    running: int
    receipts: int
    outcomes: int
    registered: bool
