"""Items of the main task's inbox that come from the sidecar itself."""

from dataclasses import dataclass

from ragwortkeel.exceptions import RagwortkeelError
from ragwortkeel.messages import VersionedObject


class SidecarFailed(RagwortkeelError):
    """A task of the sidecar failed; the process has to be restarted."""


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Periodic signal to check what is due."""


@dataclass(frozen=True, kw_only=True)
class ObjectsReceived:
    """Configuration objects that may be newer than the stored ones."""

    objects: tuple[VersionedObject, ...]


@dataclass(frozen=True, kw_only=True)
class Stop:
    """Refuse new work, and stop once nothing is left in flight."""


@dataclass(frozen=True, kw_only=True)
class TaskFailed:
    """A task failed with an exception."""

    error: Exception


@dataclass(frozen=True, kw_only=True)
class Leftover:
    """Work left when a planned stop ended; all values are zero after a clean stop."""

    running: int
    receipts: int
    outcomes: int
    registered: bool
